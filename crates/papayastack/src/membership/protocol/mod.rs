//! The membership protocol as a pure machine: datagrams and time in, datagrams and views out.
//!
//! Every VM probes a few peers of its region in each interval, directly and then through others. A
//! peer that answers neither way is suspected, and dead unless it refutes in time by a statement
//! with a higher sequence. What is learnt rides on probes and on bounded datagrams of its own.
//! Peers in other regions are never suspected from here: a few contacts of each region exchange
//! what both sides know, and a region that falls silent is marked unreachable as a whole.

mod bridging;
mod comparing;
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

use self::bridging::Bridges;
use self::peers::Peers;
use self::probing::Probes;
use super::budget::ByteBudget;
use super::message::{Message, Purpose, Record, Update, VersionNote};
use super::regions::Regions;
use super::updates::UpdateQueue;
use super::{Member, MemberView, MembershipCounts, VmIdentity};
use crate::seal::SealError;

/// How often [`MembershipProtocol::on_tick`] expects to be called.
pub const MEMBERSHIP_TICK: Duration = Duration::from_millis(20);

const STALL_AFTER: Duration = Duration::from_millis(150);
const SEED_RETRY: Duration = Duration::from_millis(500);
const SEEDS_PER_RETRY: usize = 3;
/// Listed addresses that one retry looks at, so that its cost does not grow with the list.
const SEEDS_DRAWN: usize = 16;
const SEEDS_MAX: usize = 16_384;
/// What membership's own datagrams beside probes may take, a third of what all control may take.
const REFILL_BYTES_PER_SECOND: f64 = 4_000.0;
const BURST_BYTES: f64 = 32_000.0;
/// What notices of other parts may take, so that all control stays within 12 KB a second.
const NOTICE_REFILL_BYTES_PER_SECOND: f64 = 6_000.0;
const NOTICE_BURST_BYTES: f64 = 64_000.0;
/// The most members of the own region that one notice is sent to.
const NOTICE_FAN_OUT: usize = 32;
/// Notices that wait to be taken; what comes beyond that is dropped.
const NOTICES_MAX: usize = 256;

/// A message to be sealed and sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipDatagram {
    /// The receiver.
    pub receiver: VmAddress,
    /// The process that is meant, if it is known.
    pub incarnation: Option<Incarnation>,
    /// The encoded message.
    pub body: Vec<u8>,
}

/// What another part of a VM told all members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The VM that told it.
    pub sender: VmAddress,
    /// What it told.
    pub body: Bytes,
}

/// How much of the view has changed since it was last asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViewChange {
    /// Nothing.
    #[default]
    None,
    /// Only configuration versions.
    Versions,
    /// Members or their states.
    Members,
}

/// The machine of one VM.
#[derive(Debug)]
pub struct MembershipProtocol {
    own: Record,
    gone: bool,
    settings: MembershipSettings,
    regions: Regions,
    peers: Peers,
    updates: UpdateQueue,
    probes: Probes,
    bridges: Bridges,
    budget: ByteBudget,
    notice_budget: ByteBudget,
    notices: Vec<Notice>,
    seeds: Vec<VmAddress>,
    seed_retry_at: Instant,
    compare_at: Instant,
    compare_interval: Duration,
    ticked_at: Instant,
    neighbour_heard_at: Instant,
    random: SmallRng,
    outbox: Vec<MembershipDatagram>,
    view_change: ViewChange,
    counts: MembershipCounts,
}

impl MembershipProtocol {
    /// Creates the machine of the VM that `own` describes.
    pub fn new(own: Member, settings: MembershipSettings, random_seed: u64, now: Instant) -> Self {
        Self {
            own: peers::record_of(own),
            gone: false,
            settings,
            regions: Regions::default(),
            peers: Peers::default(),
            updates: UpdateQueue::default(),
            probes: Probes::new(now),
            bridges: Bridges::new(now),
            budget: ByteBudget::new(REFILL_BYTES_PER_SECOND, BURST_BYTES, now),
            notice_budget: ByteBudget::new(NOTICE_REFILL_BYTES_PER_SECOND, NOTICE_BURST_BYTES, now),
            notices: Vec::new(),
            seeds: Vec::new(),
            seed_retry_at: now,
            compare_at: now,
            compare_interval: comparing::COMPARE_INTERVAL_MIN,
            ticked_at: now,
            neighbour_heard_at: now,
            random: SmallRng::seed_from_u64(random_seed),
            outbox: Vec::new(),
            view_change: ViewChange::Members,
            counts: MembershipCounts::default(),
        }
    }

    /// Takes the body of an authentic datagram, and the process that it was meant for.
    ///
    /// # Errors
    /// The body does not decode; nothing has changed.
    pub fn on_datagram(
        &mut self,
        sender: &VmIdentity,
        meant: Option<Incarnation>,
        body: &[u8],
        now: Instant,
    ) -> Result<(), SealError> {
        let message: Message = decode(body).ok_or(SealError::Malformed)?;
        if !self.gone && sender.address != self.own.identity.address {
            self.on_message(sender, meant, message, now);
        }
        Ok(())
    }

    /// Does what is due at `now`; called about once in each [`MEMBERSHIP_TICK`].
    pub fn on_tick(&mut self, now: Instant) {
        if self.gone {
            return;
        }
        if now.saturating_duration_since(self.ticked_at) >= STALL_AFTER {
            self.forgive_stall(now);
        }
        self.ticked_at = now;
        self.peers.refresh(&self.regions, &self.own);
        self.expire_probes(now);
        self.start_probes(now);
        self.expire_suspicions(now);
        self.peers.expire_tombstones(now);
        self.contact_regions(now);
        self.retry_seeds(now);
        self.compare_with_somebody(now);
        self.spread_fresh(now);
    }

