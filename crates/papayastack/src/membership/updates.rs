//! The queue of updates that are still to be gossiped.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{RegionName, VmAddress};

use super::message::Update;
use crate::cbor::encode;

/// The longest update that is gossiped; a record with a data centre name of 128 bytes fits.
const UPDATE_MAX_BYTES: usize = 300;

/// What an update is about; a new update replaces a queued one about the same subject.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// A VM's record, or a claim that the VM is suspect or dead.
    Liveness(VmAddress),
    /// Whether a region is reachable.
    Region(RegionName),
    /// The configuration version of a VM.
    Version(VmAddress),
}

impl Subject {
    fn of(update: &Update) -> Self {
        match update {
            Update::Record(record) => Self::Liveness(record.identity.address),
            Update::Claim(claim) => Self::Liveness(claim.identity.address),
            Update::Version(version) => Self::Version(version.identity.address),
            Update::Region(region) => Self::Region(region.region.clone()),
        }
    }

    /// Returns the rank among updates sent equally often; configuration versions go last.
    fn rank(&self) -> u8 {
        match self {
            Self::Liveness(_) | Self::Region(_) => 0,
            Self::Version(_) => 1,
        }
    }
}

/// The latest update about each subject, with the number of times that it was sent.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    entries: BTreeMap<Subject, Entry>,
    order: BTreeSet<OrderKey>,
    arrivals: u64,
}

#[derive(Debug)]
struct Entry {
    update: Update,
    encoded_bytes: usize,
    key: OrderKey,
}

/// Orders updates by fewest transmissions, then by rank, then newest first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    transmissions: u32,
    rank: u8,
    arrival: std::cmp::Reverse<u64>,
    subject: Subject,
}

impl UpdateQueue {
    /// Adds an update, replacing an older one about the same subject.
    ///
    /// An update that would not fit beside a probe is dropped, since it would block all others.
    pub(crate) fn push(&mut self, update: Update) {
        let encoded_bytes = encode(&update).len();
        if encoded_bytes > UPDATE_MAX_BYTES {
            return;
        }
        let subject = Subject::of(&update);
        if let Some(replaced) = self.entries.remove(&subject) {
            self.order.remove(&replaced.key);
        }
        self.arrivals += 1;
        let key = OrderKey {
            transmissions: 0,
            rank: subject.rank(),
            arrival: std::cmp::Reverse(self.arrivals),
            subject: subject.clone(),
        };
        self.order.insert(key.clone());
        self.entries.insert(subject, Entry { update, encoded_bytes, key });
    }

    /// Returns whether an update has never been sent.
    pub(crate) fn has_unsent(&self) -> bool {
        self.order.first().is_some_and(|key| key.transmissions == 0)
    }

    /// Returns the next updates, whose total size is at most `bytes_max` bytes.
    ///
    /// `datagrams` is the number of datagrams that will carry them; an update is removed from the
    /// queue after `transmissions_max` transmissions.
    pub(crate) fn take(
        &mut self,
        bytes_max: usize,
        transmissions_max: u32,
        datagrams: u32,
    ) -> Vec<Update> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut chosen = Vec::new();
        for key in &self.order {
            let Some(entry) = self.entries.get(&key.subject) else { continue };
            if bytes + entry.encoded_bytes > bytes_max {
                break;
            }
            bytes += entry.encoded_bytes;
            taken.push(entry.update.clone());
            chosen.push(key.clone());
        }
        for key in chosen {
            self.count_transmissions(key, transmissions_max, datagrams);
        }
        taken
    }

    fn count_transmissions(&mut self, mut key: OrderKey, transmissions_max: u32, datagrams: u32) {
        self.order.remove(&key);
        key.transmissions += datagrams;
        if key.transmissions >= transmissions_max {
            self.entries.remove(&key.subject);
            return;
        }
        if let Some(entry) = self.entries.get_mut(&key.subject) {
            entry.key = key.clone();
            self.order.insert(key);
        }
    }
}
