//! What a VM tells operators about itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use papayastack_macros::message;

use super::store::RefusedDocument;
use crate::ids::{DataCentreName, ServiceName, SiteName, SnapshotVersion};
use crate::membership::{Member, MemberState, VmIdentity};

/// The state of one VM as it sees it.
#[message]
pub struct VmStatus {
    /// Who it is.
    pub identity: VmIdentity,
    /// The site whose overlay applies.
    pub site: SiteName,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Whether it takes new work.
    pub state: MemberState,
    /// The version of the configuration that it has in force; zero before the first.
    pub configuration_version: u64,
    /// The newest snapshot of each service that it knows.
    pub snapshots: BTreeMap<ServiceName, SnapshotVersion>,
    /// The refused versions that nothing newer has replaced.
    pub refused: Vec<RefusedDocument>,
    /// The members that it sees, itself included.
    pub members: Vec<Member>,
}
