//! What the requests of one forwarding VM share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{Notify, watch};

use super::edge::IngressFormat;
use super::metrics::ForwardMetrics;
use super::plan::replicas_of;
use super::registry::UpstreamSet;
use super::route::{Route, RouteTable, SplitPart};
use super::settings::GatewaySettings;
use super::store_gate::StoreGate;
use crate::admission::Admission;
use crate::ids::{DataCentreName, RegionName, ServiceName, VmAddress};
use crate::membership::MemberView;
use crate::observe::DecisionLog;
use crate::query::{
    Budgets, FanoutContext, Observations, QuantileTracker, SilenceHold, UpstreamLoad,
};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::DataCentreSettings;
use crate::upstream::ConnectionPool;
use crate::vm::lock;

/// The number of VMs assumed until the others are known, so that a VM that has just started does
/// not use what belongs to all.
const VMS_ASSUMED: u32 = 4;

/// What the requests of one forwarding VM share.
pub(crate) struct ForwardState {
    pub(crate) settings: GatewaySettings,
    /// The data centres of the settings, as the choice of addresses takes them.
    pub(crate) data_centres: BTreeMap<DataCentreName, DataCentreSettings>,
    pub(crate) format: Arc<dyn IngressFormat>,
    pub(crate) pool: ConnectionPool,
    pub(crate) routes: watch::Sender<Option<Arc<RouteTable>>>,
    pub(crate) upstreams: watch::Sender<Option<Arc<UpstreamSet>>>,
    pub(crate) members: watch::Receiver<Arc<MemberView>>,
    pub(crate) metrics: ForwardMetrics,
    pub(crate) store_gate: StoreGate,
    /// Told when a request finds a service without upstreams.
    pub(crate) upstreams_wanted: Notify,
    /// Wakes the task that tells other VMs which upstreams were found silent.
    pub(crate) silence_found: Notify,
    pub(crate) leave_asked: watch::Sender<bool>,
    pub(crate) leaving: AtomicBool,
    pub(crate) refuses: AtomicBool,
    pub(crate) log: Arc<DecisionLog>,
    decisions: Mutex<ForwardDecisions>,
}

impl ForwardState {
    /// Starts without routes and upstreams.
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
            store_gate: StoreGate::default(),
            upstreams_wanted: Notify::new(),
            silence_found: Notify::new(),
            leave_asked: watch::Sender::new(false),
            leaving: AtomicBool::new(false),
            refuses: AtomicBool::new(false),
            log,
            decisions: Mutex::new(ForwardDecisions::new(random)),
        }
    }

    /// Locks the state that decisions share.
    pub(crate) fn decisions(&self) -> MutexGuard<'_, ForwardDecisions> {
        lock(&self.decisions)
    }

    /// Tells whether callers are served here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Acquire)
            && self.routes.borrow().is_some()
            && self.upstreams.borrow().is_some()
    }

    /// Returns the version of the routes in force; zero before the first.
    pub(crate) fn routes_version(&self) -> u64 {
        self.routes.borrow().as_ref().map_or(0, |table| table.document().version)
    }

    /// Returns how many VMs share what the system as a whole may use.
    pub(crate) fn sharing_vms(&self) -> u32 {
        self.decisions().vms_known
    }

    /// Takes a number of VMs that were seen or recorded; the largest one counts.
    pub(crate) fn set_vms_known(&self, vms: u32) {
        let mut decisions = self.decisions();
        decisions.vms_known = decisions.vms_known.max(vms);
        let vms_known = decisions.vms_known;
        decisions.budgets.windows.configure(self.settings.repeats.window_settings(), vms_known);
    }
}

/// The state that the decisions of all requests share.
pub(crate) struct ForwardDecisions {
    pub(crate) admission: Admission,
    observations: Observations,
    pub(crate) budgets: Budgets,
    latencies: BTreeMap<String, Vec<QuantileTracker>>,
    shards: BTreeMap<String, CachedShards>,
    turns: BTreeMap<String, Vec<i64>>,
    pub(crate) random: SmallRng,
    /// The most VMs that were known at one time.
    pub(crate) vms_known: u32,
}

/// The replicas of the services of one route, as long as neither changes.
struct CachedShards {
    services: Arc<[ServiceName]>,
    set_version: u64,
    shards: Arc<Vec<ShardReplicas>>,
}

impl ForwardDecisions {
    /// Starts without observations.
    pub(crate) fn new(random: SmallRng) -> Self {
        Self {
            admission: Admission::new(),
            observations: Observations::new(),
            budgets: Budgets::new(),
            latencies: BTreeMap::new(),
            shards: BTreeMap::new(),
            turns: BTreeMap::new(),
            random,
            vms_known: VMS_ASSUMED,
        }
    }

    /// Lends the state to one decision about a request of a route.
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

    /// Records the load that an upstream told.
    pub(crate) fn load_told(&mut self, upstream: UpstreamIndex, load: UpstreamLoad, now: Instant) {
        self.observations.load_told(upstream, load, now);
    }

    /// Records that another VM found an upstream silent.
    pub(crate) fn told_silent(&mut self, upstream: UpstreamIndex, peer: VmAddress, now: Instant) {
        self.observations.told_silent(upstream, peer, now);
    }

    /// Tells whether upstreams were found silent that the other VMs have not been told.
    pub(crate) fn has_silent(&self) -> bool {
        self.observations.has_silent()
    }

    /// Takes the upstreams that were found silent since the last call.
    pub(crate) fn take_silent(&mut self) -> BTreeSet<UpstreamIndex> {
        self.observations.take_silent()
    }

    /// Takes the holds on silent upstreams that began since the last call.
    pub(crate) fn take_silence_holds(&mut self) -> Vec<SilenceHold> {
        self.observations.take_silence_holds()
    }

    /// Takes where an upstream runs.
    pub(crate) fn set_far(&mut self, upstream: UpstreamIndex, is_far: bool) {
        self.observations.set_far(upstream, is_far);
    }

    /// Forgets what was observed of an upstream that is no longer used.
    pub(crate) fn forget_upstream(&mut self, upstream: UpstreamIndex) {
        self.observations.forget(upstream);
    }

    /// Returns the replicas for a request of a route to `services`.
    pub(crate) fn shards(
        &mut self,
        route: &Route,
        services: &Arc<[ServiceName]>,
        set: &UpstreamSet,
    ) -> Arc<Vec<ShardReplicas>> {
        let current = |cached: &&CachedShards| {
            cached.set_version == set.version && cached.services == *services
        };
        if let Some(cached) = self.shards.get(&route.name).filter(current) {
            return Arc::clone(&cached.shards);
        }
        let shards = Arc::new(replicas_of(services, set));
        let cached = CachedShards {
            services: Arc::clone(services),
            set_version: set.version,
            shards: Arc::clone(&shards),
        };
        self.shards.insert(route.name.clone(), cached);
        shards
    }

    /// Picks the part of a split whose share is furthest behind its weight.
    pub(crate) fn turn(&mut self, route: &Route, parts: &[SplitPart]) -> usize {
        let credits = self.turns.entry(route.name.clone()).or_default();
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

    /// Drops what is kept for routes that are no longer there.
    pub(crate) fn retain_routes(&mut self, table: &RouteTable) {
        let document = table.document();
        let named = |name: &String| document.routes.iter().any(|route| route.name == *name);
        self.latencies.retain(|name, _| named(name));
        self.shards.retain(|name, _| named(name));
        self.turns.retain(|name, _| named(name));
        self.budgets.windows.retain(|service| document.uses(service));
    }
}
