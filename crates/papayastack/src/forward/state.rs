//! The state that all requests of one forwarding VM share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use axum::http::{HeaderMap, StatusCode};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::sync::{Notify, watch};

use super::attempt::{parse_limit, refusal_duration};
use super::departure::Departure;
use super::interface::{Change, IngressFormat, NamedEntry, StorePosition};
use super::links::{LinkChange, LinkSign, UpstreamLinks};
use super::metrics::ForwardMetrics;
use super::owners::{UpstreamAccess, UpstreamOwners};
use super::peer_feed::{FeedRole, PeerFeed};
use super::plan::replicas_of;
use super::registry::{Registry, RegistryEvent, UpstreamEntry, UpstreamSet, UpstreamTarget};
use super::relay::RelayPeers;
use super::reply_body::UnfinishedBodies;
use super::route::{Route, RouteDocument, RouteTable, SplitPart};
use super::settings::GatewaySettings;
use super::store_health::StoreHealth;
use crate::admission::Admission;
use crate::ids::{DataCentreName, RegionName, ServiceName, VmAddress};
use crate::membership::MemberView;
use crate::observe::{DecisionEvent, DecisionLog};
use crate::query::{
    Budgets, FanoutContext, LimitRecord, LimitReport, MilliPerSecond, Observations,
    QuantileTracker, RateLimits, SilenceHold, UpstreamLoad, Urgency,
};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::{DataCentreSettings, QueryClass};
use crate::upstream::ConnectionPool;
use crate::vm::lock;

/// The number of VMs assumed until more are known, so that a VM that has just started does not use
/// the other VMs' shares of connections and repeats.
pub(crate) const VMS_ASSUMED: u32 = 4;

/// The state that all requests of one forwarding VM share.
pub(crate) struct ForwardState {
    pub(crate) settings: GatewaySettings,
    /// The data centres of the settings, in the form that `choose_addresses` needs.
    pub(crate) data_centres: BTreeMap<DataCentreName, DataCentreSettings>,
    pub(crate) format: Arc<dyn IngressFormat>,
    pub(crate) pool: ConnectionPool,
    pub(crate) routes: watch::Sender<Option<Arc<RouteTable>>>,
    pub(crate) upstreams: watch::Sender<Option<Arc<UpstreamSet>>>,
    pub(crate) members: watch::Receiver<Arc<MemberView>>,
    pub(crate) metrics: ForwardMetrics,
    pub(crate) store_health: StoreHealth,
    /// Notified when a request finds a service without upstreams.
    pub(crate) upstreams_needed: Notify,
    /// Wakes the task that notifies other VMs of silent upstreams.
    pub(crate) silence_found: Notify,
    /// Wakes the task that reports the limits of upstreams to other VMs.
    pub(crate) limit_found: Notify,
    /// How this VM learns of changes in the store.
    pub(crate) feed_role: watch::Sender<Arc<FeedRole>>,
    /// Until when the last answer of another VM makes up for reading the store.
    pub(crate) covered_until: watch::Sender<Option<Instant>>,
    /// Counts what may be news for the VMs that learn from this one.
    pub(crate) feed_changes: watch::Sender<u64>,
    /// Notified when another VM begins to learn from this one.
    pub(crate) feed_followed: Notify,
    /// Notified when a reader does not know all changes since this VM's position.
    pub(crate) feed_gone: Notify,
    pub(crate) drain_requested: watch::Sender<bool>,
    pub(crate) departure: Departure,
    pub(crate) log: Arc<DecisionLog>,
    /// The connections to other VMs that serve requests for this one.
    pub(crate) peer_pool: ConnectionPool,
    pub(crate) unfinished_bodies: UnfinishedBodies,
    /// Whether this VM has lost its links to the upstreams.
    pub(crate) links_lost: watch::Sender<bool>,
    /// The requests that this VM serves for others at present.
    pub(crate) relayed_in_flight: AtomicUsize,
    /// The address of this VM for the others, once it is bound.
    pub(crate) link_address: OnceLock<VmAddress>,
    links: Mutex<UpstreamLinks>,
    peers: Mutex<RelayPeers>,
    registry: Mutex<Registry>,
    feed: Mutex<PeerFeed>,
    owners: Mutex<UpstreamOwners>,
    decisions: Mutex<ForwardDecisions>,
    /// When the store last answered a call of each feed.
    feed_answered_at: Mutex<BTreeMap<&'static str, Instant>>,
}

