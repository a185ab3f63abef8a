//! The membership protocol as a state machine without I/O: it takes datagrams and the time, and
//! produces datagrams and views.
//!
//! The protocol follows SWIM. Every VM probes a few peers of its region in each interval, first
//! directly and then through other VMs. A peer that answers neither way is suspected, and declared
//! dead unless it refutes in time by a record with a higher sequence. Updates are piggybacked on
//! probes and sent in gossip datagrams of a limited rate. Peers in other regions are never
//! suspected by this VM: a few contacts of each region exchange updates, and a region that falls
//! silent is marked unreachable as a whole.

mod anti_entropy;
mod inter_region;
mod merging;
mod peers;
mod probing;
mod sending;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::cbor::decode;
use crate::ids::{DataCentreName, Incarnation, RegionName, VmAddress};
use crate::settings::MembershipSettings;

use self::inter_region::RemoteRegions;
use self::peers::Peers;
use self::probing::Probes;
use super::budget::ByteBudget;
use super::message::{Message, Purpose, Record, Update, VersionUpdate};
use super::regions::Regions;
use super::updates::UpdateQueue;
use super::{Member, MemberView, MembershipCounts, VmIdentity};
use crate::seal::SealError;

/// The interval at which [`MembershipProtocol::on_tick`] expects to be called.
pub const MEMBERSHIP_TICK: Duration = Duration::from_millis(20);

/// If at least this much time passes between two ticks, this VM was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const SEEDS_PER_RETRY: usize = 3;
/// Listed addresses that one retry samples, so that its cost does not grow with the list.
const SEEDS_SAMPLED: usize = 16;
const SEEDS_MAX: usize = 16_384;
/// The rate of membership's datagrams other than probes: a third of the 12 KB per second that all
/// control traffic may take.
const BUDGET_REFILL_BYTES_PER_SECOND: f64 = 4_000.0;
const BUDGET_BURST_BYTES: f64 = 32_000.0;
/// The rate of other components' notices; all control traffic stays within 12 KB per second.
const NOTICE_REFILL_BYTES_PER_SECOND: f64 = 6_000.0;
const NOTICE_BURST_BYTES: f64 = 64_000.0;
/// The most members of the own region to which one notice is sent.
const NOTICE_FAN_OUT: usize = 32;
/// The most received notices that are queued; further ones are dropped.
const NOTICES_MAX: usize = 256;

/// A message that is to be sealed and sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipDatagram {
    /// The address of the receiver.
    pub receiver: VmAddress,
    /// The process that the message is for, if its incarnation is known.
    pub incarnation: Option<Incarnation>,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// A message that another component of a VM sent to the members of its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The VM that sent the notice.
    pub sender: VmAddress,
    /// The encoded content, opaque to membership.
    pub body: Bytes,
}

/// What has changed in the view since the last call of [`MembershipProtocol::take_view_change`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViewChange {
    /// Nothing.
    #[default]
    None,
    /// Only configuration versions of members.
    Versions,
    /// Members or their states.
    Members,
}

/// The protocol state of one VM.
#[derive(Debug)]
pub struct MembershipProtocol {
    own_record: Record,
    ended: bool,
    settings: MembershipSettings,
    regions: Regions,
    peers: Peers,
    updates: UpdateQueue,
    probes: Probes,
    remote_regions: RemoteRegions,
    budget: ByteBudget,
    notice_budget: ByteBudget,
    notices: Vec<Notice>,
    seeds: Vec<VmAddress>,
    seed_retry_at: Instant,
    anti_entropy_at: Instant,
    anti_entropy_interval: Duration,
    ticked_at: Instant,
    region_peer_heard_at: Instant,
    random: SmallRng,
    outbox: Vec<MembershipDatagram>,
    view_change: ViewChange,
    counts: MembershipCounts,
}

