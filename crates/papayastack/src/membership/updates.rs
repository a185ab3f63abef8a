//! The queue of updates that still have to be spread.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{RegionName, VmAddress};

use super::message::Update;
use crate::cbor::encode;

/// The longest update that is spread, in bytes; a name of 128 bytes fits.
const UPDATE_MAX_BYTES: usize = 300;

/// What an update replaces: a newer one about the same subject.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// Whether a VM lives.
    Standing(VmAddress),
    /// Whether a region answers.
    Region(RegionName),
    /// The configuration of a VM.
    Version(VmAddress),
}

impl Subject {
    fn of(update: &Update) -> Self {
        match update {
            Update::Record(record) => Self::Standing(record.identity.address),
            Update::Claim(claim) => Self::Standing(claim.identity.address),
            Update::Version(note) => Self::Version(note.identity.address),
            Update::Region(note) => Self::Region(note.region.clone()),
        }
    }

    /// Orders subjects that were sent equally often: standings go first.
    fn rank(&self) -> u8 {
        match self {
            Self::Standing(_) | Self::Region(_) => 0,
            Self::Version(_) => 1,
        }
    }
}

/// Updates with the number of times that each was sent; one update for each subject.
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

/// Sent least often first, then by rank, then newest first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    transmissions: u32,
    rank: u8,
    age: std::cmp::Reverse<u64>,
    subject: Subject,
}

impl UpdateQueue {
    /// Adds an update in place of an older one about the same subject.
    ///
    /// An update that would not fit beside a probe is not spread: it would hold up all others.
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
            age: std::cmp::Reverse(self.arrivals),
            subject: subject.clone(),
        };
        self.order.insert(key.clone());
        self.entries.insert(subject, Entry { update, encoded_bytes, key });
    }

    /// Says whether an update has not been sent at all.
    pub(crate) fn has_fresh(&self) -> bool {
        self.order.first().is_some_and(|key| key.transmissions == 0)
    }

    /// Takes updates of up to `bytes_max` bytes; each leaves after `transmissions_max` times.
    ///
    /// `sends` is the number of datagrams that will carry the result.
    pub(crate) fn take(
        &mut self,
        bytes_max: usize,
        transmissions_max: u32,
        sends: u32,
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
            self.count_transmissions(key, transmissions_max, sends);
        }
        taken
    }

    fn count_transmissions(&mut self, mut key: OrderKey, transmissions_max: u32, sends: u32) {
        self.order.remove(&key);
        key.transmissions += sends;
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
