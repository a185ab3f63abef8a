//! Reasons for dropping what arrives between VMs, and their counts.

use std::collections::BTreeMap;

use papayastack_macros::closed_set;

/// Says why a datagram, a handshake message or a frame was dropped.
#[closed_set]
pub enum SealError {
    /// It is longer than the receiver accepts.
    Oversize,
    /// It is too short for a tag, or its authenticated content does not decode.
    Malformed,
    /// Its tag matches no key of the system, its place in the link, or this receiver.
    Unauthenticated,
    /// It arrived before, or is too old to tell.
    Replayed,
    /// Its sender has been replaced by a later process at the same address.
    Replaced,
    /// The link was authenticated by another VM than the one that was called.
    UnexpectedPeer,
}

impl std::fmt::Display for SealError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::Oversize => "it is longer than the receiver accepts",
            Self::Malformed => "it does not decode; do all VMs run compatible releases?",
            Self::Unauthenticated => "its tag is wrong; do all VMs share a key in system_keys?",
            Self::Replayed => "it arrived before",
            Self::Replaced => "its sender has been replaced by a later process",
            Self::UnexpectedPeer => "another VM answered at this address",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for SealError {}

/// Counts what was dropped, by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SealCounts {
    counts: BTreeMap<SealError, u64>,
}

impl SealCounts {
    /// Counts one drop.
    pub fn add(&mut self, reason: SealError) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Returns the drops for `reason`.
    pub fn get(&self, reason: SealError) -> u64 {
        self.counts.get(&reason).copied().unwrap_or_default()
    }

    /// Iterates over the reasons that occurred.
    pub fn iter(&self) -> impl Iterator<Item = (SealError, u64)> {
        self.counts.iter().map(|(reason, count)| (*reason, *count))
    }
}
