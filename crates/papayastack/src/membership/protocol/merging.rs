//! Merging of received updates: a higher sequence or incarnation always replaces a lower one.

use std::time::{Duration, Instant};

use crate::membership::VmIdentity;
use crate::membership::liveness::Evidence;
use crate::membership::message::{Claim, Record, Update, VersionUpdate};

use super::{MembershipProtocol, ViewChange};

/// The number of suspicion time-outs for which a VM must have heard no peer of its region before it
/// declares any of them dead.
const ISOLATION_FACTOR: u32 = 4;

/// What this VM knows about the sender of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SenderStatus {
    /// The sender's record is known and nothing is claimed against it.
    Alive,
    /// The sender counts as suspect or dead, and should refute that.
    SuspectOrDead,
    /// The sender's record is not known.
    Unknown,
}

impl MembershipProtocol {
    pub(super) fn merge_updates(&mut self, updates: Vec<Update>, now: Instant) {
        for update in updates {
            match update {
                Update::Record(record) => self.merge_record(record),
                Update::Claim(claim) => self.merge_claim(claim, now),
                Update::Version(version) => self.merge_version(version),
                Update::Region(region) => {
                    if self.regions.merge(&region, now) {
                        self.enqueue(Update::Region(region));
                        self.raise_change(ViewChange::Members);
                    }
                }
            }
        }
    }

    /// Records that a datagram came from `sender`; returns what is known about it.
    pub(super) fn mark_sender_heard(&mut self, sender: &VmIdentity, now: Instant) -> SenderStatus {
        let deadline = now + self.suspicion_timeout();
        let Some(peer) = self.peers.get_mut(sender.address) else { return SenderStatus::Unknown };
        if peer.record.identity.incarnation != sender.incarnation {
            return SenderStatus::Unknown;
        }
        peer.apply(&Evidence::DatagramReceived { now, deadline });
        let suspect_or_dead = peer.claim().is_some();
        let data_centre = peer.record.data_centre.clone();
        if self.regions.of(&data_centre) == self.regions.of(&self.own_record.data_centre) {
            self.region_peer_heard_at = now;
        } else {
            self.mark_region_heard(&data_centre, now);
        }
        if suspect_or_dead { SenderStatus::SuspectOrDead } else { SenderStatus::Alive }
    }

    /// Suspects a peer that answered neither the direct nor the indirect probes.
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
    /// A VM that hears no peer of its region declares nobody dead for a while: more likely its own
    /// network fails than all the others.
    pub(super) fn expire_suspicions(&mut self, now: Instant) {
        let silence = now.saturating_duration_since(self.region_peer_heard_at);
        let suspicion = self.suspicion_timeout();
        let isolated = silence >= suspicion && self.peers.region_peers().len() > 1;
        if isolated && silence < suspicion * ISOLATION_FACTOR {
            return;
        }
        for address in self.peers.expired_suspects(now) {
            let Some(claim) = self.peers.get(address).and_then(super::peers::Peer::claim) else {
                continue;
            };
            self.counts.deaths += 1;
            self.merge_claim(Claim { dead: true, ..claim }, now);
        }
    }

