//! The owners of all upstreams, updated incrementally as VMs join and leave.
//!
//! Rendezvous hashing in two levels: VMs of the upstream's own data centre come first, then those
//! of the other data centres, which are ordered by a hash of upstream and data centre. A change of
//! one member costs one hash for each upstream of its data centre, and a full ranking only for the
//! upstreams that lost an owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use papayastack_macros::value;
use twox_hash::XxHash3_64;

use super::directory::UpstreamIndex;
use crate::ids::{DataCentreName, VmAddress};
use crate::membership::MemberView;

/// Owners kept for each upstream: the current owner and those that take over if it fails.
pub const OWNERS_KEPT: usize = 3;

/// The index of a VM address within one table.
type VmIndex = u32;
/// The index of a data centre within one table.
pub type DataCentreIndex = usize;

/// The key to an upstream's owners in [`Owners`].
#[value]
#[derive(Copy)]
pub struct OwnersKey {
    group: DataCentreIndex,
    position: usize,
}

/// An immutable snapshot of the owners; snapshots share the data centres that have not changed.
#[derive(Debug, Clone, Default)]
pub struct Owners {
    groups: Vec<Arc<Vec<Ranking>>>,
    addresses: Arc<Vec<VmAddress>>,
}

impl Owners {
    /// Iterates over the candidate owners of an upstream, the current owner first.
    pub fn of(&self, key: OwnersKey) -> impl Iterator<Item = VmAddress> + '_ {
        let ranking = self.groups.get(key.group).and_then(|group| group.get(key.position));
        let candidates = ranking.map_or(&[][..], |ranking| ranking.as_slice());
        candidates.iter().map(|candidate| self.addresses[candidate.vm as usize])
    }
}

/// The mutable table that [`Owners`] are snapshots of.
#[derive(Debug, Default)]
pub struct OwnerTable {
    vm_indices: BTreeMap<VmAddress, VmIndex>,
    addresses: Arc<Vec<VmAddress>>,
    data_centre_indices: BTreeMap<DataCentreName, DataCentreIndex>,
    groups: Vec<DataCentreGroup>,
}

#[derive(Debug, Default)]
struct DataCentreGroup {
    hash: u64,
    vms: BTreeSet<VmIndex>,
    upstreams: Vec<(UpstreamIndex, u64)>,
    rankings: Arc<Vec<Ranking>>,
}

/// The best candidates of one upstream, best first.
#[derive(Debug, Clone, Copy, Default)]
struct Ranking {
    candidates: [Candidate; OWNERS_KEPT],
    len: u8,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    rank: u64,
    vm: VmIndex,
}

impl Ranking {
    fn as_slice(&self) -> &[Candidate] {
        &self.candidates[..usize::from(self.len)]
    }

    fn is_full(&self) -> bool {
        usize::from(self.len) == OWNERS_KEPT
    }

    /// Inserts a candidate in order and keeps the best `OWNERS_KEPT`.
    fn insert(&mut self, candidate: Candidate) {
        let len = usize::from(self.len);
        let position = self.as_slice().partition_point(|other| other < &candidate);
        if position == OWNERS_KEPT {
            return;
        }
        let end = (len + 1).min(OWNERS_KEPT);
        self.candidates[position..end].rotate_right(1);
        self.candidates[position] = candidate;
        self.len = end as u8;
    }

    /// Appends the candidates of another data centre until the ranking is full.
    fn append(&mut self, other: &Self) {
        for candidate in other.as_slice() {
            if self.is_full() {
                return;
            }
            self.candidates[usize::from(self.len)] = *candidate;
            self.len += 1;
        }
    }
}

