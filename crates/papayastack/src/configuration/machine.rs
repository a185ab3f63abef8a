//! The decisions of one VM about its configuration: when to call the platform, what to adopt,
//! whom to tell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::bundle::InForce;
use super::document::NewVersion;
use super::message::ConfigurationMessage;
use super::peers::Peers;
use super::store::{ConfigurationStore, OfferOutcome, RefusedDocument};
use super::watchers::watcher_rank;
use super::watching::{CallEnd, Watch};
use crate::ids::{SiteName, VmAddress};
use crate::membership::MemberView;
use crate::platform::{Object, ObjectName, ObjectVersion, PlatformError};
use crate::settings::PlatformSettings;

/// How long a VM that starts lets peers answer before it believes the platform alone.
const START_WAIT: Duration = Duration::from_millis(300);
/// The spread of the first calls of VMs that start to watch together.
const WATCH_SPREAD: Duration = Duration::from_millis(50);
/// Watches without an answer after which further VMs of the region watch too.
const SILENT_WATCHES: u32 = 4;
/// VMs that watch after such a silence, in multiples of the usual number.
const STANDBY_FACTOR: usize = 2;
/// How long the further VMs watch.
const STANDBY_SPAN: Duration = Duration::from_secs(600);

/// What the driver must do.
#[value]
pub enum ConfigurationOutput {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: VmAddress,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Call the platform, and pass its answer to [`ConfigurationMachine::on_platform`].
    Watch {
        /// The object.
        name: ObjectName,
        /// The version that the object must exceed.
        after: ObjectVersion,
        /// How long the platform may wait.
        wait: Duration,
    },
    /// Put this in force.
    PutInForce(Arc<InForce>),
}

/// Counts what one VM did for its configuration.
#[value]
#[derive(Copy, Default)]
pub struct ConfigurationCounters {
    /// Calls to the platform; a waiting watch is one.
    pub platform_calls: u64,
    /// Calls to the platform that failed.
    pub platform_failures: u64,
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Messages received from peers.
    pub messages_received: u64,
    /// Updates from peers that did not apply to what is held.
    pub updates_unusable: u64,
    /// Versions adopted.
    pub adopted: u64,
    /// Versions refused because of their content.
    pub refused: u64,
}

/// The configuration of one VM as a pure machine: values in, values out.
#[derive(Debug)]
pub struct ConfigurationMachine {
    pub(super) own: VmAddress,
    pub(super) store: ConfigurationStore,
    pub(super) members: Arc<MemberView>,
    pub(super) peers: Peers,
    pub(super) asked: BTreeMap<ObjectName, Asked>,
    pub(super) digest_at: Instant,
    pub(super) platform_heard_at: Option<Instant>,
    pub(super) random: SmallRng,
    pub(super) counters: ConfigurationCounters,
    pub(super) outputs: Vec<ConfigurationOutput>,
    watches: BTreeMap<ObjectName, Watch>,
    rank: Option<usize>,
    watching: bool,
    standby_until: Option<Instant>,
    held_back: BTreeMap<ObjectName, Object>,
    started_at: Instant,
}

/// A version that a peer was asked for.
#[derive(Debug)]
pub(super) struct Asked {
    /// The version.
    pub(super) version: ObjectVersion,
    /// When another peer may be asked.
    pub(super) until: Instant,
}

impl ConfigurationMachine {
    /// Opens the machine of the VM at `own`, which holds nothing yet.
    pub fn open(own: VmAddress, site: SiteName, seed: u64, now: Instant) -> Self {
        Self {
            own,
            store: ConfigurationStore::open(site),
            members: Arc::default(),
            peers: Peers::default(),
            asked: BTreeMap::new(),
            digest_at: now,
            platform_heard_at: None,
            random: SmallRng::seed_from_u64(seed),
            counters: ConfigurationCounters::default(),
            outputs: Vec::new(),
            watches: BTreeMap::new(),
            rank: None,
            watching: false,
            standby_until: None,
            held_back: BTreeMap::new(),
            started_at: now,
        }
    }

