//! Building and sending messages.

use std::time::Instant;

use crate::cbor::encode;
use crate::ids::VmAddress;
use crate::membership::VmIdentity;
use crate::membership::message::{Claim, Message, ProbeNumber, Purpose, Update};

use super::merging::SenderStatus;
use super::{MembershipDatagram, MembershipProtocol};

/// The largest total size in bytes of the updates piggybacked on a probe or an acknowledgement.
pub(super) const PIGGYBACK_MAX_BYTES: usize = 400;
/// The largest total size in bytes of the updates in a gossip datagram.
pub(super) const GOSSIP_MAX_BYTES: usize = 1_150;

const GOSSIP_FAN_OUT: usize = 3;
const SHUTDOWN_FAN_OUT: usize = 8;
/// The number of transmissions that one round of gossip counts as: one for each receiver.
const GOSSIP_TRANSMISSIONS: u32 = 3;
/// How many more times each update is sent with each doubling of the region's size.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;
/// The approximate number of bytes that sealing and addressing add to a datagram.
pub(super) const DATAGRAM_OVERHEAD_BYTES: usize = 100;

impl MembershipProtocol {
    /// Queues an update for the own region, and for the regions that this VM is a contact for.
    pub(super) fn enqueue(&mut self, update: Update) {
        self.remote_regions.enqueue(&update);
        self.updates.push(update);
    }

    /// Sends a probe with any claim against the receiver, without waiting for an acknowledgement.
    pub(super) fn send_probe(&mut self, receiver: VmAddress) -> ProbeNumber {
        let number = self.probes.next_number();
        let mut updates = self.claims_against(receiver);
        updates.extend(self.piggyback(receiver));
        self.send(receiver, Purpose::Probe(number), updates);
        number
    }

    /// Probes a seed that is not a member, with this VM's own record.
    pub(super) fn send_seed_probe(&mut self, receiver: VmAddress) {
        let number = self.probes.next_number();
        let mut updates = self.claims_against(receiver);
        updates.push(Update::Record(self.own_record.clone()));
        self.send_to_address(receiver, Purpose::Probe(number), updates);
    }

    pub(super) fn send_acknowledgement(
        &mut self,
        receiver: &VmIdentity,
        number: ProbeNumber,
        sender_status: SenderStatus,
    ) {
        let mut updates = match sender_status {
            SenderStatus::Alive => Vec::new(),
            SenderStatus::SuspectOrDead => self.claims_against(receiver.address),
            SenderStatus::Unknown => vec![Update::Record(self.own_record.clone())],
        };
        updates.extend(self.piggyback(receiver.address));
        self.send_to_process(receiver, Purpose::Acknowledge(number), updates);
    }

    /// Sends this VM's own record if the byte budget allows.
    pub(super) fn send_own_record(&mut self, receiver: &VmIdentity, now: Instant) {
        if !self.budget.spend(DATAGRAM_OVERHEAD_BYTES, now) {
            return;
        }
        let own = Update::Record(self.own_record.clone());
        self.send_to_process(receiver, Purpose::Gossip, vec![own]);
    }

    /// Asks a sender that is unknown, suspect or dead for a new record if the byte budget allows.
    pub(super) fn request_sender_record(
        &mut self,
        sender: &VmIdentity,
        sender_status: SenderStatus,
        now: Instant,
    ) {
        let needed = sender_status != SenderStatus::Alive;
        if !needed || !self.budget.spend(DATAGRAM_OVERHEAD_BYTES, now) {
            return;
        }
        match sender_status {
            SenderStatus::Alive => {}
            SenderStatus::SuspectOrDead => {
                let claims = self.claims_against(sender.address);
                self.send_to_process(sender, Purpose::Gossip, claims);
            }
            SenderStatus::Unknown => {
                self.send_to_process(sender, Purpose::RequestRecord, Vec::new())
            }
        }
    }

    /// If an update has never been sent, sends it and others to a few peers of the own region,
    /// without waiting for a probe to carry them.
    pub(super) fn gossip_unsent(&mut self, now: Instant) {
        if !self.updates.has_unsent() || self.peers.region_peers().is_empty() {
            return;
        }
        let bytes = GOSSIP_FAN_OUT * (GOSSIP_MAX_BYTES + DATAGRAM_OVERHEAD_BYTES);
        if !self.budget.spend(bytes, now) {
            return;
        }
        let receivers = self.peers.choose(GOSSIP_FAN_OUT, None, &mut self.random);
        let limit = self.transmissions_max();
        let updates = self.updates.take(GOSSIP_MAX_BYTES, limit, GOSSIP_TRANSMISSIONS);
        for receiver in receivers {
            self.send(receiver, Purpose::Gossip, updates.clone());
        }
    }

    /// Tells some peers of the own region and contacts in other regions that this VM has ended, if
    /// the byte budget allows.
    pub(super) fn announce_shutdown(&mut self, now: Instant) {
        self.peers.refresh(&self.regions, &self.own_record);
        let identity = self.own_record.identity.clone();
        let claim = Claim { identity, sequence: self.own_record.sequence + 1, dead: true };
        let mut receivers = self.peers.choose(SHUTDOWN_FAN_OUT, None, &mut self.random);
        receivers.extend(self.remote_regions.first_contacts());
        let affordable = self.budget.spend(receivers.len() * DATAGRAM_OVERHEAD_BYTES, now);
        if affordable {
            for receiver in receivers {
                self.send(receiver, Purpose::Gossip, vec![Update::Claim(claim.clone())]);
            }
        }
    }

    /// Sends a message to `receiver`, addressed to the process at that address if one is known.
    pub(super) fn send(&mut self, receiver: VmAddress, purpose: Purpose, updates: Vec<Update>) {
        match self.peers.get(receiver) {
            Some(peer) => {
                let identity = peer.record.identity.clone();
                self.send_to_process(&identity, purpose, updates);
            }
            None => self.send_to_address(receiver, purpose, updates),
        }
    }

    pub(super) fn send_to_process(
        &mut self,
        receiver: &VmIdentity,
        purpose: Purpose,
        updates: Vec<Update>,
    ) {
        let body = encode(&Message(purpose, updates));
        let incarnation = Some(receiver.incarnation);
        self.outbox.push(MembershipDatagram { receiver: receiver.address, incarnation, body });
    }

    /// Takes the updates to piggyback on a message to `receiver`.
    pub(super) fn piggyback(&mut self, receiver: VmAddress) -> Vec<Update> {
        let region = self.peers.get(receiver).map(|peer| {
            let region = self.regions.of(&peer.record.data_centre);
            (region.to_owned(), region == self.regions.of(&self.own_record.data_centre))
        });
        match region {
            Some((region, false)) => self.remote_regions.take(&region, PIGGYBACK_MAX_BYTES),
            Some((_, true)) | None => {
                let limit = self.transmissions_max();
                self.updates.take(PIGGYBACK_MAX_BYTES, limit, 1)
            }
        }
    }

    fn send_to_address(&mut self, receiver: VmAddress, purpose: Purpose, updates: Vec<Update>) {
        let body = encode(&Message(purpose, updates));
        self.outbox.push(MembershipDatagram { receiver, incarnation: None, body });
    }

    fn claims_against(&self, address: VmAddress) -> Vec<Update> {
        let claim = self.peers.get(address).and_then(super::peers::Peer::claim);
        claim.map(Update::Claim).into_iter().collect()
    }

    fn transmissions_max(&self) -> u32 {
        let members = self.peers.region_peers().len() as u32 + 2;
        TRANSMISSIONS_PER_DOUBLING * (members.ilog2() + 1)
    }
}
