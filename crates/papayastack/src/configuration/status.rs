//! The status that a VM reports to operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use papayastack_macros::message;

use super::store::RefusedDocument;
use crate::ids::{DataCentreName, ServiceName, SiteName, SnapshotVersion};
use crate::membership::{Member, MemberState, VmIdentity};

/// The status of one VM, as it reports it itself.
#[message]
pub struct VmStatus {
    /// The identity of the VM.
    pub identity: VmIdentity,
    /// The site whose overlay applies to the VM.
    pub site: SiteName,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentreName,
    /// The address on which the VM serves callers.
    pub caller_address: SocketAddr,
    /// The membership state of the VM.
    pub state: MemberState,
    /// The version of the configuration in force; zero before the first bundle is adopted.
    pub configuration_version: u64,
    /// The newest snapshot of each service that has a catalogue.
    pub snapshots: BTreeMap<ServiceName, SnapshotVersion>,
    /// The refused versions that are newer than the adopted ones.
    pub refused: Vec<RefusedDocument>,
    /// The members in the VM's membership view, itself included.
    pub members: Vec<Member>,
}
