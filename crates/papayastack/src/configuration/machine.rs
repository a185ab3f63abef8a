//! The configuration state machine of one VM: decides when to call the platform, which versions
//! to adopt and which peers to send them to.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::bundle::ActiveConfiguration;
use super::document::NewVersion;
use super::message::ConfigurationMessage;
use super::peer_versions::PeerVersions;
use super::store::{ConfigurationStore, OfferOutcome, RefusedDocument};
use super::watch_schedule::{CallOutcome, WatchSchedule};
use crate::ids::{SiteName, VmAddress};
use crate::membership::MemberView;
use crate::platform::{Object, ObjectName, ObjectVersion, PlatformError};
use crate::routing::readers_first;
use crate::settings::PlatformSettings;

/// How long a starting VM defers documents from the platform, which may come from a stale replica,
/// so that peers can send newer versions first.
const STARTUP_PEER_WAIT: Duration = Duration::from_millis(300);
/// Upper bound of the random delay before the first call for a document after startup, as several
/// VMs may begin to watch it at once.
const WATCH_START_JITTER: Duration = Duration::from_millis(50);
/// How long a VM may hear of no platform answer before standby VMs watch too, in multiples of the
/// wait of one watch.
const STANDBY_AFTER_WAITS: u32 = 4;
/// Number of watchers per region including the standby VMs, in multiples of the configured one.
const STANDBY_FACTOR: usize = 2;
/// How long the standby VMs keep watching after platform answers are heard of again.
const STANDBY_DURATION: Duration = Duration::from_secs(600);

/// An action that the driver must perform.
#[value]
pub enum ConfigurationOutput {
    /// Send a message to a peer.
    Send {
        /// The peer that receives the message.
        to: VmAddress,
        /// The message.
        message: ConfigurationMessage,
    },
    /// Watch an object on the platform and pass the answer to
    /// [`ConfigurationMachine::on_platform`].
    Watch {
        /// The object.
        name: ObjectName,
        /// The version that the awaited version must exceed.
        after: ObjectVersion,
        /// How long the platform may wait for a newer version.
        wait: Duration,
    },
    /// Put this configuration in force.
    PutInForce(Arc<ActiveConfiguration>),
}

/// The configuration counters of one VM.
#[value]
#[derive(Copy, Default)]
pub struct ConfigurationCounters {
    /// Calls to the platform; a watch counts as one call however long it waits.
    pub platform_calls: u64,
    /// Calls to the platform that failed.
    pub platform_failures: u64,
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Messages received from peers.
    pub messages_received: u64,
    /// Updates from peers that were corrupt or based on a version other than the adopted one.
    pub updates_unusable: u64,
    /// Document versions adopted.
    pub adopted: u64,
    /// Document versions refused because their content is invalid.
    pub refused: u64,
}

/// The configuration of one VM as a state machine without I/O: it takes inputs and the time, and
/// returns the actions for the driver.
#[derive(Debug)]
pub struct ConfigurationMachine {
    pub(super) own_address: VmAddress,
    pub(super) store: ConfigurationStore,
    pub(super) members: Arc<MemberView>,
    pub(super) peer_versions: PeerVersions,
    pub(super) requested: BTreeMap<ObjectName, RequestedVersion>,
    pub(super) next_digest_at: Instant,
    pub(super) platform_answered_at: Option<Instant>,
    pub(super) random: SmallRng,
    pub(super) counters: ConfigurationCounters,
    pub(super) outputs: Vec<ConfigurationOutput>,
    watches: BTreeMap<ObjectName, WatchSchedule>,
    watcher_rank: Option<usize>,
    watching: bool,
    standby_until: Option<Instant>,
    deferred: BTreeMap<ObjectName, Object>,
    started_at: Instant,
}

/// A version that was requested from a peer.
#[derive(Debug)]
pub(super) struct RequestedVersion {
    pub(super) version: ObjectVersion,
    /// When the version may be requested from another peer.
    pub(super) retry_at: Instant,
}

