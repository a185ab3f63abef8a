//! Building and sending messages.

use std::time::Instant;

use crate::cbor::encode;
use crate::ids::VmAddress;
use crate::membership::VmIdentity;
use crate::membership::message::{Claim, Message, ProbeNumber, Purpose, Update};

use super::merging::Acquaintance;
use super::{MembershipDatagram, MembershipProtocol};

/// The most bytes of updates on a probe or an acknowledgement.
pub(super) const PIGGYBACK_MAX_BYTES: usize = 400;
/// The most bytes of updates in a datagram of its own.
pub(super) const SPREAD_MAX_BYTES: usize = 1_150;

const SPREAD_FAN_OUT: usize = 3;
const END_FAN_OUT: usize = 8;
const SPREAD_FAN_OUT_SENDS: u32 = 3;
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;
/// What sealing and addressing add to a datagram, about.
pub(super) const CONTENT_OVERHEAD_BYTES: usize = 100;

impl MembershipProtocol {
    /// Queues news for the own region, and for other regions where this VM is a contact.
    pub(super) fn enqueue(&mut self, update: Update) {
        self.bridges.enqueue(&update);
        self.updates.push(update);
    }

    /// Sends a probe that nothing waits for, with any claim against the receiver.
    pub(super) fn send_probe(&mut self, receiver: VmAddress) -> ProbeNumber {
        let number = self.probes.next_number();
        let mut updates = self.claims_against(receiver);
        updates.extend(self.piggyback(receiver));
        self.send(receiver, Purpose::Probe(number), updates);
        number
    }

    /// Probes an address that is not a member, and introduces this VM with it.
    pub(super) fn send_first_probe(&mut self, receiver: VmAddress) {
        let number = self.probes.next_number();
        let mut updates = self.claims_against(receiver);
        updates.push(Update::Record(self.own.clone()));
        self.send_unaddressed(receiver, Purpose::Probe(number), updates);
    }

    pub(super) fn send_acknowledgement(
        &mut self,
        receiver: &VmIdentity,
        number: ProbeNumber,
        acquaintance: Acquaintance,
    ) {
        let mut updates = match acquaintance {
            Acquaintance::Good => Vec::new(),
            Acquaintance::Doubted => self.claims_against(receiver.address),
            Acquaintance::Unknown => vec![Update::Record(self.own.clone())],
        };
        updates.extend(self.piggyback(receiver.address));
        self.send_to(receiver, Purpose::Acknowledge(number), updates);
    }

    /// Sends this VM's own record, within the budget.
    pub(super) fn send_introduction(&mut self, receiver: &VmIdentity, now: Instant) {
        if !self.budget.spend(CONTENT_OVERHEAD_BYTES, now) {
            return;
        }
        let own = Update::Record(self.own.clone());
        self.send_to(receiver, Purpose::Spread, vec![own]);
    }

    /// Asks a sender that is not known well for a statement about itself, within the budget.
    pub(super) fn ask_for_statement(
        &mut self,
        sender: &VmIdentity,
        acquaintance: Acquaintance,
        now: Instant,
    ) {
        let needed = acquaintance != Acquaintance::Good;
        if !needed || !self.budget.spend(CONTENT_OVERHEAD_BYTES, now) {
            return;
        }
        match acquaintance {
            Acquaintance::Good => {}
            Acquaintance::Doubted => {
                let claims = self.claims_against(sender.address);
                self.send_to(sender, Purpose::Spread, claims);
            }
            Acquaintance::Unknown => self.send_to(sender, Purpose::Introduce, Vec::new()),
        }
    }

    /// Sends news that nobody has got yet to a few neighbours at once.
    pub(super) fn spread_fresh(&mut self, now: Instant) {
        if !self.updates.has_fresh() || self.peers.neighbours().is_empty() {
            return;
        }
        let whole = SPREAD_FAN_OUT * (SPREAD_MAX_BYTES + CONTENT_OVERHEAD_BYTES);
        if !self.budget.spend(whole, now) {
            return;
        }
        let receivers = self.peers.choose(SPREAD_FAN_OUT, None, &mut self.random);
        let limit = self.transmissions_max();
        let updates = self.updates.take(SPREAD_MAX_BYTES, limit, SPREAD_FAN_OUT_SENDS);
        for receiver in receivers {
            self.send(receiver, Purpose::Spread, updates.clone());
        }
    }

    /// Tells neighbours and contacts that this VM has ended.
    pub(super) fn announce_end(&mut self, now: Instant) {
        self.peers.refresh(&self.regions, &self.own);
        let identity = self.own.identity.clone();
        let claim = Claim { identity, sequence: self.own.sequence + 1, dead: true };
        let mut receivers = self.peers.choose(END_FAN_OUT, None, &mut self.random);
        receivers.extend(self.bridges.receivers());
        let affordable = self.budget.spend(receivers.len() * CONTENT_OVERHEAD_BYTES, now);
        if affordable {
            for receiver in receivers {
                self.send(receiver, Purpose::Spread, vec![Update::Claim(claim.clone())]);
            }
        }
    }

    /// Sends to the process that is known at `receiver`.
    pub(super) fn send(&mut self, receiver: VmAddress, purpose: Purpose, updates: Vec<Update>) {
        match self.peers.get(receiver) {
            Some(peer) => {
                let identity = peer.record.identity.clone();
                self.send_to(&identity, purpose, updates);
            }
            None => self.send_unaddressed(receiver, purpose, updates),
        }
    }

    pub(super) fn send_to(
        &mut self,
        receiver: &VmIdentity,
        purpose: Purpose,
        updates: Vec<Update>,
    ) {
        let body = encode(&Message(purpose, updates));
        let incarnation = Some(receiver.incarnation);
        self.outbox.push(MembershipDatagram { receiver: receiver.address, incarnation, body });
    }

    /// Takes the updates that ride on a message to `receiver`.
    pub(super) fn piggyback(&mut self, receiver: VmAddress) -> Vec<Update> {
        let region = self.peers.get(receiver).map(|peer| {
            let region = self.regions.of(&peer.record.data_centre);
            (region.to_owned(), region == self.regions.of(&self.own.data_centre))
        });
        match region {
            Some((region, false)) => self.bridges.take(&region, PIGGYBACK_MAX_BYTES),
            Some((_, true)) | None => {
                let limit = self.transmissions_max();
                self.updates.take(PIGGYBACK_MAX_BYTES, limit, 1)
            }
        }
    }

    fn send_unaddressed(&mut self, receiver: VmAddress, purpose: Purpose, updates: Vec<Update>) {
        let body = encode(&Message(purpose, updates));
        self.outbox.push(MembershipDatagram { receiver, incarnation: None, body });
    }

    fn claims_against(&self, address: VmAddress) -> Vec<Update> {
        let claim = self.peers.get(address).and_then(super::peers::Peer::claim);
        claim.map(Update::Claim).into_iter().collect()
    }

    fn transmissions_max(&self) -> u32 {
        let members = self.peers.neighbours().len() as u32 + 2;
        TRANSMISSIONS_PER_DOUBLING * (members.ilog2() + 1)
    }
}
