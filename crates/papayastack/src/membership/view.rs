//! The view of the live VMs that other slices read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use papayastack_macros::{closed_set, message, value};

use crate::ids::{DataCentreName, Incarnation, RegionName, VmAddress};

/// Identifies one process on one VM; addresses are reused, incarnations are not.
#[message]
#[derive(PartialOrd, Ord)]
pub struct VmIdentity {
    /// The address for links and datagrams between VMs.
    pub address: VmAddress,
    /// The number of the process at that address.
    pub incarnation: Incarnation,
}

/// Whether a VM takes new work.
#[closed_set]
pub enum MemberState {
    /// The VM takes new work.
    Live,
    /// The VM finishes what it has and takes no new work.
    Leaving,
}

/// One VM as its peers see it.
#[message]
pub struct Member {
    /// Who it is.
    pub identity: VmIdentity,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Whether it takes new work.
    pub state: MemberState,
    /// The version of the configuration that it has in force; zero before the first.
    pub configuration_version: u64,
}

/// The VMs that are believed live or leaving, this one included.
#[value]
#[derive(Default)]
pub struct MemberView {
    /// The members by address; one incarnation each.
    pub members: BTreeMap<VmAddress, Member>,
    /// The regions that do not answer at all; their members are kept as last heard.
    pub unreachable_regions: BTreeSet<RegionName>,
}

impl MemberView {
    /// Iterates over the members that take new work.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state == MemberState::Live)
    }
}