impl ConfigurationMachine {
    /// Creates the machine of the VM at `own_address`, which has no documents yet.
    pub fn open(own_address: VmAddress, site: SiteName, seed: u64, now: Instant) -> Self {
        Self {
            own_address,
            store: ConfigurationStore::open(site),
            members: Arc::default(),
            peer_versions: PeerVersions::default(),
            requested: BTreeMap::new(),
            next_digest_at: now,
            platform_answered_at: None,
            random: SmallRng::seed_from_u64(seed),
            counters: ConfigurationCounters::default(),
            outputs: Vec::new(),
            watches: BTreeMap::new(),
            watcher_rank: None,
            watching: false,
            standby_until: None,
            deferred: BTreeMap::new(),
            started_at: now,
        }
    }

    /// Returns the configuration in force; `None` before the first bundle is adopted.
    pub fn in_force(&self) -> Option<&Arc<ActiveConfiguration>> {
        self.store.in_force()
    }

    /// Returns the counters.
    pub fn counters(&self) -> ConfigurationCounters {
        self.counters
    }

    /// Returns the refused versions that are newer than the adopted ones.
    pub fn refused(&self) -> Vec<RefusedDocument> {
        self.store.refused().cloned().collect()
    }

    /// Returns when [`ConfigurationMachine::on_tick`] must next be called.
    pub fn next_tick_at(&self) -> Instant {
        let started = self.started_at + STARTUP_PEER_WAIT;
        let deferred = (!self.deferred.is_empty()).then_some(started);
        let watches =
            self.watches.values().filter(|_| self.watching).filter_map(WatchSchedule::due_at);
        watches.chain(deferred).fold(self.next_digest_at, Instant::min)
    }

    /// Handles a new membership view.
    pub fn on_members(
        &mut self,
        members: Arc<MemberView>,
        now: Instant,
    ) -> Vec<ConfigurationOutput> {
        self.peer_versions.retain(&members);
        self.members = members;
        self.update_watcher_rank();
        self.on_tick(now)
    }

    /// Performs the actions that are due at `now`.
    pub fn on_tick(&mut self, now: Instant) -> Vec<ConfigurationOutput> {
        self.offer_deferred(now);
        self.call_platform(now);
        self.send_digest(now);
        std::mem::take(&mut self.outputs)
    }

