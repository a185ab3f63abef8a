//! The table of peers: one record and one standing for each address.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use statig::prelude::*;
use twox_hash::XxHash3_64;

use crate::ids::VmAddress;
use crate::membership::message::{Claim, Record};
use crate::membership::regions::Regions;
use crate::membership::standing::{Evidence, Standing, State};
use crate::membership::{Member, MemberState};

const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(3_600);
const TOMBSTONE_CHECK: Duration = Duration::from_secs(10);

/// One peer.
pub(crate) struct Peer {
    pub(crate) record: Record,
    /// The hash of the address, which chooses the bucket in comparisons.
    pub(crate) address_hash: u64,
    standing: StateMachine<Standing>,
}

impl Peer {
    pub(crate) fn new(record: Record) -> Self {
        let mut standing = Standing::default().state_machine();
        standing.init();
        Self { address_hash: address_hash(record.identity.address), record, standing }
    }

    /// Applies evidence and says whether the standing changed.
    pub(crate) fn weigh(&mut self, evidence: &Evidence) -> bool {
        let before = std::mem::discriminant(self.standing.state());
        self.standing.handle(evidence);
        before != std::mem::discriminant(self.standing.state())
    }

    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.standing.state(), State::Dead { .. })
    }

    pub(crate) fn is_suspect(&self) -> bool {
        matches!(self.standing.state(), State::Suspect { .. })
    }

    pub(crate) fn claimed_sequence(&self) -> u64 {
        self.standing.inner().claimed_sequence
    }

    /// Returns what this VM holds against the peer.
    pub(crate) fn claim(&self) -> Option<Claim> {
        let dead = match self.standing.state() {
            State::Alive {} => return None,
            State::Suspect { .. } => false,
            State::Dead { .. } => true,
        };
        let sequence = self.claimed_sequence();
        Some(Claim { identity: self.record.identity.clone(), sequence, dead })
    }

    fn deadline(&self) -> Option<Instant> {
        match self.standing.state() {
            State::Suspect { deadline, .. } => Some(*deadline),
            State::Alive {} | State::Dead { .. } => None,
        }
    }

    fn dead_since(&self) -> Option<Instant> {
        match self.standing.state() {
            State::Dead { since } => Some(*since),
            State::Alive {} | State::Suspect { .. } => None,
        }
    }
}

impl std::fmt::Debug for Peer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Peer({:?}, {:?})", self.record, self.standing.state())
    }
}

/// All peers by address, with the lists that are derived from them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_address: BTreeMap<VmAddress, Peer>,
    suspects: BTreeSet<VmAddress>,
    tombstones: BTreeSet<VmAddress>,
    tombstones_checked_at: Option<Instant>,
    neighbours: Vec<VmAddress>,
    rotation: Vec<VmAddress>,
    changed: bool,
    generation: u64,
}

impl Peers {
    pub(crate) fn get(&self, address: VmAddress) -> Option<&Peer> {
        self.by_address.get(&address)
    }

    pub(crate) fn get_mut(&mut self, address: VmAddress) -> Option<&mut Peer> {
        self.by_address.get_mut(&address)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_address.values()
    }

    /// Takes a peer in place of an earlier process at the same address.
    pub(crate) fn insert(&mut self, record: Record) {
        let address = record.identity.address;
        self.by_address.insert(address, Peer::new(record));
        self.index(address);
    }

    /// Brings the derived sets up to date after the standing at `address` changed.
    pub(crate) fn index(&mut self, address: VmAddress) {
        self.suspects.remove(&address);
        self.tombstones.remove(&address);
        if let Some(peer) = self.by_address.get(&address) {
            if peer.is_suspect() {
                self.suspects.insert(address);
            }
            if peer.is_dead() {
                self.tombstones.insert(address);
            }
        }
        self.changed = true;
    }

    pub(crate) fn mark_changed(&mut self) {
        self.changed = true;
    }

    pub(crate) fn is_live(&self, address: VmAddress) -> bool {
        self.get(address).is_some_and(|peer| !peer.is_dead())
    }

    pub(crate) fn live_count(&self) -> usize {
        self.by_address.len() - self.tombstones.len()
    }

    /// Returns a number that rises whenever [`Peers::refresh`] found a change.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the live peers of the own region as of the last [`Peers::refresh`].
    pub(crate) fn neighbours(&self) -> &[VmAddress] {
        &self.neighbours
    }

