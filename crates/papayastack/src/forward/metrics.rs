//! Metrics of a forwarding VM, with units in their names.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use papayastack_macros::value;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::route::RouteTarget;
use crate::membership::MembershipCounts;
use crate::observe::{ANSWERED, attempt_name, platform_result_name};
use crate::platform::PlatformError;
use crate::query::{AttemptOutcome, FanoutCounts};

const PREFIX: &str = "papaya_forward";
const LATENCY_BUCKETS_SECONDS: [f64; 13] =
    [0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

/// The current values of the gauges, and counters that other parts keep.
#[value]
#[derive(Default)]
pub(crate) struct ForwardLevels {
    pub(crate) routes_version: u64,
    pub(crate) upstreams: u64,
    pub(crate) limited_upstreams: u64,
    pub(crate) members: u64,
    pub(crate) connections: u64,
    pub(crate) connections_opened: u64,
    pub(crate) log_lines_dropped: u64,
    pub(crate) membership: MembershipCounts,
    /// The time since the store last answered a call of each feed.
    pub(crate) feed_ages: BTreeMap<&'static str, Duration>,
}

/// The metrics of one forwarding VM.
#[derive(Debug)]
pub(crate) struct ForwardMetrics {
    registry: Registry,
    request_duration: Family<RequestLabels, Histogram, fn() -> Histogram>,
    attempts: Family<OutcomeLabels, Counter>,
    repeats: Family<KindLabels, Counter>,
    store_calls: Family<CallLabels, Counter>,
    routes_version: Gauge<u64, AtomicU64>,
    upstreams: Gauge<u64, AtomicU64>,
    limited_upstreams: Gauge<u64, AtomicU64>,
    members: Gauge<u64, AtomicU64>,
    connections: Gauge<u64, AtomicU64>,
    connections_opened: Counter,
    log_lines_dropped: Counter,
    membership_suspicions: Counter,
    membership_deaths: Counter,
    membership_stalls: Counter,
    feed_ages: Family<FeedLabels, Gauge<f64, AtomicU64>>,
}

impl ForwardMetrics {
    /// Registers all metrics at zero.
    pub(crate) fn new() -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS_SECONDS);
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            request_duration: Family::new_with_constructor(histogram),
            attempts: Family::default(),
            repeats: Family::default(),
            store_calls: Family::default(),
            routes_version: Gauge::default(),
            upstreams: Gauge::default(),
            limited_upstreams: Gauge::default(),
            members: Gauge::default(),
            connections: Gauge::default(),
            connections_opened: Counter::default(),
            log_lines_dropped: Counter::default(),
            membership_suspicions: Counter::default(),
            membership_deaths: Counter::default(),
            membership_stalls: Counter::default(),
            feed_ages: Family::default(),
        };
        metrics.register();
        metrics.start_at_zero();
        metrics
    }

    /// Encodes all metrics, with the current `levels`, in the OpenMetrics text format.
    pub(crate) fn encode(&self, levels: &ForwardLevels) -> String {
        self.routes_version.set(levels.routes_version);
        self.upstreams.set(levels.upstreams);
        self.limited_upstreams.set(levels.limited_upstreams);
        self.members.set(levels.members);
        self.connections.set(levels.connections);
        self.connections_opened.inner().store(levels.connections_opened, Ordering::Relaxed);
        self.log_lines_dropped.inner().store(levels.log_lines_dropped, Ordering::Relaxed);
        let MembershipCounts { suspicions, deaths, stalls, .. } = levels.membership;
        self.membership_suspicions.inner().store(suspicions, Ordering::Relaxed);
        self.membership_deaths.inner().store(deaths, Ordering::Relaxed);
        self.membership_stalls.inner().store(stalls, Ordering::Relaxed);
        for (feed, age) in &levels.feed_ages {
            self.feed_ages.get_or_create(&FeedLabels { feed }).set(age.as_secs_f64());
        }
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a string takes any text");
        text
    }

    /// Counts a request that ended.
    pub(crate) fn request_ended(
        &self,
        target: &RouteTarget,
        outcome: &'static str,
        elapsed: Duration,
    ) {
        let target = match target {
            RouteTarget::Service(_) => "service",
            RouteTarget::Split(_) => "split",
            RouteTarget::Shards(_) => "shards",
        };
        let labels = RequestLabels { target, outcome };
        self.request_duration.get_or_create(&labels).observe(elapsed.as_secs_f64());
    }

    /// Counts an attempt that ended.
    pub(crate) fn attempt_ended<P>(&self, outcome: &AttemptOutcome<P>) {
        self.attempts.get_or_create(&OutcomeLabels { outcome: attempt_name(outcome) }).inc();
    }

    /// Counts the hedges and retries of one request.
    pub(crate) fn repeats(&self, counts: &FanoutCounts) {
        for (kind, count) in [("hedge", counts.hedges), ("retry", counts.retries)] {
            if count > 0 {
                self.repeats.get_or_create(&KindLabels { kind }).inc_by(count);
            }
        }
    }

    /// Counts a call to the store; `error` is `None` if the call succeeded.
    pub(crate) fn store_call(&self, call: &'static str, error: Option<&PlatformError>) {
        let labels = CallLabels { call, result: platform_result_name(error) };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Creates the usual series of each family at zero, so that rates include their first event.
    fn start_at_zero(&self) {
        for target in ["service", "split", "shards"] {
            let labels = RequestLabels { target, outcome: "served" };
            drop(self.request_duration.get_or_create(&labels));
        }
        drop(self.attempts.get_or_create(&OutcomeLabels { outcome: ANSWERED }));
        for kind in ["hedge", "retry"] {
            drop(self.repeats.get_or_create(&KindLabels { kind }));
        }
        let result = platform_result_name(None);
        for call in ["upstreams", "routes", "record", "vms"] {
            drop(self.store_calls.get_or_create(&CallLabels { call, result }));
            drop(self.feed_ages.get_or_create(&FeedLabels { feed: call }));
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "request_duration",
            "Time from acceptance to answer by target and outcome",
            Unit::Seconds,
            self.request_duration.clone(),
        );
        registry.register("attempts", "Attempts by outcome", self.attempts.clone());
        registry.register("repeats", "Hedges and retries sent", self.repeats.clone());
        registry.register("store_calls", "Calls to the store by result", self.store_calls.clone());
        let version = self.routes_version.clone();
        registry.register("routes_version", "Version of the routes in force", version);
        registry.register("upstreams", "Upstreams that may be used", self.upstreams.clone());
        let limited = self.limited_upstreams.clone();
        registry.register("limited_upstreams", "Upstreams that name a limit", limited);
        registry.register("members", "VMs known, this one included", self.members.clone());
        let connections = self.connections.clone();
        registry.register("connections", "Open connections to upstreams", connections);
        let opened = self.connections_opened.clone();
        registry.register("connections_opened", "Connections made to upstreams", opened);
        let dropped = self.log_lines_dropped.clone();
        registry.register("log_lines_dropped", "Decision lines skipped or dropped", dropped);
        let suspicions = self.membership_suspicions.clone();
        registry.register("membership_suspicions", "Peers that missed probes", suspicions);
        let deaths = self.membership_deaths.clone();
        registry.register("membership_deaths", "Peers that this VM declared dead", deaths);
        let stalls = self.membership_stalls.clone();
        registry.register("membership_stalls", "Times that this VM was stalled", stalls);
        registry.register_with_unit(
            "feed_age",
            "Time since the store last answered a call of the feed",
            Unit::Seconds,
            self.feed_ages.clone(),
        );
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    target: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FeedLabels {
    feed: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}