    /// Handles a message from the peer `from`.
    pub fn on_message(
        &mut self,
        from: VmAddress,
        message: ConfigurationMessage,
        now: Instant,
    ) -> Vec<ConfigurationOutput> {
        self.counters.messages_received += 1;
        match message {
            ConfigurationMessage::Digest { held, complete, platform_silence_ms } => {
                self.record_platform_silence(platform_silence_ms, now);
                self.on_digest(from, &held, complete, now);
            }
            ConfigurationMessage::Update(update) => self.on_update(from, update, now),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Handles the platform's answer to a [`ConfigurationOutput::Watch`].
    pub fn on_platform(
        &mut self,
        name: &ObjectName,
        answer: Result<Option<Object>, PlatformError>,
        now: Instant,
    ) -> Vec<ConfigurationOutput> {
        if answer.is_ok() || answer == Err(PlatformError::NotFound) {
            self.platform_answered_at = Some(now);
        }
        let outcome = self.classify_answer(name, &answer, now);
        if matches!(outcome, CallOutcome::Failed(_)) {
            self.counters.platform_failures += 1;
        }
        let backoff_max = Duration::from_millis(self.platform_settings().backoff_max_ms);
        if let Some(watch) = self.watches.get_mut(name) {
            watch.finish(&outcome, now, backoff_max, &mut self.random);
        }
        if let Ok(Some(object)) = answer {
            self.on_object(name, object, now);
        }
        self.on_tick(now)
    }

    /// Adopts a document version if it is needed, valid and newer, and sends it to peers.
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
                self.requested.remove(name);
                let in_force = self.store.in_force().cloned();
                self.outputs.extend(in_force.map(ConfigurationOutput::PutInForce));
                self.update_watcher_rank();
                self.push_to_peers(name, from, now);
            }
            OfferOutcome::Refused => {
                self.counters.refused += 1;
                self.requested.remove(name);
            }
            OfferOutcome::NotNewer | OfferOutcome::NotNeeded => {}
        }
    }

    fn classify_answer(
        &self,
        name: &ObjectName,
        answer: &Result<Option<Object>, PlatformError>,
        now: Instant,
    ) -> CallOutcome {
        let elapsed = self.watches.get(name).map_or(Duration::ZERO, |watch| watch.elapsed(now));
        let wait = Duration::from_millis(self.platform_settings().watch_wait_ms);
        match answer {
            Err(error) => CallOutcome::Failed(error.clone()),
            Ok(Some(object)) if object.version > self.known_version(name) => CallOutcome::Progress,
            Ok(None) if elapsed >= wait / 2 => CallOutcome::Progress,
            Ok(_) => CallOutcome::NoProgress,
        }
    }

    /// Returns the highest version that was adopted, refused or deferred; zero if there is none.
    fn known_version(&self, name: &ObjectName) -> ObjectVersion {
        let deferred = self.deferred.get(name).map_or(0, |object| object.version);
        self.store.highest_decided_version(name).max(deferred)
    }

    fn on_object(&mut self, name: &ObjectName, object: Object, now: Instant) {
        if !self.is_starting(now) {
            self.offer(name, object.into(), None, now);
        } else if object.version > self.known_version(name) {
            self.deferred.insert(name.clone(), object);
        }
    }

    /// Returns whether the VM has no configuration yet and still gives peers time to send newer
    /// versions than a stale platform replica has.
    fn is_starting(&self, now: Instant) -> bool {
        now < self.started_at + STARTUP_PEER_WAIT && self.in_force().is_none()
    }

    fn offer_deferred(&mut self, now: Instant) {
        if self.deferred.is_empty() || self.is_starting(now) {
            return;
        }
        for (name, object) in std::mem::take(&mut self.deferred) {
            self.offer(&name, object.into(), None, now);
        }
    }

    fn call_platform(&mut self, now: Instant) {
        self.plan_watches(now);
        if !self.watching {
            return;
        }
        let wait = Duration::from_millis(self.platform_settings().watch_wait_ms);
        let is_due = |watch: &WatchSchedule| watch.due_at().is_some_and(|due_at| due_at <= now);
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

    /// Keeps one watch for each needed document and drops the others; the answer to a call of a
    /// dropped watch does not schedule another one.
    fn plan_watches(&mut self, now: Instant) {
        let watching = self.update_watcher_role(now);
        if watching && !self.watching {
            self.watches.retain(|_, watch| watch.due_at().is_none());
        }
        self.watching = watching;
        let jitter_max = if self.is_starting(now) { STARTUP_PEER_WAIT } else { WATCH_START_JITTER };
        let needed = self.store.needed_documents();
        self.watches.retain(|name, _| needed.contains(name));
        for name in needed {
            let random = &mut self.random;
            self.watches.entry(name).or_insert_with(|| WatchSchedule::new(now, jitter_max, random));
        }
    }

    /// Decides whether this VM watches the platform: the first VMs of its region in rank order do;
    /// the standby VMs, which follow in that order, do so too once this VM has heard of no platform
    /// answer for too long.
    fn update_watcher_role(&mut self, now: Instant) -> bool {
        let Some(rank) = self.watcher_rank else { return false };
        let settings = self.platform_settings();
        let watchers = usize::try_from(settings.watchers_per_region).unwrap_or(usize::MAX);
        let silence_max = Duration::from_millis(settings.watch_wait_ms) * STANDBY_AFTER_WAITS;
        let answered_at = self.platform_answered_at.unwrap_or(self.started_at);
        if now.saturating_duration_since(answered_at) > silence_max {
            self.standby_until = Some(now + STANDBY_DURATION);
        }
        let standby = self.standby_until.is_some_and(|until| now < until);
        rank < watchers || (standby && rank < watchers.saturating_mul(STANDBY_FACTOR))
    }

    fn update_watcher_rank(&mut self) {
        let data_centres = self.store.in_force().map(|in_force| &in_force.settings.data_centres);
        let ranked = readers_first(self.own_address, &self.members, data_centres);
        self.watcher_rank =
            ranked.and_then(|vms| vms.iter().position(|vm| *vm == self.own_address));
    }

    fn platform_settings(&self) -> PlatformSettings {
        let in_force = self.store.in_force();
        in_force.map(|in_force| in_force.settings.platform.clone()).unwrap_or_default()
    }
}
