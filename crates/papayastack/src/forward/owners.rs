//! The owners of upstreams, as this VM sees them, and its part of the connections to each upstream.

use std::collections::BTreeMap;

use papayastack_macros::value;

use super::registry::{UpstreamSet, UpstreamTarget};
use super::state::VMS_ASSUMED;
use crate::ids::{DataCentreName, VmAddress};
use crate::membership::MemberView;
use crate::routing::{ConnectionShares, OwnerTable, Owners, OwnersKey, UpstreamIndex};

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
    /// The VMs of the platform's list, which stand in for members while few of these are known.
    listed: BTreeMap<VmAddress, DataCentreName>,
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

    /// Sets the VMs of the platform's list, which lags behind the members.
    pub(crate) fn set_listed(&mut self, listed: BTreeMap<VmAddress, DataCentreName>) {
        self.raise_vms(listed.len());
        self.listed = listed;
    }

    /// Sets the members. While they are less than half of the known VMs, as shortly after a start,
    /// the listed VMs count instead: all VMs then agree on the owners although each one knows other
    /// members.
    pub(crate) fn set_members(&mut self, view: &MemberView) {
        let live = view.live().count();
        if view.members.len() > 1 {
            self.raise_vms(view.members.len());
        }
        if live * 2 < self.vms.unwrap_or(0) as usize && self.listed.len() > live {
            self.table.set_vms(self.listed.iter().map(|(address, name)| (*address, name)));
        } else {
            self.table.set_members(view);
        }
        self.owners = self.table.owners();
    }

    /// Returns the ways of the VM `own` to an upstream that accepts `connections_max` connections.
    pub(crate) fn access(
        &self,
        own: VmAddress,
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
        let is_owner = owners.contains(&own);
        UpstreamAccess {
            connections_max: shares.of_vm(is_owner),
            owners: owners.into_iter().filter(|owner| *owner != own).collect(),
        }
    }

    fn raise_vms(&mut self, vms: usize) {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        self.vms = Some(self.vms.unwrap_or(VMS_ASSUMED).max(vms));
    }
}
