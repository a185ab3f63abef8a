//! Merging what others tell: a later statement or incarnation always replaces an earlier one.

use std::time::{Duration, Instant};

use crate::membership::VmIdentity;
use crate::membership::message::{Claim, Record, Update, VersionNote};
use crate::membership::standing::Evidence;

use super::{MembershipProtocol, ViewChange};

/// How much longer a VM that hears no neighbour at all waits before it declares them dead.
const ALONE_FACTOR: u32 = 4;

/// How well this VM knows the sender of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Acquaintance {
    /// The sender's record is held and nothing is claimed against it.
    Good,
    /// The sender is suspected or counts as dead, and should refute.
    Doubted,
    /// The sender's record is not held.
    Unknown,
}

impl MembershipProtocol {
    pub(super) fn merge_all(&mut self, updates: Vec<Update>, now: Instant) {
        for update in updates {
            match update {
                Update::Record(record) => self.merge_record(record),
                Update::Claim(claim) => self.merge_claim(claim, now),
                Update::Version(note) => self.merge_version(note),
                Update::Region(note) => {
                    if self.regions.merge(&note, now) {
                        self.enqueue(Update::Region(note));
                        self.raise_change(ViewChange::Members);
                    }
                }
            }
        }
    }

    /// Notes that `sender` itself was heard.
    pub(super) fn note_heard(&mut self, sender: &VmIdentity, now: Instant) -> Acquaintance {
        let deadline = now + self.suspicion_time();
        let Some(peer) = self.peers.get_mut(sender.address) else { return Acquaintance::Unknown };
        if peer.record.identity.incarnation != sender.incarnation {
            return Acquaintance::Unknown;
        }
        peer.weigh(&Evidence::Heard { now, deadline });
        let doubted = peer.claim().is_some();
        let data_centre = peer.record.data_centre.clone();
        if self.regions.of(&data_centre) == self.regions.of(&self.own.data_centre) {
            self.neighbour_heard_at = now;
        } else {
            self.note_region_heard(&data_centre, now);
        }
        if doubted { Acquaintance::Doubted } else { Acquaintance::Good }
    }

    /// Suspects a peer of the own region that answered neither directly nor through others.
    pub(super) fn suspect(&mut self, identity: &VmIdentity, now: Instant) {
        let Some(peer) = self.peers.get(identity.address) else { return };
        if peer.record.identity != *identity || peer.is_suspect() || peer.is_dead() {
            return;
        }
        let sequence = peer.record.sequence;
        self.counts.suspicions += 1;
        self.merge_claim(Claim { identity: identity.clone(), sequence, dead: false }, now);
        self.send_probe(identity.address);
    }

    /// Declares dead the suspects that did not refute in time.
    ///
    /// A VM that hears nobody at all is more likely cut off than the last one alive.
    pub(super) fn expire_suspicions(&mut self, now: Instant) {
        let silence = now.saturating_duration_since(self.neighbour_heard_at);
        let suspicion = self.suspicion_time();
        let alone = silence >= suspicion && self.peers.neighbours().len() > 1;
        if alone && silence < suspicion * ALONE_FACTOR {
            return;
        }
        for address in self.peers.overdue(now) {
            let Some(claim) = self.peers.get(address).and_then(super::peers::Peer::claim) else {
                continue;
            };
            self.counts.deaths += 1;
            self.merge_claim(Claim { dead: true, ..claim }, now);
        }
    }

    /// Returns how long a suspect may refute; longer in a large region, which news crosses slower.
    pub(super) fn suspicion_time(&self) -> Duration {
        let members = (self.peers.neighbours().len() + 1) as f64;
        let scale = members.log10().max(1.0);
        Duration::from_millis(self.settings.suspicion_ms).mul_f64(scale)
    }

    /// Says whether an update claims that this very process is suspect or dead.
    pub(super) fn is_claim_against_own(&self, update: &Update) -> bool {
        matches!(update, Update::Claim(claim) if claim.identity == self.own.identity)
    }