impl ForwardState {
    /// Creates the state without routes and upstreams.
    pub(crate) fn new(
        settings: GatewaySettings,
        format: Arc<dyn IngressFormat>,
        members: watch::Receiver<Arc<MemberView>>,
        log: Arc<DecisionLog>,
    ) -> Self {
        let random = SmallRng::from_os_rng();
        let region = |(name, region): (&DataCentreName, &RegionName)| {
            (name.clone(), DataCentreSettings { region: region.clone() })
        };
        Self {
            data_centres: settings.data_centres.iter().map(region).collect(),
            settings,
            format,
            pool: ConnectionPool::open(),
            routes: watch::Sender::new(None),
            upstreams: watch::Sender::new(None),
            members,
            metrics: ForwardMetrics::new(),
            store_health: StoreHealth::new(),
            upstreams_needed: Notify::new(),
            silence_found: Notify::new(),
            limit_found: Notify::new(),
            feed_role: watch::Sender::default(),
            covered_until: watch::Sender::new(None),
            feed_changes: watch::Sender::new(0),
            feed_followed: Notify::new(),
            feed_gone: Notify::new(),
            drain_requested: watch::Sender::new(false),
            departure: Departure::new(),
            log,
            peer_pool: ConnectionPool::open(),
            unfinished_bodies: UnfinishedBodies::default(),
            links_lost: watch::Sender::new(false),
            relayed_in_flight: AtomicUsize::new(0),
            link_address: OnceLock::new(),
            links: Mutex::new(UpstreamLinks::new()),
            peers: Mutex::default(),
            registry: Mutex::default(),
            feed: Mutex::default(),
            owners: Mutex::default(),
            decisions: Mutex::new(ForwardDecisions::new(random)),
            feed_answered_at: Mutex::default(),
        }
    }

