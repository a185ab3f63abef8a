//! The owners of upstreams, as this VM sees them, and its part of the connections to each upstream.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayastack_macros::value;

use super::registry::{UpstreamSet, UpstreamTarget};
use super::state::VMS_ASSUMED;
use crate::ids::{DataCentreName, VmAddress};
use crate::membership::MemberView;
use crate::routing::{ConnectionShares, OwnerTable, Owners, OwnersKey, UpstreamIndex};

/// How long the platform's list of VMs counts beside the members after it was read. Within that time,
/// VMs that start together find each other.
pub(crate) const LIST_COUNTS_FOR: Duration = Duration::from_secs(3);

/// The ways of this VM to one upstream.
#[value]
#[derive(Default)]
pub(crate) struct UpstreamAccess {
    /// The most connections that this VM may open itself.
    pub(crate) connections_max: u32,
    /// Other VMs that send for this one if it has no connection free; all equally good.
    pub(crate) owners: Vec<VmAddress>,
}

/// Ownership of the upstreams among the VMs that this VM knows.
#[derive(Debug, Default)]
pub(crate) struct UpstreamOwners {
    table: OwnerTable,
    owners: Owners,
    keys: BTreeMap<UpstreamIndex, OwnersKey>,
    /// The VMs of the platform's list, and until when they count beside the members.
    listed: Option<(BTreeMap<VmAddress, DataCentreName>, Instant)>,
    /// The largest number of VMs known so far; `None` before any is.
    vms: Option<u32>,
}

impl UpstreamOwners {
    /// Sets the usable upstreams.
    pub(crate) fn set_upstreams(&mut self, upstreams: &UpstreamSet) {
        let named = upstreams
            .by_index
            .iter()
            .map(|(index, target)| (*index, target.id.as_str(), &target.data_centre));
        self.keys = self.table.set_upstreams(named);
        self.owners = self.table.owners();
    }

    /// Sets the VMs of the platform's list. They count beside the members for a time, so that VMs
    /// that start agree on the owners although each one has found other members.
    pub(crate) fn set_listed(&mut self, listed: BTreeMap<VmAddress, DataCentreName>, now: Instant) {
        self.raise_vms(listed.len());
        self.table.set_vms(listed.iter().map(|(address, name)| (*address, name)));
        self.owners = self.table.owners();
        self.listed = Some((listed, now + LIST_COUNTS_FOR));
    }

    /// Returns until when the platform's list counts; [`Self::set_members`] is needed then.
    pub(crate) fn list_ends_at(&self) -> Option<Instant> {
        self.listed.as_ref().map(|(_, until)| *until)
    }

    /// Sets the members.
    pub(crate) fn set_members(&mut self, view: &MemberView, now: Instant) {
        if view.members.len() > 1 {
            self.raise_vms(view.members.len());
        }
        let live = view.live().map(|member| (member.identity.address, &member.data_centre));
        match &self.listed {
            Some((listed, until)) if now < *until => {
                // VMs that started after the list was read are members only.
                self.table.set_vms(live.chain(listed.iter().map(|(vm, name)| (*vm, name))));
            }
            Some(_) | None => {
                self.table.set_vms(live);
                self.listed = None;
            }
        }
        self.owners = self.table.owners();
    }

    /// Returns the ways of the VM at `own` to an upstream that accepts `connections_max` connections.
    pub(crate) fn access(
        &self,
        own: Option<VmAddress>,
        target: &UpstreamTarget,
        connections_max: u32,
    ) -> UpstreamAccess {
        let Some(vms) = self.vms else {
            // The VMs are listed within milliseconds of the start.
            return UpstreamAccess { connections_max: 1, owners: Vec::new() };
        };
        let shares = ConnectionShares::divide(connections_max, vms);
        let known = self.keys.get(&target.index).filter(|_| shares.owner_extra > 0);
        let owners: Vec<VmAddress> =
            known.map(|key| self.owners.of(*key).collect()).unwrap_or_default();
        let is_owner = own.is_some_and(|own| owners.contains(&own));
        UpstreamAccess {
            connections_max: shares.of_vm(is_owner),
            owners: owners.into_iter().filter(|owner| Some(*owner) != own).collect(),
        }
    }

    fn raise_vms(&mut self, vms: usize) {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        self.vms = Some(self.vms.unwrap_or(VMS_ASSUMED).max(vms));
    }
}