    /// Makes a new statement of this VM about itself.
    pub(super) fn state_own(&mut self) {
        self.own.sequence += 1;
        let own = self.own.clone();
        self.enqueue(Update::Record(own));
        self.raise_change(ViewChange::Members);
    }

    fn merge_record(&mut self, record: Record) {
        let address = record.identity.address;
        if address == self.own.identity.address {
            self.outdo(&record.identity, record.sequence + 1, record.sequence > self.own.sequence);
            return;
        }
        let Some(peer) = self.peers.get_mut(address) else {
            self.admit(record);
            return;
        };
        let known = &peer.record;
        if record.identity.incarnation > known.identity.incarnation {
            self.admit(record);
            return;
        }
        if record.identity.incarnation < known.identity.incarnation {
            return;
        }
        if record.sequence <= known.sequence {
            let identity = record.identity;
            let configuration_version = record.configuration_version;
            self.merge_version(VersionNote { identity, configuration_version });
            return;
        }
        let version = known.configuration_version.max(record.configuration_version);
        let record = Record { configuration_version: version, ..record };
        peer.record = record.clone();
        if peer.weigh(&Evidence::Stated { sequence: record.sequence }) {
            self.counts.refutations += 1;
        }
        self.peers.index(address);
        self.enqueue(Update::Record(record));
        self.raise_change(ViewChange::Members);
    }

    fn admit(&mut self, record: Record) {
        self.peers.insert(record.clone());
        self.enqueue(Update::Record(record));
        self.raise_change(ViewChange::Members);
        self.hasten_comparison();
    }

    fn merge_claim(&mut self, claim: Claim, now: Instant) {
        let address = claim.identity.address;
        if address == self.own.identity.address {
            self.outdo(&claim.identity, claim.sequence + 1, claim.sequence >= self.own.sequence);
            return;
        }
        let deadline = now + self.suspicion_time();
        let region = self.regions.of(&self.own.data_centre);
        let Some(peer) = self.peers.get_mut(address) else { return };
        let near = self.regions.of(&peer.record.data_centre) == region;
        if claim.identity.incarnation < peer.record.identity.incarnation
            || claim.sequence < peer.record.sequence
                && claim.identity.incarnation == peer.record.identity.incarnation
        {
            return;
        }
        let evidence = if claim.dead {
            Evidence::Dead { sequence: claim.sequence, now }
        } else if near && claim.identity == peer.record.identity {
            Evidence::Suspected { sequence: claim.sequence, now, deadline }
        } else {
            return;
        };
        if claim.identity.incarnation > peer.record.identity.incarnation {
            peer.record.identity.incarnation = claim.identity.incarnation;
            peer.record.sequence = claim.sequence;
        }
        let claimed_before = peer.claimed_sequence();
        let changed = peer.weigh(&evidence);
        if !changed && claim.sequence <= claimed_before {
            return;
        }
        let was_in_view = changed && claim.dead;
        self.peers.index(address);
        self.enqueue(Update::Claim(claim));
        if was_in_view {
            self.raise_change(ViewChange::Members);
        }
    }

    fn merge_version(&mut self, note: VersionNote) {
        let Some(peer) = self.peers.get_mut(note.identity.address) else { return };
        let known = &mut peer.record;
        if known.identity != note.identity
            || known.configuration_version >= note.configuration_version
        {
            return;
        }
        known.configuration_version = note.configuration_version;
        self.enqueue(Update::Version(note));
        self.raise_change(ViewChange::Versions);
    }

    /// Answers a statement or claim about this very process with a statement of `sequence`.
    fn outdo(&mut self, identity: &VmIdentity, sequence: u64, needed: bool) {
        if *identity != self.own.identity || !needed || self.gone {
            return;
        }
        self.counts.own_refutations += 1;
        self.own.sequence = self.own.sequence.max(sequence.saturating_sub(1));
        self.state_own();
    }
}
