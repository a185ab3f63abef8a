//! The messages between VMs about membership, and their encoding.
//!
//! Field names are left out on the wire: messages are short and travel in every interval.

use std::net::SocketAddr;

use bytes::Bytes;
use papayastack_macros::message;

use crate::ids::{DataCentreName, Incarnation, RegionName, VmAddress};

use super::VmIdentity;

/// One datagram's content: why it was sent, and what else it tells.
#[message]
pub(crate) struct Message(pub(crate) Purpose, pub(crate) Vec<Update>);

/// Numbers the probes of one VM.
pub(crate) type ProbeNumber = u32;

/// Why a message was sent.
#[message]
pub(crate) enum Purpose {
    /// Asks the receiver for an acknowledgement.
    #[serde(rename = "p")]
    Probe(ProbeNumber),
    /// Asks the receiver to probe another VM and to pass its acknowledgement on.
    #[serde(rename = "f")]
    ProbeFor(ProbeNumber, VmAddress),
    /// Answers a probe.
    #[serde(rename = "a")]
    Acknowledge(ProbeNumber),
    /// Asks the receiver for its own record.
    #[serde(rename = "i")]
    Introduce,
    /// Only carries updates.
    #[serde(rename = "s")]
    Spread,
    /// Carries the notice of another part, which membership does not look into.
    #[serde(rename = "n")]
    Notice(Bytes),
    /// Asks for the records in buckets whose digest differs from the receiver's.
    #[serde(rename = "c")]
    Compare {
        /// The digest of each bucket; their number is a power of two.
        #[serde(rename = "d")]
        digests: Vec<u32>,
        /// Whether the receiver compares in the other direction too.
        #[serde(rename = "m")]
        mutual: bool,
    },
}

/// One piece of news about a VM or a region.
#[message]
pub(crate) enum Update {
    /// What a VM says about itself.
    #[serde(rename = "r")]
    Record(Record),
    /// What others say about a VM.
    #[serde(rename = "c")]
    Claim(Claim),
    /// The configuration that a VM has in force.
    #[serde(rename = "v")]
    Version(VersionNote),
    /// Whether another region answers.
    #[serde(rename = "g")]
    Region(RegionNote),
}

/// What a VM says about itself; a higher sequence replaces a lower one.
#[message]
#[serde(into = "RecordFields", from = "RecordFields")]
pub(crate) struct Record {
    /// Who it is.
    pub(crate) identity: VmIdentity,
    /// Counts the VM's statements about itself.
    pub(crate) sequence: u64,
    /// Whether it takes no new work.
    pub(crate) leaving: bool,
    /// Where it runs.
    pub(crate) data_centre: DataCentreName,
    /// Its address for callers.
    pub(crate) caller_address: SocketAddr,
    /// The version of the configuration in force; it only rises.
    pub(crate) configuration_version: u64,
}

/// What others say about a VM; its own statement with a higher sequence refutes it.
#[message]
#[serde(into = "ClaimFields", from = "ClaimFields")]
pub(crate) struct Claim {
    /// Whom the claim is about.
    pub(crate) identity: VmIdentity,
    /// The last statement of that VM that the claim knows.
    pub(crate) sequence: u64,
    /// Whether the VM is dead rather than only suspected.
    pub(crate) dead: bool,
}

/// The configuration that a VM has in force.
#[message]
#[serde(into = "VersionFields", from = "VersionFields")]
pub(crate) struct VersionNote {
    /// Whom the note is about.
    pub(crate) identity: VmIdentity,
    /// The version in force.
    pub(crate) configuration_version: u64,
}

/// Whether a region answers the contacts of the region that spreads this note.
#[message]
#[serde(into = "RegionFields", from = "RegionFields")]
pub(crate) struct RegionNote {
    /// The region that is reported on.
    pub(crate) region: RegionName,
    /// Orders the notes about one region.
    pub(crate) sequence: u64,
    /// Whether it answers.
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

impl From<VersionNote> for VersionFields {
    fn from(note: VersionNote) -> Self {
        Self(note.identity.address, note.identity.incarnation, note.configuration_version)
    }
}

impl From<VersionFields> for VersionNote {
    fn from(VersionFields(address, incarnation, version): VersionFields) -> Self {
        let identity = VmIdentity { address, incarnation };
        Self { identity, configuration_version: version }
    }
}

impl From<RegionNote> for RegionFields {
    fn from(note: RegionNote) -> Self {
        Self(note.region, note.sequence, note.reachable)
    }
}

impl From<RegionFields> for RegionNote {
    fn from(RegionFields(region, sequence, reachable): RegionFields) -> Self {
        Self { region, sequence, reachable }
    }
}
