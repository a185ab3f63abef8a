//! The reasons for dropping a message from another VM, and their counts.

use std::collections::BTreeMap;

use papayastack_macros::closed_set;

/// Says why a datagram, a handshake message or a frame was dropped.
#[closed_set]
pub enum SealError {
    /// The message is longer than the receiver accepts.
    Oversize,
    /// The message is too short for a tag, or its authenticated content cannot be decoded.
    Malformed,
    /// The tag matches no key of the system, or the message is for another receiver, or it is not
    /// the next one of its link.
    Unauthenticated,
    /// The datagram has arrived before, or is too old to tell.
    Replayed,
    /// The sender has been replaced by a later process at the same address.
    Replaced,
    /// The VM at the other end of the link is not the one that the client wanted to reach.
    UnexpectedPeer,
}

impl std::fmt::Display for SealError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::Oversize => "the message is longer than the receiver accepts",
            Self::Malformed => {
                "the message cannot be decoded; check that all VMs run compatible releases"
            }
            Self::Unauthenticated => {
                "the message's tag is wrong; check that all VMs share a key in system_keys"
            }
            Self::Replayed => "the datagram has arrived before or is too old",
            Self::Replaced => "the sender has been replaced by a later process",
            Self::UnexpectedPeer => "the link reached another VM than the one addressed",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for SealError {}

/// Counts the dropped messages by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SealCounts {
    counts: BTreeMap<SealError, u64>,
}

impl SealCounts {
    /// Counts one dropped message.
    pub fn add(&mut self, reason: SealError) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Returns the number of messages dropped for `reason`.
    pub fn get(&self, reason: SealError) -> u64 {
        self.counts.get(&reason).copied().unwrap_or_default()
    }

    /// Iterates over the reasons that occurred and their counts.
    pub fn iter(&self) -> impl Iterator<Item = (SealError, u64)> {
        self.counts.iter().map(|(reason, count)| (*reason, *count))
    }
}