    /// Returns what is in force; `None` before the first bundle.
    pub fn in_force(&self) -> Option<&Arc<InForce>> {
        self.store.in_force()
    }

    /// Returns the counters.
    pub fn counters(&self) -> ConfigurationCounters {
        self.counters
    }

    /// Lists the refused versions that nothing newer has replaced.
    pub fn refused(&self) -> Vec<RefusedDocument> {
        self.store.refused().cloned().collect()
    }

    /// Returns when [`ConfigurationMachine::on_tick`] is next needed.
    pub fn next_tick_at(&self) -> Instant {
        let started = self.started_at + START_WAIT;
        let held_back = (!self.held_back.is_empty()).then_some(started);
        let watches = self.watches.values().filter(|_| self.watching).filter_map(Watch::due_at);
        watches.chain(held_back).fold(self.digest_at, Instant::min)
    }

    /// Takes a new view of the members.
    pub fn on_members(
        &mut self,
        members: Arc<MemberView>,
        now: Instant,
    ) -> Vec<ConfigurationOutput> {
        self.peers.retain(&members);
        self.members = members;
        self.rank_self();
        self.on_tick(now)
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ConfigurationOutput> {
        self.release_held_back(now);
        self.call_platform(now);
        self.send_digest(now);
        std::mem::take(&mut self.outputs)
    }

    /// Takes a message from the peer `from`.
    pub fn on_message(
        &mut self,
        from: VmAddress,
        message: ConfigurationMessage,
        now: Instant,
    ) -> Vec<ConfigurationOutput> {
        self.counters.messages_received += 1;
        match message {
            ConfigurationMessage::Digest { held, complete, platform_silence_ms } => {
                self.hear_platform(platform_silence_ms, now);
                self.on_digest(from, &held, complete, now);
            }
            ConfigurationMessage::Update(update) => self.on_update(from, update, now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Takes the platform's answer to a [`ConfigurationOutput::Watch`].
    pub fn on_platform(
        &mut self,
        name: &ObjectName,
        answer: Result<Option<Object>, PlatformError>,
        now: Instant,
    ) -> Vec<ConfigurationOutput> {
        if answer.is_ok() || answer == Err(PlatformError::NotFound) {
            self.platform_heard_at = Some(now);
        }
        let end = self.call_end(name, &answer, now);
        if matches!(end, CallEnd::Failed(_)) {
            self.counters.platform_failures += 1;
        }
        let backoff_max = Duration::from_millis(self.platform_settings().backoff_max_ms);
        if let Some(watch) = self.watches.get_mut(name) {
            watch.end(&end, now, backoff_max, &mut self.random);
        }
        if let Ok(Some(object)) = answer {
            self.on_object(name, object, now);
        }
        self.on_tick(now)
    }

    /// Adopts a document if it is valid and newer, and tells peers.
    pub(super) fn offer(
        &mut self,
        name: &ObjectName,
        new: NewVersion,
        from: Option<VmAddress>,
        now: Instant,
    ) {
        match self.store.offer(name, new) {
            OfferOutcome::Adopted => {
                self.counters.adopted += 1;
                self.asked.remove(name);
                let in_force = self.store.in_force().cloned();
                self.outputs.extend(in_force.map(ConfigurationOutput::PutInForce));
                self.rank_self();
                self.spread(name, from, now);
            }
            OfferOutcome::Refused => {
                self.counters.refused += 1;
                self.asked.remove(name);
            }
            OfferOutcome::NotNewer | OfferOutcome::NotNeeded => {}
        }
    }

    fn call_end(
        &self,
        name: &ObjectName,
        answer: &Result<Option<Object>, PlatformError>,
        now: Instant,
    ) -> CallEnd {
        let elapsed = self.watches.get(name).map_or(Duration::ZERO, |watch| watch.elapsed(now));
        let wait = Duration::from_millis(self.platform_settings().watch_wait_ms);
        match answer {
            Err(error) => CallEnd::Failed(error.clone()),
            Ok(Some(object)) if object.version > self.known_version(name) => CallEnd::Useful,
            Ok(None) if elapsed >= wait / 2 => CallEnd::Useful,
            Ok(_) => CallEnd::Useless,
        }
    }

    fn known_version(&self, name: &ObjectName) -> ObjectVersion {
        let held_back = self.held_back.get(name).map_or(0, |object| object.version);
        self.store.judged_version(name).max(held_back)
    }

    fn on_object(&mut self, name: &ObjectName, object: Object, now: Instant) {
        if !self.is_starting(now) {
            self.offer(name, object.into(), None, now);
        } else if object.version > self.known_version(name) {
            self.held_back.insert(name.clone(), object);
        }
    }

    /// Returns whether peers may still know more than a stale replica of the platform.
    fn is_starting(&self, now: Instant) -> bool {
        now < self.started_at + START_WAIT && self.in_force().is_none()
    }

    fn release_held_back(&mut self, now: Instant) {
        if self.held_back.is_empty() || self.is_starting(now) {
            return;
        }
        for (name, object) in std::mem::take(&mut self.held_back) {
            self.offer(&name, object.into(), None, now);
        }
    }

    fn call_platform(&mut self, now: Instant) {
        self.plan_watches(now);
        if !self.watching {
            return;
        }
        let wait = Duration::from_millis(self.platform_settings().watch_wait_ms);
        let is_due = |watch: &Watch| watch.due_at().is_some_and(|due_at| due_at <= now);
        let due = self.watches.iter().filter(|(_, watch)| is_due(watch));
        let due: Vec<ObjectName> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            if let Some(watch) = self.watches.get_mut(&name) {
                watch.begin(now);
            }
            self.counters.platform_calls += 1;
            let after = self.known_version(&name);
            self.outputs.push(ConfigurationOutput::Watch { name, after, wait });
        }
    }

    /// Keeps one watch for each document that is needed; a call that is no longer needed lapses.
    fn plan_watches(&mut self, now: Instant) {
        let watching = self.is_watcher(now);
        if watching && !self.watching {
            self.watches.retain(|_, watch| watch.due_at().is_none());
        }
        self.watching = watching;
        let spread = if self.is_starting(now) { START_WAIT } else { WATCH_SPREAD };
        let needed = self.store.needed_documents();
        self.watches.retain(|name, _| needed.contains(name));
        for name in needed {
            let random = &mut self.random;
            self.watches.entry(name).or_insert_with(|| Watch::new(now, spread, random));
        }
    }

    /// Returns whether this VM watches the platform: the first of its region do, and some more
    /// where those have heard nothing from the platform for long.
    fn is_watcher(&mut self, now: Instant) -> bool {
        let Some(rank) = self.rank else { return false };
        let settings = self.platform_settings();
        let watchers = usize::try_from(settings.watchers_per_region).unwrap_or(usize::MAX);
        let patience = Duration::from_millis(settings.watch_wait_ms) * SILENT_WATCHES;
        let heard_at = self.platform_heard_at.unwrap_or(self.started_at);
        if now.saturating_duration_since(heard_at) > patience {
            self.standby_until = Some(now + STANDBY_SPAN);
        }
        let standby = self.standby_until.is_some_and(|until| now < until);
        rank < watchers || (standby && rank < watchers.saturating_mul(STANDBY_FACTOR))
    }

    fn rank_self(&mut self) {
        let settings = self.store.in_force().map(|in_force| &*in_force.settings);
        self.rank = watcher_rank(self.own, &self.members, settings);
    }

    fn platform_settings(&self) -> PlatformSettings {
        let in_force = self.store.in_force();
        in_force.map(|in_force| in_force.settings.platform.clone()).unwrap_or_default()
    }
}