    pub(crate) fn suspects(&self) -> &BTreeSet<VmAddress> {
        &self.suspects
    }

    /// Derives the live peers of the own region again if anything changed.
    pub(crate) fn refresh(&mut self, regions: &Regions, own: &Record) {
        if !self.changed {
            return;
        }
        self.changed = false;
        self.generation += 1;
        let region = regions.of(&own.data_centre);
        let near = |peer: &&Peer| !peer.is_dead() && regions.of(&peer.record.data_centre) == region;
        let near = self.by_address.values().filter(near);
        self.neighbours = near.map(|peer| peer.record.identity.address).collect();
    }

    /// Returns the next peer to probe: each neighbour once in a round of random order.
    pub(crate) fn next_in_rotation(&mut self, random: &mut impl Rng) -> Option<VmAddress> {
        loop {
            if self.rotation.is_empty() {
                self.rotation = self.neighbours.clone();
                self.rotation.shuffle(random);
            }
            let address = self.rotation.pop()?;
            if self.is_live(address) {
                return Some(address);
            }
            if self.neighbours.iter().all(|neighbour| !self.is_live(*neighbour)) {
                return None;
            }
        }
    }

    /// Chooses up to `count` neighbours other than `except`.
    pub(crate) fn choose(
        &self,
        count: usize,
        except: Option<VmAddress>,
        random: &mut impl Rng,
    ) -> Vec<VmAddress> {
        let chosen = self.neighbours.choose_multiple(random, count + 1);
        let others = chosen.filter(|address| Some(**address) != except);
        others.take(count).copied().collect()
    }

    /// Returns the suspects whose time to refute is over.
    pub(crate) fn overdue(&self, now: Instant) -> Vec<VmAddress> {
        let overdue = |address: &&VmAddress| {
            let deadline = self.get(**address).and_then(Peer::deadline);
            deadline.is_some_and(|deadline| deadline <= now)
        };
        self.suspects.iter().filter(overdue).copied().collect()
    }

    /// Gives every suspect until `deadline` to refute.
    pub(crate) fn extend_suspicions(&mut self, deadline: Instant) {
        for address in &self.suspects {
            if let Some(peer) = self.by_address.get_mut(address) {
                peer.weigh(&Evidence::Stalled { deadline });
            }
        }
    }

    /// Forgets peers that died long ago.
    pub(crate) fn expire_tombstones(&mut self, now: Instant) {
        let checked_at = *self.tombstones_checked_at.get_or_insert(now);
        if now.saturating_duration_since(checked_at) < TOMBSTONE_CHECK {
            return;
        }
        self.tombstones_checked_at = Some(now);
        let expired = |address: &&VmAddress| {
            let since = self.get(**address).and_then(Peer::dead_since);
            since.is_some_and(|since| now.saturating_duration_since(since) >= TOMBSTONE_LIFETIME)
        };
        let expired: Vec<VmAddress> = self.tombstones.iter().filter(expired).copied().collect();
        for address in expired {
            self.by_address.remove(&address);
            self.tombstones.remove(&address);
        }
    }

    /// Iterates over the members that are not dead.
    pub(crate) fn members(&self) -> impl Iterator<Item = Member> {
        self.iter().filter(|peer| !peer.is_dead()).map(|peer| member_of(&peer.record))
    }
}

/// Shows a record as other slices see it.
pub(crate) fn member_of(record: &Record) -> Member {
    Member {
        identity: record.identity.clone(),
        data_centre: record.data_centre.clone(),
        caller_address: record.caller_address,
        state: if record.leaving { MemberState::Leaving } else { MemberState::Live },
        configuration_version: record.configuration_version,
    }
}

/// Turns a VM's description of itself into its first statement.
pub(crate) fn record_of(own: Member) -> Record {
    Record {
        identity: own.identity,
        sequence: 0,
        leaving: own.state == MemberState::Leaving,
        data_centre: own.data_centre,
        caller_address: own.caller_address,
        configuration_version: own.configuration_version,
    }
}

/// Hashes an address to choose its bucket.
pub(crate) fn address_hash(address: VmAddress) -> u64 {
    XxHash3_64::oneshot(address.to_string().as_bytes())
}
