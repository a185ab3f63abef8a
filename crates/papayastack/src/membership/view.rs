//! The view of the members that other modules read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use papayastack_macros::{closed_set, message, value};

use crate::ids::{DataCentreName, Incarnation, RegionName, VmAddress};

/// The identity of one process on one VM; an address is reused after a restart, an incarnation is
/// not.
#[message]
#[derive(PartialOrd, Ord)]
pub struct VmIdentity {
    /// The address for links and datagrams between VMs.
    pub address: VmAddress,
    /// The number of the process at that address; a later process has a higher one.
    pub incarnation: Incarnation,
}

/// Whether a VM accepts new work.
#[closed_set]
pub enum MemberState {
    /// The VM accepts new work.
    Live,
    /// The VM finishes the work it has and accepts no more.
    Leaving,
}

/// The published description of one VM.
#[message]
pub struct Member {
    /// The process that is described.
    pub identity: VmIdentity,
    /// The data centre where the VM runs.
    pub data_centre: DataCentreName,
    /// The address where the VM serves callers.
    pub caller_address: SocketAddr,
    /// Whether the VM accepts new work.
    pub state: MemberState,
    /// The version of the configuration in force on the VM; zero before the first.
    pub configuration_version: u64,
}

/// The VMs that are believed live or leaving, this one included.
#[value]
#[derive(Default)]
pub struct MemberView {
    /// The members by address, with one incarnation for each address.
    pub members: BTreeMap<VmAddress, Member>,
    /// The regions of which no VM answers; their members stay in the view as last known.
    pub unreachable_regions: BTreeSet<RegionName>,
}

impl MemberView {
    /// Iterates over the members that accept new work.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state == MemberState::Live)
    }
}