    /// Takes the platform's list of VMs, which only says where others may be found.
    pub fn on_seeds(&mut self, listed: impl IntoIterator<Item = VmAddress>, now: Instant) {
        let own = self.own.identity.address;
        self.seeds = listed.into_iter().filter(|address| *address != own).take(SEEDS_MAX).collect();
        self.seed_retry_at = self.seed_retry_at.min(now);
    }

    /// Takes new settings and the region of each data centre.
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

    /// Tells the others that this VM has a version of the configuration in force.
    pub fn set_configuration_version(&mut self, version: u64) {
        if version <= self.own.configuration_version {
            return;
        }
        self.own.configuration_version = version;
        let identity = self.own.identity.clone();
        self.enqueue(Update::Version(VersionNote { identity, configuration_version: version }));
        self.raise_change(ViewChange::Versions);
    }

    /// Tells the others where callers reach this VM.
    pub fn set_caller_address(&mut self, caller_address: SocketAddr) {
        if self.own.caller_address != caller_address {
            self.own.caller_address = caller_address;
            self.state_own();
        }
    }

    /// Tells the others that this VM takes no new work.
    pub fn leave(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.state_own();
        }
    }

    /// Sends a notice to the members of the own region, or to some where they are many; it is not
    /// repeated, and dropped where notices have used up their bytes.
    pub fn tell(&mut self, body: &Bytes, now: Instant) {
        self.peers.refresh(&self.regions, &self.own);
        let receivers = self.peers.choose(NOTICE_FAN_OUT, None, &mut self.random);
        let bytes = receivers.len() * (body.len() + sending::CONTENT_OVERHEAD_BYTES);
        if !self.notice_budget.spend(bytes, now) {
            self.counts.notices_dropped += 1;
            return;
        }
        for receiver in receivers {
            self.send(receiver, Purpose::Notice(body.clone()), Vec::new());
        }
    }

    /// Takes the notices that came since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Tells the others at once that this VM has ended, and falls silent.
    pub fn end(&mut self, now: Instant) {
        self.announce_end(now);
        self.gone = true;
    }

    /// Takes the messages that are to be sent.
    pub fn take_outgoing(&mut self) -> Vec<MembershipDatagram> {
        std::mem::take(&mut self.outbox)
    }

    /// Says what has changed in the view since the last call.
    pub fn take_view_change(&mut self) -> ViewChange {
        std::mem::take(&mut self.view_change)
    }

    /// Builds the view.
    pub fn view(&self) -> MemberView {
        let own = peers::member_of(&self.own);
        let peers = self.peers.members();
        MemberView {
            members: peers.chain([own]).map(|m| (m.identity.address, m)).collect(),
            unreachable_regions: self.regions.unreachable(),
        }
    }

    /// Returns how many VMs are known to be live or leaving, this one included.
    pub fn members_count(&self) -> usize {
        self.peers.live_count() + 1
    }

    /// Returns what was counted since the start.
    pub fn counts(&self) -> MembershipCounts {
        self.counts.clone()
    }

    fn on_message(
        &mut self,
        sender: &VmIdentity,
        meant: Option<Incarnation>,
        message: Message,
        now: Instant,
    ) {
        let Message(purpose, updates) = message;
        let claimed = updates.iter().any(|update| self.is_claim_against_own(update));
        self.merge_all(updates, now);
        let acquaintance = self.note_heard(sender, now);
        if claimed {
            self.send_introduction(sender, now);
        }
        if meant.is_some_and(|incarnation| incarnation != self.own.identity.incarnation) {
            self.send_introduction(sender, now);
            return;
        }
        match purpose {
            Purpose::Probe(number) => self.send_acknowledgement(sender, number, acquaintance),
            Purpose::ProbeFor(number, target) => {
                self.probe_on_behalf(sender, number, target, now);
            }
            Purpose::Acknowledge(number) => self.on_acknowledgement(sender, number),
            Purpose::Introduce => self.send_introduction(sender, now),
            Purpose::Compare { digests, mutual } => {
                self.answer_comparison(sender, &digests, mutual, now);
            }
            Purpose::Notice(body) => self.keep_notice(sender, body),
            Purpose::Spread => {}
        }
        self.ask_for_statement(sender, acquaintance, now);
    }

    fn keep_notice(&mut self, sender: &VmIdentity, body: Bytes) {
        if self.notices.len() < NOTICES_MAX {
            self.notices.push(Notice { sender: sender.address, body });
        } else {
            self.counts.notices_dropped += 1;
        }
    }

    /// Probes a few listed addresses that are not members, so that parted groups find each other.
    fn retry_seeds(&mut self, now: Instant) {
        if now < self.seed_retry_at {
            return;
        }
        self.seed_retry_at = now + SEED_RETRY;
        let wanted = if self.peers.live_count() == 0 { SEEDS_PER_RETRY } else { 1 };
        let drawn = self.seeds.choose_multiple(&mut self.random, SEEDS_DRAWN).copied();
        let unknown = drawn.filter(|seed| !self.peers.is_live(*seed));
        let chosen: Vec<VmAddress> = unknown.take(wanted).collect();
        for seed in chosen {
            self.send_first_probe(seed);
        }
    }

    fn raise_change(&mut self, change: ViewChange) {
        self.view_change = self.view_change.max(change);
    }

    /// Starts all waits again: a VM that stood still could hear nobody.
    fn forgive_stall(&mut self, now: Instant) {
        self.counts.stalls += 1;
        self.probes.forget_pending();
        self.regions.stalled(now);
        self.neighbour_heard_at = now;
        let deadline = now + self.suspicion_time();
        self.peers.extend_suspicions(deadline);
    }
}