impl OwnerTable {
    /// Starts without upstreams and VMs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the upstreams of a configuration and returns the keys to their owners.
    pub fn set_upstreams<'a>(
        &mut self,
        upstreams: impl Iterator<Item = (UpstreamIndex, &'a str, &'a DataCentreName)>,
    ) -> BTreeMap<UpstreamIndex, OwnersKey> {
        let mut by_group: Vec<Vec<(UpstreamIndex, u64)>> = vec![Vec::new(); self.groups.len()];
        let mut keys = BTreeMap::new();
        for (index, id, data_centre) in upstreams {
            let group = self.data_centre_index(data_centre);
            by_group.resize(self.groups.len(), Vec::new());
            let key = OwnersKey { group, position: by_group[group].len() };
            keys.insert(index, key);
            by_group[group].push((index, XxHash3_64::oneshot(id.as_bytes())));
        }
        for (group, upstreams) in by_group.into_iter().enumerate() {
            if self.groups[group].upstreams != upstreams {
                self.groups[group].upstreams = upstreams;
                self.rank_group(group);
            }
        }
        keys
    }

    /// Sets the VMs from the live members; leaving members own nothing.
    pub fn set_members(&mut self, view: &MemberView) {
        self.set_vms(view.live().map(|member| (member.identity.address, &member.data_centre)));
    }

    /// Sets the VMs that may own upstreams, each with its data centre.
    pub fn set_vms<'a>(&mut self, vms: impl Iterator<Item = (VmAddress, &'a DataCentreName)>) {
        let mut live: Vec<BTreeSet<VmIndex>> = vec![BTreeSet::new(); self.groups.len()];
        for (address, data_centre) in vms {
            let group = self.data_centre_index(data_centre);
            live.resize(self.groups.len(), BTreeSet::new());
            live[group].insert(self.vm_index(address));
        }
        let before: Vec<BTreeSet<VmIndex>> = self
            .groups
            .iter_mut()
            .zip(live)
            .map(|(group, vms)| std::mem::replace(&mut group.vms, vms))
            .collect();
        let changed = self.groups.iter().zip(&before).any(|(group, old)| group.vms != *old);
        for (group, old) in before.iter().enumerate() {
            self.update_group(group, old, changed);
        }
    }

    /// Returns a snapshot of the current owners.
    pub fn owners(&self) -> Owners {
        Owners {
            groups: self.groups.iter().map(|group| Arc::clone(&group.rankings)).collect(),
            addresses: Arc::clone(&self.addresses),
        }
    }

    fn update_group(&mut self, group: DataCentreIndex, old: &BTreeSet<VmIndex>, any_changed: bool) {
        let vms = &self.groups[group].vms;
        // With fewer VMs than owners, the ranking also depends on the other data centres.
        if vms.len() < OWNERS_KEPT || old.len() < OWNERS_KEPT {
            if any_changed {
                self.rank_group(group);
            }
            return;
        }
        let removed: Vec<VmIndex> = old.difference(vms).copied().collect();
        let added: Vec<VmIndex> = vms.difference(old).copied().collect();
        if removed.is_empty() && added.is_empty() {
            return;
        }
        let group = &mut self.groups[group];
        let rankings = Arc::make_mut(&mut group.rankings);
        for (ranking, (_, upstream)) in rankings.iter_mut().zip(&group.upstreams) {
            if ranking.as_slice().iter().any(|candidate| removed.contains(&candidate.vm)) {
                *ranking = best(*upstream, group.vms.iter().copied(), &self.addresses);
            } else {
                insert_all(ranking, *upstream, &added, &self.addresses);
            }
        }
    }

    fn rank_group(&mut self, group: DataCentreIndex) {
        let rankings =
            self.groups[group].upstreams.iter().map(|(_, hash)| self.rank(*hash, group)).collect();
        self.groups[group].rankings = Arc::new(rankings);
    }

    /// Ranks the upstream's own data centre, then others until enough candidates are found.
    fn rank(&self, upstream: u64, own: DataCentreIndex) -> Ranking {
        let mut ranking = self.group_ranking(upstream, own);
        if ranking.is_full() {
            return ranking;
        }
        let mut others: Vec<(u64, DataCentreIndex)> = (0..self.groups.len())
            .filter(|group| *group != own && !self.groups[*group].vms.is_empty())
            .map(|group| (combined_hash(upstream, self.groups[group].hash), group))
            .collect();
        others.sort_unstable();
        for (_, group) in others {
            ranking.append(&self.group_ranking(upstream, group));
        }
        ranking
    }

    fn group_ranking(&self, upstream: u64, group: DataCentreIndex) -> Ranking {
        best(upstream, self.groups[group].vms.iter().copied(), &self.addresses)
    }

    fn data_centre_index(&mut self, data_centre: &DataCentreName) -> DataCentreIndex {
        if let Some(index) = self.data_centre_indices.get(data_centre) {
            return *index;
        }
        let index = self.groups.len();
        let hash = XxHash3_64::oneshot(data_centre.as_bytes());
        self.groups.push(DataCentreGroup { hash, ..DataCentreGroup::default() });
        self.data_centre_indices.insert(data_centre.clone(), index);
        index
    }

    fn vm_index(&mut self, address: VmAddress) -> VmIndex {
        if let Some(index) = self.vm_indices.get(&address) {
            return *index;
        }
        let index = VmIndex::try_from(self.addresses.len()).unwrap_or(VmIndex::MAX);
        Arc::make_mut(&mut self.addresses).push(address);
        self.vm_indices.insert(address, index);
        index
    }
}

/// Returns the best candidates among `vms`, best first.
fn best(upstream: u64, vms: impl Iterator<Item = VmIndex>, addresses: &[VmAddress]) -> Ranking {
    let mut ranking = Ranking::default();
    for vm in vms {
        ranking.insert(candidate(upstream, vm, addresses));
    }
    ranking
}

fn insert_all(ranking: &mut Ranking, upstream: u64, added: &[VmIndex], addresses: &[VmAddress]) {
    for vm in added {
        ranking.insert(candidate(upstream, *vm, addresses));
    }
}

fn candidate(upstream: u64, vm: VmIndex, addresses: &[VmAddress]) -> Candidate {
    Candidate { rank: combined_hash(upstream, address_hash(&addresses[vm as usize])), vm }
}

/// Hashes an address by its bytes, because [`VmIndex`] values differ between VMs.
fn address_hash(address: &VmAddress) -> u64 {
    let mut bytes = [0; 18];
    match address.ip() {
        std::net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        std::net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    XxHash3_64::oneshot(&bytes)
}

fn combined_hash(upstream: u64, other: u64) -> u64 {
    XxHash3_64::oneshot_with_seed(upstream, &other.to_le_bytes())
}