impl MembershipProtocol {
    /// Creates the protocol state of the VM that `own` describes.
    pub fn new(own: Member, settings: MembershipSettings, random_seed: u64, now: Instant) -> Self {
        Self {
            own_record: peers::initial_record(own),
            ended: false,
            settings,
            regions: Regions::default(),
            peers: Peers::default(),
            updates: UpdateQueue::default(),
            probes: Probes::new(now),
            remote_regions: RemoteRegions::new(now),
            budget: ByteBudget::new(BUDGET_REFILL_BYTES_PER_SECOND, BUDGET_BURST_BYTES, now),
            notice_budget: ByteBudget::new(NOTICE_REFILL_BYTES_PER_SECOND, NOTICE_BURST_BYTES, now),
            notices: Vec::new(),
            seeds: Vec::new(),
            seed_retry_at: now,
            anti_entropy_at: now,
            anti_entropy_interval: anti_entropy::ANTI_ENTROPY_INTERVAL_MIN,
            ticked_at: now,
            region_peer_heard_at: now,
            random: SmallRng::seed_from_u64(random_seed),
            outbox: Vec::new(),
            view_change: ViewChange::Members,
            counts: MembershipCounts::default(),
        }
    }

    /// Handles the body of an authenticated datagram; `receiver_incarnation` is the process that
    /// the sender addressed.
    ///
    /// # Errors
    /// The body does not decode; the state is unchanged.
    pub fn on_datagram(
        &mut self,
        sender: &VmIdentity,
        receiver_incarnation: Option<Incarnation>,
        body: &[u8],
        now: Instant,
    ) -> Result<(), SealError> {
        let message: Message = decode(body).ok_or(SealError::Malformed)?;
        if !self.ended && sender.address != self.own_record.identity.address {
            self.on_message(sender, receiver_incarnation, message, now);
        }
        Ok(())
    }

    /// Performs the actions that are due at `now`; expects a call about once in each
    /// [`MEMBERSHIP_TICK`].
    pub fn on_tick(&mut self, now: Instant) {
        if self.ended {
            return;
        }
        if now.saturating_duration_since(self.ticked_at) >= STALL_THRESHOLD {
            self.recover_from_stall(now);
        }
        self.ticked_at = now;
        self.peers.refresh(&self.regions, &self.own_record);
        self.expire_probes(now);
        self.start_probes(now);
        self.expire_suspicions(now);
        self.peers.expire_tombstones(now);
        self.contact_regions(now);
        self.retry_seeds(now);
        self.start_anti_entropy(now);
        self.gossip_unsent(now);
    }

    /// Replaces the seeds: addresses of the platform's list where other VMs may be found.
    pub fn on_seeds(&mut self, listed: impl IntoIterator<Item = VmAddress>, now: Instant) {
        let own = self.own_record.identity.address;
        self.seeds = listed.into_iter().filter(|address| *address != own).take(SEEDS_MAX).collect();
        self.seed_retry_at = self.seed_retry_at.min(now);
    }

    /// Applies new settings and the region of each data centre.
    pub fn configure(
        &mut self,
        settings: MembershipSettings,
        regions: BTreeMap<DataCentreName, RegionName>,
    ) {
        self.settings = settings;
        if self.regions.assign(regions) {
            self.peers.mark_changed();
            self.raise_change(ViewChange::Members);
        }
    }

    /// Sets and gossips the configuration version in force on this VM; a lower version is ignored.
    pub fn set_configuration_version(&mut self, version: u64) {
        if version <= self.own_record.configuration_version {
            return;
        }
        self.own_record.configuration_version = version;
        let identity = self.own_record.identity.clone();
        self.enqueue(Update::Version(VersionUpdate { identity, configuration_version: version }));
        self.raise_change(ViewChange::Versions);
    }

    /// Sets and gossips the address where this VM serves callers.
    pub fn set_caller_address(&mut self, caller_address: SocketAddr) {
        if self.own_record.caller_address != caller_address {
            self.own_record.caller_address = caller_address;
            self.publish_own_record();
        }
    }

    /// Marks this VM as leaving and gossips that it accepts no more work.
    pub fn leave(&mut self) {
        if !self.own_record.leaving {
            self.own_record.leaving = true;
            self.publish_own_record();
        }
    }

    /// Sends a notice to the members of the own region, or to random ones where there are many.
    ///
    /// The notice is sent once, and dropped if the byte budget of notices is spent.
    pub fn broadcast(&mut self, body: &Bytes, now: Instant) {
        self.peers.refresh(&self.regions, &self.own_record);
        let receivers = self.peers.choose(NOTICE_FAN_OUT, None, &mut self.random);
        let bytes = receivers.len() * (body.len() + sending::DATAGRAM_OVERHEAD_BYTES);
        if !self.notice_budget.spend(bytes, now) {
            self.counts.notices_dropped += 1;
            return;
        }
        for receiver in receivers {
            self.send(receiver, Purpose::Notice(body.clone()), Vec::new());
        }
    }

