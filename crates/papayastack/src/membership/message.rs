//! The messages between VMs about membership, and their encoding.
//!
//! Structs are encoded without field names, to keep messages small: each probe interval sends some.

use std::net::SocketAddr;

use bytes::Bytes;
use papayastack_macros::message;

use crate::ids::{DataCentreName, Incarnation, RegionName, VmAddress};

use super::VmIdentity;

/// The content of one datagram: its purpose and the updates piggybacked on it.
#[message]
pub(crate) struct Message(pub(crate) Purpose, pub(crate) Vec<Update>);

/// The number by which a VM identifies one of its own probes.
pub(crate) type ProbeNumber = u32;

/// Why a message was sent.
#[message]
pub(crate) enum Purpose {
    /// A request for an acknowledgement.
    #[serde(rename = "p")]
    Probe(ProbeNumber),
    /// A request to probe another VM and to relay its acknowledgement.
    #[serde(rename = "f")]
    IndirectProbe(ProbeNumber, VmAddress),
    /// The answer to a probe.
    #[serde(rename = "a")]
    Acknowledge(ProbeNumber),
    /// A request for the receiver's record.
    #[serde(rename = "i")]
    RequestRecord,
    /// A message that only carries updates.
    #[serde(rename = "s")]
    Gossip,
    /// A notice of another component, opaque to membership.
    #[serde(rename = "n")]
    Notice(Bytes),
    /// A request for the receiver's records in the buckets whose digests differ from the
    /// receiver's own.
    #[serde(rename = "c")]
    CompareDigests {
        /// The digest of each bucket; the number of buckets is a power of two.
        #[serde(rename = "d")]
        digests: Vec<u32>,
        /// Whether the receiver sends back its own digests, so that both sides are repaired.
        #[serde(rename = "m")]
        mutual: bool,
    },
}

/// A change to the state of a VM or a region.
#[message]
pub(crate) enum Update {
    /// The record that a VM published about itself.
    #[serde(rename = "r")]
    Record(Record),
    /// A claim of another VM that a VM is suspect or dead.
    #[serde(rename = "c")]
    Claim(Claim),
    /// The configuration version in force on a VM.
    #[serde(rename = "v")]
    Version(VersionUpdate),
    /// Whether another region is reachable.
    #[serde(rename = "g")]
    Region(RegionUpdate),
}

/// What a VM publishes about itself; a higher sequence replaces a lower one.
#[message]
#[serde(into = "RecordFields", from = "RecordFields")]
pub(crate) struct Record {
    /// The process that published the record.
    pub(crate) identity: VmIdentity,
    /// The version of this record; the VM raises it with each change and each refutation.
    pub(crate) sequence: u64,
    /// Whether the VM accepts no more work.
    pub(crate) leaving: bool,
    /// The data centre where the VM runs.
    pub(crate) data_centre: DataCentreName,
    /// The address where the VM serves callers.
    pub(crate) caller_address: SocketAddr,
    /// The configuration version in force on the VM; it never decreases.
    pub(crate) configuration_version: u64,
}

/// A claim that a VM is suspect or dead; a record of that VM with a higher sequence refutes it.
#[message]
#[serde(into = "ClaimFields", from = "ClaimFields")]
pub(crate) struct Claim {
    /// The process that the claim is about.
    pub(crate) identity: VmIdentity,
    /// The sequence of that VM's last record that the claimant had.
    pub(crate) sequence: u64,
    /// Whether the VM is declared dead rather than suspected.
    pub(crate) dead: bool,
}

/// The configuration version in force on a VM.
#[message]
#[serde(into = "VersionFields", from = "VersionFields")]
pub(crate) struct VersionUpdate {
    /// The process that the update is about.
    pub(crate) identity: VmIdentity,
    /// The version in force on the VM.
    pub(crate) configuration_version: u64,
}

/// Whether a region is reachable from the region where this update is gossiped.
#[message]
#[serde(into = "RegionFields", from = "RegionFields")]
pub(crate) struct RegionUpdate {
    /// The region that the update is about.
    pub(crate) region: RegionName,
    /// Orders the updates about one region; a higher sequence replaces a lower one.
    pub(crate) sequence: u64,
    /// Whether the region answers.
    pub(crate) reachable: bool,
}

#[message]
struct RecordFields(VmAddress, Incarnation, u64, bool, DataCentreName, SocketAddr, u64);

#[message]
struct ClaimFields(VmAddress, Incarnation, u64, bool);

#[message]
struct VersionFields(VmAddress, Incarnation, u64);

#[message]
struct RegionFields(RegionName, u64, bool);

impl From<Record> for RecordFields {
    fn from(record: Record) -> Self {
        let VmIdentity { address, incarnation } = record.identity;
        Self(
            address,
            incarnation,
            record.sequence,
            record.leaving,
            record.data_centre,
            record.caller_address,
            record.configuration_version,
        )
    }
}

impl From<RecordFields> for Record {
    fn from(fields: RecordFields) -> Self {
        let RecordFields(address, incarnation, sequence, leaving, data_centre, caller, version) =
            fields;
        Self {
            identity: VmIdentity { address, incarnation },
            sequence,
            leaving,
            data_centre,
            caller_address: caller,
            configuration_version: version,
        }
    }
}

impl From<Claim> for ClaimFields {
    fn from(claim: Claim) -> Self {
        Self(claim.identity.address, claim.identity.incarnation, claim.sequence, claim.dead)
    }
}

impl From<ClaimFields> for Claim {
    fn from(ClaimFields(address, incarnation, sequence, dead): ClaimFields) -> Self {
        Self { identity: VmIdentity { address, incarnation }, sequence, dead }
    }
}

impl From<VersionUpdate> for VersionFields {
    fn from(update: VersionUpdate) -> Self {
        Self(update.identity.address, update.identity.incarnation, update.configuration_version)
    }
}

impl From<VersionFields> for VersionUpdate {
    fn from(VersionFields(address, incarnation, version): VersionFields) -> Self {
        let identity = VmIdentity { address, incarnation };
        Self { identity, configuration_version: version }
    }
}

impl From<RegionUpdate> for RegionFields {
    fn from(update: RegionUpdate) -> Self {
        Self(update.region, update.sequence, update.reachable)
    }
}

impl From<RegionFields> for RegionUpdate {
    fn from(RegionFields(region, sequence, reachable): RegionFields) -> Self {
        Self { region, sequence, reachable }
    }
}
