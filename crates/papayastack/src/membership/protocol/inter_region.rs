//! Exchange between regions, which a few contacts of each region do for all its VMs; rendezvous
//! hashing chooses them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use crate::ids::{RegionName, VmAddress};
use crate::membership::message::Update;
use crate::membership::regions::choose_contacts;
use crate::membership::updates::UpdateQueue;

use super::{MembershipProtocol, ViewChange};

const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
/// Digests are also sent in one of this many rounds of contacts.
const ANTI_ENTROPY_EVERY_ROUNDS: u64 = 20;
/// How many times each contact sends an update to a remote region.
const INTER_REGION_TRANSMISSIONS: u32 = 4;

/// The other regions with which this VM exchanges updates as a contact of its own region.
#[derive(Debug)]
pub(super) struct RemoteRegions {
    by_region: BTreeMap<RegionName, RemoteRegion>,
    next_at: Instant,
    contact_rounds: u64,
    generation: Option<u64>,
}

/// A region that this VM is a contact for.
#[derive(Debug, Default)]
struct RemoteRegion {
    /// The VMs of the remote region that are contacts for this VM's region.
    contacts: Vec<VmAddress>,
    updates: UpdateQueue,
}

impl RemoteRegions {
    pub(super) fn new(now: Instant) -> Self {
        Self { by_region: BTreeMap::new(), next_at: now, contact_rounds: 0, generation: None }
    }

    /// Queues an update for each region that this VM is a contact for; suspicions and the
    /// reachability of regions are not queued, since they concern the own region only.
    pub(super) fn enqueue(&mut self, update: &Update) {
        match update {
            Update::Claim(claim) if !claim.dead => return,
            Update::Region(_) => return,
            Update::Record(_) | Update::Claim(_) | Update::Version(_) => {}
        }
        for remote_region in self.by_region.values_mut() {
            remote_region.updates.push(update.clone());
        }
    }

    pub(super) fn take(&mut self, region: &str, bytes_max: usize) -> Vec<Update> {
        let remote = self.by_region.get_mut(region);
        remote.map_or_else(Vec::new, |it| it.updates.take(bytes_max, INTER_REGION_TRANSMISSIONS, 1))
    }

    pub(super) fn first_contacts(&self) -> impl Iterator<Item = VmAddress> {
        self.by_region.values().filter_map(|remote_region| remote_region.contacts.first()).copied()
    }
}

impl MembershipProtocol {
    /// Probes one contact of each region that this VM is a contact for.
    pub(super) fn contact_regions(&mut self, now: Instant) {
        if now < self.remote_regions.next_at {
            return;
        }
        self.remote_regions.next_at = now + CONTACT_INTERVAL;
        self.recompute_contacts();
        self.remote_regions.contact_rounds += 1;
        let with_digests =
            self.remote_regions.contact_rounds.is_multiple_of(ANTI_ENTROPY_EVERY_ROUNDS);
        let regions: Vec<RegionName> = self.remote_regions.by_region.keys().cloned().collect();
        for region in regions {
            let contacts = &self.remote_regions.by_region[&region].contacts;
            let Some(receiver) = contacts.choose(&mut self.random).copied() else { continue };
            self.send_probe(receiver);
            if with_digests {
                self.send_digests(receiver, true);
            }
            if let Some(update) = self.regions.check_silence(&region, now) {
                self.enqueue(Update::Region(update));
                self.raise_change(ViewChange::Members);
            }
        }
    }

    /// Records that a VM of `data_centre` was heard, if that lies in another region.
    pub(super) fn mark_region_heard(&mut self, data_centre: &str, now: Instant) {
        let region = self.regions.of(data_centre).to_owned();
        if region == self.regions.of(&self.own_record.data_centre) {
            return;
        }
        if let Some(update) = self.regions.mark_heard(&region, now) {
            self.enqueue(Update::Region(update));
            self.raise_change(ViewChange::Members);
        }
    }

    /// Recomputes the regions that this VM is a contact for, if members have changed.
    fn recompute_contacts(&mut self) {
        let generation = self.peers.generation();
        if self.remote_regions.generation == Some(generation) {
            return;
        }
        self.remote_regions.generation = Some(generation);
        let own_region = self.regions.of(&self.own_record.data_centre);
        let mut peers_by_region: BTreeMap<RegionName, Vec<VmAddress>> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| !peer.is_dead()) {
            let region = self.regions.of(&peer.record.data_centre);
            if region != own_region {
                peers_by_region
                    .entry(region.to_owned())
                    .or_default()
                    .push(peer.record.identity.address);
            }
        }
        let own = self.own_record.identity.address;
        let mut previous = std::mem::take(&mut self.remote_regions.by_region);
        for (region, members) in peers_by_region {
            let own_region_vms = self.peers.region_peers().iter().copied().chain([own]);
            if !choose_contacts(&region, own_region_vms).contains(&own) {
                continue;
            }
            let contacts = choose_contacts(own_region, members.into_iter());
            let updates = previous.remove(&region).unwrap_or_default().updates;
            self.remote_regions.by_region.insert(region, RemoteRegion { contacts, updates });
        }
    }
}