    /// Locks the state that the routing decisions share.
    pub(crate) fn decisions(&self) -> MutexGuard<'_, ForwardDecisions> {
        lock(&self.decisions)
    }

    /// Locks what is known of the links to the upstreams.
    pub(crate) fn links(&self) -> MutexGuard<'_, UpstreamLinks> {
        lock(&self.links)
    }

    /// Locks what is known of other VMs that may serve requests for this one.
    pub(crate) fn peers(&self) -> MutexGuard<'_, RelayPeers> {
        lock(&self.peers)
    }

    /// Returns the number of upstreams in use.
    pub(crate) fn upstreams_in_use(&self) -> usize {
        self.upstreams.borrow().as_ref().map_or(0, |set| set.by_index.len())
    }

    /// Records what an attempt or a probe shows about the link to an upstream.
    pub(crate) fn record_link_sign(&self, target: &UpstreamTarget, sign: LinkSign) {
        let now = Instant::now();
        // What other VMs find silent too says nothing about the links of this one.
        let is_known_silent =
            sign == LinkSign::Silent && self.decisions().is_silent_elsewhere(target.index, now);
        if is_known_silent || !self.is_current(target) {
            return;
        }
        let upstreams = self.upstreams_in_use();
        let change = self.links().on_sign(target.index, sign, upstreams, now);
        let Some(change) = change else { return };
        match change {
            LinkChange::Lost { quiet, failing } => {
                // They would be used first once the links are back.
                self.pool.close_all_idle();
                self.log.write(
                    DecisionEvent::LinksLost,
                    || json!({ "quiet_ms": quiet.as_millis() as u64, "failing": failing }),
                );
            }
            LinkChange::Tried => {}
            LinkChange::Regained { lost } => {
                let fields = || json!({ "lost_ms": lost.as_millis() as u64 });
                self.log.write(DecisionEvent::LinksRegained, fields);
            }
        }
        self.links_lost.send_replace(matches!(change, LinkChange::Lost { .. }));
    }

    /// Records that the store answered a call of `feed`; returns when it did so before.
    pub(crate) fn record_feed_answer(&self, feed: &'static str, now: Instant) -> Option<Instant> {
        lock(&self.feed_answered_at).insert(feed, now)
    }

    /// Returns the time since the store last answered a call of each feed.
    pub(crate) fn feed_ages(&self) -> BTreeMap<&'static str, Duration> {
        let answered_at = lock(&self.feed_answered_at);
        answered_at.iter().map(|(feed, at)| (*feed, at.elapsed())).collect()
    }

    /// Applies an update to the registry and puts the resulting set of upstreams in use.
    pub(crate) fn update_registry(&self, update: impl FnOnce(&mut Registry) -> Vec<RegistryEvent>) {
        let mut registry = self.registry();
        let events = update(&mut registry);
        self.publish_upstreams(&registry);
        drop(registry);
        RegistryEvent::write_all(&events, &self.log);
    }

    /// Locks what this VM can tell others of the store.
    pub(crate) fn feed(&self) -> MutexGuard<'_, PeerFeed> {
        lock(&self.feed)
    }

    /// Records whether this VM reads the store itself, which others may rely on.
    pub(crate) fn set_reads_store(&self, reads_store: bool) {
        if self.feed().set_reads_store(reads_store) {
            self.wake_followers();
        }
    }

    /// Lets the questions of other VMs be answered anew.
    pub(crate) fn wake_followers(&self) {
        self.feed_changes.send_modify(|count| *count += 1);
    }

    /// Takes a complete list of the upstreams' entries.
    pub(crate) fn learn_list(
        &self,
        entries: Vec<NamedEntry<UpstreamEntry>>,
        position: StorePosition,
        now: Instant,
    ) {
        self.feed().history.on_list(&entries, position, now);
        self.update_registry(|registry| registry.on_list(entries, now));
        self.wake_followers();
    }

    /// Takes changes of the upstreams' entries that lead to `position`; earlier ones are known.
    pub(crate) fn learn_changes(
        &self,
        changes: Vec<Change<UpstreamEntry>>,
        position: StorePosition,
        now: Instant,
    ) {
        if self.feed().history.on_changes(&changes, position, now) {
            self.update_registry(|registry| registry.on_changes(changes, now));
            self.wake_followers();
        }
    }

    /// Locks the registry of upstreams.
    pub(crate) fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    fn publish_upstreams(&self, registry: &Registry) {
        let old = self.upstreams.borrow().clone();
        if old.as_ref().is_some_and(|old| old.version == registry.version()) {
            return;
        }
        let set = registry.set();
        let mut decisions = self.decisions();
        for (index, target) in old.iter().flat_map(|old| &old.by_index) {
            // The index of a removed upstream may belong to another one already.
            let kept = set.by_index.get(index).is_some_and(|kept| kept.is_same_process(target));
            if !kept {
                decisions.forget_upstream(*index);
                self.pool.close_idle(target.address);
            }
        }
        for (index, target) in &set.by_index {
            decisions.set_remote(*index, target.data_centre != self.settings.data_centre);
        }
        drop(decisions);
        lock(&self.owners).set_upstreams(&set);
        self.upstreams.send_replace(Some(Arc::new(set)));
    }

    /// Returns the ways of this VM to an upstream, whose service is described in `document`.
    pub(crate) fn upstream_access(
        &self,
        target: &UpstreamTarget,
        document: &RouteDocument,
    ) -> UpstreamAccess {
        let service = document.services.get(&target.service);
        let connections_max = service.map_or(u32::MAX, |service| service.connections_max);
        let own = self.link_address.get().copied();
        lock(&self.owners).access(own, target, connections_max)
    }

    /// Takes the platform's list of VMs.
    pub(crate) fn set_listed_vms(&self, listed: BTreeMap<VmAddress, DataCentreName>, now: Instant) {
        self.raise_vms_known(u32::try_from(listed.len()).unwrap_or(u32::MAX));
        lock(&self.owners).set_listed(listed, now);
    }

    /// Returns until when the platform's list of VMs counts beside the members.
    pub(crate) fn list_ends_at(&self) -> Option<Instant> {
        lock(&self.owners).list_ends_at()
    }

    /// Takes the members, and closes the connections that are now beyond this VM's part.
    pub(crate) fn set_members(&self, view: &MemberView, now: Instant) {
        self.raise_vms_known(u32::try_from(view.members.len()).unwrap_or(u32::MAX));
        lock(&self.owners).set_members(view, now);
        let (Some(table), Some(set)) =
            (self.routes.borrow().clone(), self.upstreams.borrow().clone())
        else {
            return;
        };
        for target in set.by_index.values() {
            let access = self.upstream_access(target, table.document());
            self.pool.limit(target.address, access.connections_max);
        }
    }

    /// Tells whether an upstream of an earlier set is in the current one.
    pub(crate) fn is_current(&self, target: &UpstreamTarget) -> bool {
        let upstreams = self.upstreams.borrow();
        let current = upstreams.as_ref().and_then(|set| set.by_index.get(&target.index));
        current.is_some_and(|current| current.is_same_process(target))
    }

    /// Tells whether an attempt may be sent to an upstream that was chosen at `chosen_at`.
    pub(crate) fn may_send_to(
        &self,
        target: &UpstreamTarget,
        class: QueryClass,
        chosen_at: Instant,
    ) -> bool {
        let now = Instant::now();
        self.is_current(target)
            && self.decisions().takes_attempt(target.index, class, chosen_at, now)
    }

    /// Heeds what an upstream says of itself in the head of a reply.
    pub(crate) fn heed_reply(
        &self,
        target: &UpstreamTarget,
        status: StatusCode,
        headers: &HeaderMap,
        now: Instant,
    ) {
        // With status 421, another upstream replies.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if let Some(duration) = refusal_duration(status, headers)
            && self.is_current(target)
        {
            self.decisions().record_refusal(target.index, now + duration);
            let fields =
                || json!({ "upstream": target.id, "refuses_ms": duration.as_millis() as u64 });
            self.log.write(DecisionEvent::UpstreamRefuses, fields);
        }
        self.heed_limit(target, headers, now);
        if headers.get(&self.format.headers().leaving).is_some_and(|value| value == "1") {
            self.update_registry(|registry| registry.on_leaving_reply(target));
        }
    }

    fn heed_limit(&self, target: &UpstreamTarget, headers: &HeaderMap, now: Instant) {
        let names = self.format.headers();
        let named = headers.get(&names.rate_limit);
        let limit = named.and_then(parse_limit);
        // A reply without the request's id may be an earlier one, and ends no limit. Neither does
        // a limit that cannot be read.
        let unknown =
            limit.is_none() && (named.is_some() || !headers.contains_key(&names.request_id));
        if unknown || !self.is_current(target) {
            return;
        }
        let record = self.decisions().record_limit(target.index, limit, now);
        if let Some(record) = record {
            self.log_limit(target, record);
            if record.is_news {
                self.limit_found.notify_one();
            }
        }
    }

    fn log_limit(&self, target: &UpstreamTarget, record: LimitRecord) {
        self.log.write(DecisionEvent::UpstreamLimited, || {
            json!({
                "upstream": target.id,
                "limit_per_s": record.limit.map(|limit| limit as f64 / 1_000.0),
                "sent": record.sent,
                "period_ms": record.period.as_millis() as u64,
            })
        });
    }

    /// Tells whether this VM refuses requests, or has lost its links, so that it sends none for other
    /// VMs.
    pub(crate) fn cannot_serve_others(&self) -> bool {
        self.departure.refuses_all() || self.links().are_lost()
    }

    /// Tells whether this VM should get callers' requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.departure.is_leaving()
            && self.routes.borrow().is_some()
            && self.upstreams.borrow().is_some()
    }

    /// Returns the version of the routes in force; zero if there are none yet.
    pub(crate) fn routes_version(&self) -> u64 {
        self.routes.borrow().as_ref().map_or(0, |table| table.document().version)
    }

    /// Raises the number of known VMs to `vms`; a lower number changes nothing.
    pub(crate) fn raise_vms_known(&self, vms: u32) {
        let mut decisions = self.decisions();
        decisions.vms_known = decisions.vms_known.max(vms);
        let vms_known = decisions.vms_known;
        decisions.limits().set_vms(vms_known);
        decisions.budgets.windows.configure(self.settings.repeats.window_settings(), vms_known);
    }
}