    /// Returns the time that a suspect has to refute; it grows with the region, where updates take
    /// longer to reach all VMs.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        let members = (self.peers.region_peers().len() + 1) as f64;
        let scale = members.log10().max(1.0);
        Duration::from_millis(self.settings.suspicion_ms).mul_f64(scale)
    }

    /// Returns whether an update claims that this very process is suspect or dead.
    pub(super) fn is_claim_against_self(&self, update: &Update) -> bool {
        matches!(update, Update::Claim(claim) if claim.identity == self.own_record.identity)
    }

    /// Raises the sequence of this VM's own record and gossips the record.
    pub(super) fn publish_own_record(&mut self) {
        self.own_record.sequence += 1;
        let own = self.own_record.clone();
        self.enqueue(Update::Record(own));
        self.raise_change(ViewChange::Members);
    }

    fn merge_record(&mut self, record: Record) {
        let address = record.identity.address;
        if address == self.own_record.identity.address {
            self.refute(
                &record.identity,
                record.sequence + 1,
                record.sequence > self.own_record.sequence,
            );
            return;
        }
        let Some(peer) = self.peers.get_mut(address) else {
            self.add_peer(record);
            return;
        };
        let known = &peer.record;
        if record.identity.incarnation > known.identity.incarnation {
            self.add_peer(record);
            return;
        }
        if record.identity.incarnation < known.identity.incarnation {
            return;
        }
        if record.sequence <= known.sequence {
            let identity = record.identity;
            let configuration_version = record.configuration_version;
            self.merge_version(VersionUpdate { identity, configuration_version });
            return;
        }
        let version = known.configuration_version.max(record.configuration_version);
        let record = Record { configuration_version: version, ..record };
        peer.record = record.clone();
        if peer.apply(&Evidence::RecordReceived { sequence: record.sequence }) {
            self.counts.refutations += 1;
        }
        self.peers.reindex(address);
        self.enqueue(Update::Record(record));
        self.raise_change(ViewChange::Members);
    }

    fn add_peer(&mut self, record: Record) {
        self.peers.insert(record.clone());
        self.enqueue(Update::Record(record));
        self.raise_change(ViewChange::Members);
        self.hasten_anti_entropy();
    }

    fn merge_claim(&mut self, claim: Claim, now: Instant) {
        let address = claim.identity.address;
        if address == self.own_record.identity.address {
            self.refute(
                &claim.identity,
                claim.sequence + 1,
                claim.sequence >= self.own_record.sequence,
            );
            return;
        }
        let deadline = now + self.suspicion_timeout();
        let region = self.regions.of(&self.own_record.data_centre);
        let Some(peer) = self.peers.get_mut(address) else { return };
        let in_own_region = self.regions.of(&peer.record.data_centre) == region;
        if claim.identity.incarnation < peer.record.identity.incarnation
            || claim.sequence < peer.record.sequence
                && claim.identity.incarnation == peer.record.identity.incarnation
        {
            return;
        }
        let evidence = if claim.dead {
            Evidence::Dead { sequence: claim.sequence, now }
        } else if in_own_region && claim.identity == peer.record.identity {
            Evidence::Suspected { sequence: claim.sequence, now, deadline }
        } else {
            return;
        };
        if claim.identity.incarnation > peer.record.identity.incarnation {
            peer.record.identity.incarnation = claim.identity.incarnation;
            peer.record.sequence = claim.sequence;
        }
        let claimed_before = peer.claimed_sequence();
        let changed = peer.apply(&evidence);
        if !changed && claim.sequence <= claimed_before {
            return;
        }
        let left_view = changed && claim.dead;
        self.peers.reindex(address);
        self.enqueue(Update::Claim(claim));
        if left_view {
            self.raise_change(ViewChange::Members);
        }
    }

    fn merge_version(&mut self, update: VersionUpdate) {
        let Some(peer) = self.peers.get_mut(update.identity.address) else { return };
        let known = &mut peer.record;
        if known.identity != update.identity
            || known.configuration_version >= update.configuration_version
        {
            return;
        }
        known.configuration_version = update.configuration_version;
        self.enqueue(Update::Version(update));
        self.raise_change(ViewChange::Versions);
    }

    /// If `needed` and if `identity` is this very process, publishes a record whose sequence is at
    /// least `sequence`, to refute a claim or record about this process.
    fn refute(&mut self, identity: &VmIdentity, sequence: u64, needed: bool) {
        if *identity != self.own_record.identity || !needed || self.ended {
            return;
        }
        self.counts.own_refutations += 1;
        self.own_record.sequence = self.own_record.sequence.max(sequence.saturating_sub(1));
        self.publish_own_record();
    }
}
