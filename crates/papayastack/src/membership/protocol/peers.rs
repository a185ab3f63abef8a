//! The table of peers, which holds one record and the liveness for each address.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use statig::prelude::*;
use twox_hash::XxHash3_64;

use crate::ids::VmAddress;
use crate::membership::liveness::{Evidence, Liveness, State};
use crate::membership::message::{Claim, Record};
use crate::membership::regions::Regions;
use crate::membership::{Member, MemberState};

const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(3_600);
const TOMBSTONE_CHECK: Duration = Duration::from_secs(10);

/// What this VM knows about one peer.
pub(crate) struct Peer {
    pub(crate) record: Record,
    /// The hash of the address, which determines the peer's bucket in digests.
    pub(crate) address_hash: u64,
    liveness: StateMachine<Liveness>,
}

impl Peer {
    pub(crate) fn new(record: Record) -> Self {
        let mut liveness = Liveness::default().state_machine();
        liveness.init();
        Self { address_hash: address_hash(record.identity.address), record, liveness }
    }

    /// Applies evidence and returns whether the liveness state changed.
    pub(crate) fn apply(&mut self, evidence: &Evidence) -> bool {
        let before = std::mem::discriminant(self.liveness.state());
        self.liveness.handle(evidence);
        before != std::mem::discriminant(self.liveness.state())
    }

    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.liveness.state(), State::Dead { .. })
    }

    pub(crate) fn is_suspect(&self) -> bool {
        matches!(self.liveness.state(), State::Suspect { .. })
    }

    pub(crate) fn claimed_sequence(&self) -> u64 {
        self.liveness.inner().claimed_sequence
    }

    /// Returns the claim that the peer is suspect or dead, if there is one.
    pub(crate) fn claim(&self) -> Option<Claim> {
        let dead = match self.liveness.state() {
            State::Alive {} => return None,
            State::Suspect { .. } => false,
            State::Dead { .. } => true,
        };
        let sequence = self.claimed_sequence();
        Some(Claim { identity: self.record.identity.clone(), sequence, dead })
    }

    fn deadline(&self) -> Option<Instant> {
        match self.liveness.state() {
            State::Suspect { deadline, .. } => Some(*deadline),
            State::Alive {} | State::Dead { .. } => None,
        }
    }

    fn dead_since(&self) -> Option<Instant> {
        match self.liveness.state() {
            State::Dead { since } => Some(*since),
            State::Alive {} | State::Suspect { .. } => None,
        }
    }
}

impl std::fmt::Debug for Peer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Peer({:?}, {:?})", self.record, self.liveness.state())
    }
}

/// All peers by address, with the sets and lists derived from them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_address: BTreeMap<VmAddress, Peer>,
    suspects: BTreeSet<VmAddress>,
    tombstones: BTreeSet<VmAddress>,
    tombstones_checked_at: Option<Instant>,
    region_peers: Vec<VmAddress>,
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

    /// Adds a peer, replacing an earlier process at the same address.
    pub(crate) fn insert(&mut self, record: Record) {
        let address = record.identity.address;
        self.by_address.insert(address, Peer::new(record));
        self.reindex(address);
    }

    /// Updates the derived sets after the peer at `address` changed.
    pub(crate) fn reindex(&mut self, address: VmAddress) {
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

    /// Returns a number that increases whenever [`Peers::refresh`] finds a change.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the live peers of the own region as of the last [`Peers::refresh`].
    pub(crate) fn region_peers(&self) -> &[VmAddress] {
        &self.region_peers
    }

    pub(crate) fn suspects(&self) -> &BTreeSet<VmAddress> {
        &self.suspects
    }

    /// Recomputes the live peers of the own region if anything changed.
    pub(crate) fn refresh(&mut self, regions: &Regions, own: &Record) {
        if !self.changed {
            return;
        }
        self.changed = false;
        self.generation += 1;
        let region = regions.of(&own.data_centre);
        let is_live_here =
            |peer: &&Peer| !peer.is_dead() && regions.of(&peer.record.data_centre) == region;
        let live = self.by_address.values().filter(is_live_here);
        self.region_peers = live.map(|peer| peer.record.identity.address).collect();
    }

    /// Returns the next peer to probe: each peer of the own region once per shuffled round.
    pub(crate) fn next_probe_target(&mut self, random: &mut impl Rng) -> Option<VmAddress> {
        loop {
            if self.rotation.is_empty() {
                self.rotation = self.region_peers.clone();
                self.rotation.shuffle(random);
            }
            let address = self.rotation.pop()?;
            if self.is_live(address) {
                return Some(address);
            }
            if self.region_peers.iter().all(|peer| !self.is_live(*peer)) {
                return None;
            }
        }
    }

    /// Chooses up to `count` random peers of the own region other than `except`.
    pub(crate) fn choose(
        &self,
        count: usize,
        except: Option<VmAddress>,
        random: &mut impl Rng,
    ) -> Vec<VmAddress> {
        let chosen = self.region_peers.choose_multiple(random, count + 1);
        let others = chosen.filter(|address| Some(**address) != except);
        others.take(count).copied().collect()
    }

    /// Returns the suspects that did not refute before their deadline.
    pub(crate) fn expired_suspects(&self, now: Instant) -> Vec<VmAddress> {
        let is_expired = |address: &&VmAddress| {
            let deadline = self.get(**address).and_then(Peer::deadline);
            deadline.is_some_and(|deadline| deadline <= now)
        };
        self.suspects.iter().filter(is_expired).copied().collect()
    }

    /// Sets the deadline of every suspicion to `deadline`.
    pub(crate) fn extend_suspicions(&mut self, deadline: Instant) {
        for address in &self.suspects {
            if let Some(peer) = self.by_address.get_mut(address) {
                peer.apply(&Evidence::LocalStall { deadline });
            }
        }
    }

    /// Removes peers that were declared dead more than [`TOMBSTONE_LIFETIME`] ago.
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

    /// Iterates over the peers that are not dead.
    pub(crate) fn members(&self) -> impl Iterator<Item = Member> {
        self.iter().filter(|peer| !peer.is_dead()).map(|peer| member_from(&peer.record))
    }
}

/// Converts a record to the form that the view publishes.
pub(crate) fn member_from(record: &Record) -> Member {
    Member {
        identity: record.identity.clone(),
        data_centre: record.data_centre.clone(),
        caller_address: record.caller_address,
        state: if record.leaving { MemberState::Leaving } else { MemberState::Live },
        configuration_version: record.configuration_version,
    }
}

/// Converts a VM's description of itself to its first record.
pub(crate) fn initial_record(own: Member) -> Record {
    Record {
        identity: own.identity,
        sequence: 0,
        leaving: own.state == MemberState::Leaving,
        data_centre: own.data_centre,
        caller_address: own.caller_address,
        configuration_version: own.configuration_version,
    }
}

/// Hashes an address, to determine its bucket in digests.
pub(crate) fn address_hash(address: VmAddress) -> u64 {
    XxHash3_64::oneshot(address.to_string().as_bytes())
}
