//! Replay protection: a window of sequence numbers for each sender, which tells a repeated datagram
//! from a late one.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, VmAddress};
use crate::membership::VmIdentity;

use super::SealError;

const WINDOW_WIDTH: u64 = 128;
const SENDERS_MAX: usize = 16_384;

/// Records which datagrams of each sender have arrived, for a bounded number of senders and of
/// sequence numbers.
#[derive(Debug, Default)]
pub(crate) struct ReplayGuard {
    senders: BTreeMap<VmAddress, SenderWindow>,
    arrivals: u64,
}

impl ReplayGuard {
    /// Admits the datagram number `sequence` of `sender` at most once; refuses it also if it is too
    /// old to tell, or if a later process has replaced the sender.
    pub(crate) fn admit(&mut self, sender: VmIdentity, sequence: u64) -> Result<(), SealError> {
        self.arrivals += 1;
        if !self.senders.contains_key(&sender.address) && self.senders.len() >= SENDERS_MAX {
            self.evict_oldest();
        }
        let fresh = SenderWindow::new(sender.incarnation);
        let window = self.senders.entry(sender.address).or_insert(fresh);
        if sender.incarnation < window.incarnation {
            return Err(SealError::Replaced);
        }
        if sender.incarnation > window.incarnation {
            *window = SenderWindow::new(sender.incarnation);
        }
        window.last_arrival = self.arrivals;
        window.admit(sequence)
    }

    fn evict_oldest(&mut self) {
        let oldest = self.senders.iter().min_by_key(|(_, window)| window.last_arrival);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.senders.remove(&address);
        }
    }
}

/// The window of one sender: the highest sequence number seen, and a bit for it and for each of the
/// numbers below it that the window covers.
#[derive(Debug)]
struct SenderWindow {
    incarnation: Incarnation,
    last_arrival: u64,
    highest: u64,
    seen: u128,
}

impl SenderWindow {
    fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, last_arrival: 0, highest: 0, seen: 0 }
    }

    fn admit(&mut self, sequence: u64) -> Result<(), SealError> {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            self.seen = if advance < WINDOW_WIDTH { self.seen << advance } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return Ok(());
        }
        let age = self.highest - sequence;
        if age >= WINDOW_WIDTH || self.seen & (1 << age) != 0 {
            return Err(SealError::Replayed);
        }
        self.seen |= 1 << age;
        Ok(())
    }
}