    /// Returns the notices that were received since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Announces at once that this VM has ended, and stops taking part in the protocol.
    pub fn shut_down(&mut self, now: Instant) {
        self.announce_shutdown(now);
        self.ended = true;
    }

    /// Takes the messages that were queued for sending since the last call.
    pub fn take_outgoing(&mut self) -> Vec<MembershipDatagram> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns what has changed in the view since the last call.
    pub fn take_view_change(&mut self) -> ViewChange {
        std::mem::take(&mut self.view_change)
    }

    /// Builds a copy of the current view.
    pub fn view(&self) -> MemberView {
        let own = peers::member_from(&self.own_record);
        let peers = self.peers.members();
        MemberView {
            members: peers.chain([own]).map(|m| (m.identity.address, m)).collect(),
            unreachable_regions: self.regions.unreachable(),
        }
    }

    /// Returns the number of VMs that are believed live or leaving, this one included.
    pub fn members_count(&self) -> usize {
        self.peers.live_count() + 1
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> MembershipCounts {
        self.counts.clone()
    }

    fn on_message(
        &mut self,
        sender: &VmIdentity,
        receiver_incarnation: Option<Incarnation>,
        message: Message,
        now: Instant,
    ) {
        let Message(purpose, updates) = message;
        let claimed_against_self = updates.iter().any(|update| self.is_claim_against_self(update));
        self.merge_updates(updates, now);
        let sender_status = self.mark_sender_heard(sender, now);
        if claimed_against_self {
            self.send_own_record(sender, now);
        }
        if receiver_incarnation
            .is_some_and(|incarnation| incarnation != self.own_record.identity.incarnation)
        {
            self.send_own_record(sender, now);
            return;
        }
        match purpose {
            Purpose::Probe(number) => self.send_acknowledgement(sender, number, sender_status),
            Purpose::IndirectProbe(number, target) => {
                self.relay_probe(sender, number, target, now);
            }
            Purpose::Acknowledge(number) => self.on_acknowledgement(sender, number),
            Purpose::RequestRecord => self.send_own_record(sender, now),
            Purpose::CompareDigests { digests, mutual } => {
                self.answer_digests(sender, &digests, mutual, now);
            }
            Purpose::Notice(body) => self.queue_notice(sender, body),
            Purpose::Gossip => {}
        }
        self.request_sender_record(sender, sender_status, now);
    }

    fn queue_notice(&mut self, sender: &VmIdentity, body: Bytes) {
        if self.notices.len() < NOTICES_MAX {
            self.notices.push(Notice { sender: sender.address, body });
        } else {
            self.counts.notices_dropped += 1;
        }
    }

    /// Probes a few seeds that are not members, so that groups merge after a network partition.
    fn retry_seeds(&mut self, now: Instant) {
        if now < self.seed_retry_at {
            return;
        }
        self.seed_retry_at = now + SEED_RETRY_INTERVAL;
        let wanted = if self.peers.live_count() == 0 { SEEDS_PER_RETRY } else { 1 };
        let sampled = self.seeds.choose_multiple(&mut self.random, SEEDS_SAMPLED).copied();
        let unknown = sampled.filter(|seed| !self.peers.is_live(*seed));
        let chosen: Vec<VmAddress> = unknown.take(wanted).collect();
        for seed in chosen {
            self.send_seed_probe(seed);
        }
    }

    fn raise_change(&mut self, change: ViewChange) {
        self.view_change = self.view_change.max(change);
    }

    /// Restarts all time-outs after this VM was stalled, since it could not receive anything.
    fn recover_from_stall(&mut self, now: Instant) {
        self.counts.stalls += 1;
        self.probes.clear_pending();
        self.regions.restart_waits(now);
        self.region_peer_heard_at = now;
        let deadline = now + self.suspicion_timeout();
        self.peers.extend_suspicions(deadline);
    }
}