/// The state that the routing decisions of all requests share.
pub(crate) struct ForwardDecisions {
    pub(crate) admission: Admission,
    observations: Observations,
    pub(crate) budgets: Budgets,
    /// The latencies of each route's shards, by the name of the route.
    latencies: BTreeMap<String, Vec<QuantileTracker>>,
    /// The replicas of each route's services, by the name of the route.
    shards: BTreeMap<String, CachedShards>,
    /// How far each part of a split route is behind its share of the requests, by the name of the
    /// route.
    split_credits: BTreeMap<String, Vec<i64>>,
    pub(crate) random: SmallRng,
    /// The largest number of VMs known so far.
    pub(crate) vms_known: u32,
}

/// The replicas of a route's services, valid until the services or the set of upstreams change.
struct CachedShards {
    services: Arc<[ServiceName]>,
    upstreams_version: u64,
    shards: Arc<Vec<ShardReplicas>>,
}

impl ForwardDecisions {
    /// Creates the state without observations.
    pub(crate) fn new(random: SmallRng) -> Self {
        let mut observations = Observations::new();
        observations.limits.set_vms(VMS_ASSUMED);
        Self {
            admission: Admission::new(),
            observations,
            budgets: Budgets::new(),
            latencies: BTreeMap::new(),
            shards: BTreeMap::new(),
            split_credits: BTreeMap::new(),
            random,
            vms_known: VMS_ASSUMED,
        }
    }

    /// Returns the shared state that a request's fan-out needs for one decision.
    pub(crate) fn context(&mut self, route: &str, now: Instant) -> FanoutContext<'_, SmallRng> {
        if !self.latencies.contains_key(route) {
            self.latencies.insert(route.to_owned(), Vec::new());
        }
        FanoutContext {
            observations: &mut self.observations,
            budgets: &mut self.budgets,
            latencies: self.latencies.get_mut(route).expect("it was inserted above"),
            random: &mut self.random,
            now,
        }
    }

    /// Records the load that an upstream reported in a reply.
    pub(crate) fn record_load(
        &mut self,
        upstream: UpstreamIndex,
        load: UpstreamLoad,
        now: Instant,
    ) {
        self.observations.record_load(upstream, load, now);
    }

    /// Records that an upstream wants no request of this VM until a time.
    pub(crate) fn record_refusal(&mut self, upstream: UpstreamIndex, until: Instant) {
        self.observations.record_refusal(upstream, until);
    }

    /// Records a request to `shards` and returns, for each shard of which no replica takes it now,
    /// the time until one does.
    pub(crate) fn refused_shards(
        &mut self,
        shards: &[ShardReplicas],
        class: QueryClass,
        now: Instant,
    ) -> Vec<Duration> {
        let Self { observations, random, .. } = self;
        let mut waits = Vec::new();
        for ShardReplicas { replicas, .. } in shards {
            observations.limits.record_demand(replicas, class);
            waits.extend(observations.wait_for_any(replicas, Urgency::Class(class), now, random));
        }
        waits
    }

    /// Takes the limit that an upstream named in a reply; returns what is to be logged.
    pub(crate) fn record_limit(
        &mut self,
        upstream: UpstreamIndex,
        limit: Option<MilliPerSecond>,
        now: Instant,
    ) -> Option<LimitRecord> {
        self.observations.limits.on_reply(upstream, limit, now, &mut self.random)
    }

    /// Takes another VM's report about the limit of an upstream.
    pub(crate) fn record_limit_report(
        &mut self,
        upstream: UpstreamIndex,
        peer: VmAddress,
        report: LimitReport,
        now: Instant,
    ) {
        self.observations.limits.on_report(upstream, peer, report, now, &mut self.random);
    }

    /// Tells whether an attempt chosen at `chosen_at` may be sent: the upstream takes requests and
    /// has room for it.
    pub(crate) fn takes_attempt(
        &mut self,
        upstream: UpstreamIndex,
        class: QueryClass,
        chosen_at: Instant,
        now: Instant,
    ) -> bool {
        let Self { observations, random, .. } = self;
        let urgency = Urgency::Class(class);
        !observations.is_refusing(upstream, now)
            && observations.limits.confirm(upstream, chosen_at, urgency, now, random)
    }

    /// Takes one repeat of each service, or none if a bound does not allow it.
    pub(crate) fn take_repeats(&mut self, services: &[ServiceName], now: Instant) -> bool {
        let windows = &mut self.budgets.windows;
        let taken = services.iter().take_while(|service| windows.take_retry(service, now)).count();
        let all = taken == services.len();
        if !all {
            services[..taken].iter().for_each(|service| windows.refund(service));
        }
        all
    }

    /// Returns the limits that upstreams name.
    pub(crate) fn limits(&mut self) -> &mut RateLimits {
        &mut self.observations.limits
    }

    /// Records another VM's report that an upstream is silent.
    pub(crate) fn record_silence_report(
        &mut self,
        upstream: UpstreamIndex,
        peer: VmAddress,
        now: Instant,
    ) {
        self.observations.record_silence_report(upstream, peer, now);
    }

    /// Tells whether this VM found upstreams silent and has not yet notified the other VMs.
    pub(crate) fn has_unreported_silent(&self) -> bool {
        self.observations.has_unreported_silent()
    }

    /// Takes the upstreams whose attempts had no answer when their hedge was due.
    pub(crate) fn take_newly_silent(&mut self) -> Vec<UpstreamIndex> {
        self.observations.take_newly_silent()
    }

    /// Tells whether another VM found an upstream silent a moment ago.
    pub(crate) fn is_silent_elsewhere(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.observations.is_silent_elsewhere(upstream, now)
    }

    /// Takes the upstreams that this VM found silent since the last call.
    pub(crate) fn take_unreported_silent(&mut self) -> BTreeSet<UpstreamIndex> {
        self.observations.take_unreported_silent()
    }

    /// Takes the periods that have begun since the last call and in which a silent upstream is
    /// avoided.
    pub(crate) fn take_silence_holds(&mut self) -> Vec<SilenceHold> {
        self.observations.take_silence_holds()
    }

    /// Sets whether an upstream runs in another data centre than this VM.
    pub(crate) fn set_remote(&mut self, upstream: UpstreamIndex, is_remote: bool) {
        self.observations.set_remote(upstream, is_remote);
    }

    /// Drops the observations of an upstream that is no longer used.
    pub(crate) fn forget_upstream(&mut self, upstream: UpstreamIndex) {
        self.observations.forget(upstream);
    }

    /// Returns the replicas of `services`, from the cache of the route where it is valid.
    pub(crate) fn shards(
        &mut self,
        route: &Route,
        services: &Arc<[ServiceName]>,
        set: &UpstreamSet,
    ) -> Arc<Vec<ShardReplicas>> {
        let current = |cached: &&CachedShards| {
            cached.upstreams_version == set.version && cached.services == *services
        };
        if let Some(cached) = self.shards.get(&route.name).filter(current) {
            return Arc::clone(&cached.shards);
        }
        let shards = Arc::new(replicas_of(services, set));
        let cached = CachedShards {
            services: Arc::clone(services),
            upstreams_version: set.version,
            shards: Arc::clone(&shards),
        };
        self.shards.insert(route.name.clone(), cached);
        shards
    }

    /// Selects the part of a split route that is furthest behind its weight (smooth weighted
    /// round-robin).
    pub(crate) fn choose_split_part(&mut self, route: &Route, parts: &[SplitPart]) -> usize {
        let credits = self.split_credits.entry(route.name.clone()).or_default();
        if credits.len() != parts.len() {
            *credits = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        for (credit, part) in credits.iter_mut().zip(parts) {
            *credit += i64::from(part.weight);
        }
        let chosen = (0..parts.len()).max_by_key(|position| credits[*position]).unwrap_or(0);
        if let Some(credit) = credits.get_mut(chosen) {
            *credit -= total;
        }
        chosen
    }

    /// Drops the state of routes and services that are not in `table`.
    pub(crate) fn retain_routes(&mut self, table: &RouteTable) {
        let document = table.document();
        let named = |name: &String| document.routes.iter().any(|route| route.name == *name);
        self.latencies.retain(|name, _| named(name));
        self.shards.retain(|name, _| named(name));
        self.split_credits.retain(|name, _| named(name));
        self.budgets.windows.retain(|service| document.uses(service));
    }
}
