//! The metrics of a VM, registered with `prometheus-client` and with units in their names.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use papayastack_macros::value;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::{Metric, Registry, Unit};

use super::labels::{
    ANSWERED, PlatformCall, QueryOutcome, SubmissionOutcome, attempt_name, platform_result_name,
    reason_name,
};
use crate::membership::{MemberState, MemberView};
use crate::outcome::{Coverage, RefusalReason};
use crate::platform::PlatformError;
use crate::query::{AttemptOutcome, FanoutCounts};
use crate::settings::QueryClass;

const METRIC_PREFIX: &str = "papaya";
const LATENCY_BUCKETS_SECONDS: [f64; 18] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.13, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0,
    20.0, 120.0,
];
const COVERAGE_BUCKETS_RATIO: [f64; 8] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.99, 0.999, 1.0];

/// The current load of a VM's dispatch to upstreams.
#[value]
#[derive(Default)]
pub struct DispatchLevels {
    /// Sub-requests that wait for a slot.
    pub waiting: u64,
    /// Slots in use.
    pub slots_busy: u64,
    /// Slots that this VM may use.
    pub slots: u64,
    /// Open connections to upstreams.
    pub connections: u64,
}

/// The metrics of one VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    query_duration: Family<QueryLabels, Histogram, fn() -> Histogram>,
    query_coverage: Family<ClassLabels, Histogram, fn() -> Histogram>,
    submission_duration: Family<OutcomeLabels, Histogram, fn() -> Histogram>,
    refusals: Family<ReasonLabels, Counter>,
    sub_requests_needed: Family<ClassLabels, Counter>,
    sub_requests_sent: Family<ClassLabels, Counter>,
    hedges: Family<ClassLabels, Counter>,
    retries: Family<ClassLabels, Counter>,
    attempts_unresolved: Family<ClassLabels, Counter>,
    replies_dropped: Family<ClassLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    requests_in_flight: Gauge,
    sub_requests_waiting: Gauge<u64, AtomicU64>,
    slots_busy: Gauge<u64, AtomicU64>,
    slots: Gauge<u64, AtomicU64>,
    connections: Gauge<u64, AtomicU64>,
    members: Family<StateLabels, Gauge>,
    configuration_version: Gauge<u64, AtomicU64>,
    platform_calls: Family<CallLabels, Counter>,
}

impl Metrics {
    /// Registers all metrics at zero.
    pub fn new() -> Arc<Self> {
        let mut metrics = Self {
            registry: Registry::with_prefix(METRIC_PREFIX),
            query_duration: Family::new_with_constructor(latency_histogram),
            query_coverage: Family::new_with_constructor(coverage_histogram),
            submission_duration: Family::new_with_constructor(latency_histogram),
            refusals: Family::default(),
            sub_requests_needed: Family::default(),
            sub_requests_sent: Family::default(),
            hedges: Family::default(),
            retries: Family::default(),
            attempts_unresolved: Family::default(),
            replies_dropped: Family::default(),
            attempts: Family::default(),
            requests_in_flight: Gauge::default(),
            sub_requests_waiting: Gauge::default(),
            slots_busy: Gauge::default(),
            slots: Gauge::default(),
            connections: Gauge::default(),
            members: Family::default(),
            configuration_version: Gauge::default(),
            platform_calls: Family::default(),
        };
        metrics.register_requests();
        metrics.register_dispatch();
        metrics.register_system();
        metrics.create_known_series();
        Arc::new(metrics)
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a string takes any text");
        text
    }

    /// Records the duration of a query that ended, and the coverage of its answer if it has one.
    pub fn query_ended(
        &self,
        class: QueryClass,
        outcome: QueryOutcome,
        elapsed: Duration,
        coverage: Option<&Coverage>,
    ) {
        let labels = QueryLabels { class: class.name(), outcome: outcome.name() };
        self.query_duration.get_or_create(&labels).observe(elapsed.as_secs_f64());
        if let Some(coverage) = coverage {
            let answered = coverage.answered().len() as f64;
            let shards = answered + coverage.missing().len() as f64;
            self.query_coverage.get_or_create(&class_labels(class)).observe(answered / shards);
        }
    }

    /// Adds the sub-requests of one query to the counters of its class.
    pub fn sub_requests(&self, class: QueryClass, counts: &FanoutCounts) {
        let labels = class_labels(class);
        self.sub_requests_needed.get_or_create(&labels).inc_by(counts.needed);
        self.sub_requests_sent.get_or_create(&labels).inc_by(counts.sent);
        self.hedges.get_or_create(&labels).inc_by(counts.hedges);
        self.retries.get_or_create(&labels).inc_by(counts.retries);
        self.attempts_unresolved.get_or_create(&labels).inc_by(counts.unresolved);
        self.replies_dropped.get_or_create(&labels).inc_by(counts.dropped);
    }

    /// Counts an attempt that ended at this VM.
    pub fn attempt_ended(&self, outcome: &AttemptOutcome) {
        let labels = OutcomeLabels { outcome: attempt_name(outcome) };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Records the duration of a submission that ended.
    pub fn submission_ended(&self, outcome: SubmissionOutcome, elapsed: Duration) {
        let labels = OutcomeLabels { outcome: outcome.name() };
        self.submission_duration.get_or_create(&labels).observe(elapsed.as_secs_f64());
    }

    /// Counts a refusal by its reason.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals.get_or_create(&ReasonLabels { reason: reason_name(reason) }).inc();
    }

    /// Counts a request in flight until the returned guard is dropped.
    pub fn request_started(&self) -> RequestGuard {
        self.requests_in_flight.inc();
        RequestGuard { gauge: self.requests_in_flight.clone() }
    }

    /// Sets the gauges that describe the dispatch to upstreams.
    pub fn set_dispatch(&self, levels: &DispatchLevels) {
        self.sub_requests_waiting.set(levels.waiting);
        self.slots_busy.set(levels.slots_busy);
        self.slots.set(levels.slots);
        self.connections.set(levels.connections);
    }

    /// Sets how many VMs are live and leaving, as this VM sees the membership.
    pub fn set_members(&self, view: &MemberView) {
        let live = view.live().count();
        let leaving = view.members.len() - live;
        self.set_member_count(MemberState::Live, live);
        self.set_member_count(MemberState::Leaving, leaving);
    }

    /// Sets the version of the configuration in force.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version.set(version);
    }

    /// Counts a call to the platform; `error` is `None` if it succeeded.
    pub fn platform_call(&self, call: PlatformCall, error: Option<&PlatformError>) {
        let labels = CallLabels { call: call.name(), result: platform_result_name(error) };
        self.platform_calls.get_or_create(&labels).inc();
    }

    /// Creates the series with known labels at zero, so that rates include their first event.
    fn create_known_series(&self) {
        for class in QueryClass::BY_PRIORITY {
            self.sub_requests(class, &FanoutCounts::default());
            drop(self.query_coverage.get_or_create(&class_labels(class)));
            for outcome in QueryOutcome::ALL {
                let labels = QueryLabels { class: class.name(), outcome: outcome.name() };
                drop(self.query_duration.get_or_create(&labels));
            }
        }
        for outcome in SubmissionOutcome::ALL {
            let labels = OutcomeLabels { outcome: outcome.name() };
            drop(self.submission_duration.get_or_create(&labels));
        }
        for call in PlatformCall::ALL {
            let result = platform_result_name(None);
            drop(self.platform_calls.get_or_create(&CallLabels { call: call.name(), result }));
        }
        for reason in [RefusalReason::Overloaded, RefusalReason::DeadlineExceeded] {
            drop(self.refusals.get_or_create(&ReasonLabels { reason: reason_name(reason) }));
        }
        drop(self.attempts.get_or_create(&OutcomeLabels { outcome: ANSWERED }));
        self.set_members(&MemberView::default());
    }

    fn set_member_count(&self, state: MemberState, count: usize) {
        let state = match state {
            MemberState::Live => "live",
            MemberState::Leaving => "leaving",
        };
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.members.get_or_create(&StateLabels { state }).set(count);
    }

    fn register_requests(&mut self) {
        self.register_with_unit(
            "query_duration",
            "Time from acceptance to answer by class and outcome",
            Unit::Seconds,
            |metrics| metrics.query_duration.clone(),
        );
        self.register_with_unit(
            "query_coverage",
            "Covered share of the shards of answers by class",
            Unit::Other("ratio".to_owned()),
            |metrics| metrics.query_coverage.clone(),
        );
        self.register_with_unit(
            "submission_duration",
            "Time from acceptance to answer of submissions by outcome",
            Unit::Seconds,
            |metrics| metrics.submission_duration.clone(),
        );
        self.register("refusals", "Refused requests by reason", |metrics| metrics.refusals.clone());
        self.register("requests_in_flight", "Callers' requests in flight", |metrics| {
            metrics.requests_in_flight.clone()
        });
    }

    fn register_dispatch(&mut self) {
        self.register("sub_requests_needed", "Shards that queries had to cover", |metrics| {
            metrics.sub_requests_needed.clone()
        });
        self.register("sub_requests_sent", "Attempts sent, hedges and retries included", |m| {
            m.sub_requests_sent.clone()
        });
        self.register("hedges", "Attempts sent because an earlier one was slow", |metrics| {
            metrics.hedges.clone()
        });
        self.register("retries", "Attempts sent because an earlier one failed", |metrics| {
            metrics.retries.clone()
        });
        self.register("attempts_unresolved", "Attempts that may have run in vain", |metrics| {
            metrics.attempts_unresolved.clone()
        });
        self.register("replies_dropped", "Replies that came late, twice or crossed", |metrics| {
            metrics.replies_dropped.clone()
        });
        self.register("attempts", "Attempts that ended at this VM by outcome", |metrics| {
            metrics.attempts.clone()
        });
        self.register("sub_requests_waiting", "Sub-requests that wait for a slot", |metrics| {
            metrics.sub_requests_waiting.clone()
        });
        self.register("slots_busy", "Upstream slots in use by this VM", |metrics| {
            metrics.slots_busy.clone()
        });
        self.register("slots", "Upstream slots that this VM may use", |metrics| {
            metrics.slots.clone()
        });
        self.register("upstream_connections", "Open connections to upstreams", |metrics| {
            metrics.connections.clone()
        });
    }

    fn register_system(&mut self) {
        self.register("members", "VMs by state as this VM sees them", |metrics| {
            metrics.members.clone()
        });
        self.register("configuration_version", "Configuration version in force", |metrics| {
            metrics.configuration_version.clone()
        });
        self.register("platform_calls", "Calls to the platform by kind and result", |metrics| {
            metrics.platform_calls.clone()
        });
        let build = Info::new([("version", env!("CARGO_PKG_VERSION"))]);
        self.register("build", "The running version", |_metrics| build);
    }

    fn register<M: Metric>(&mut self, name: &str, help: &str, metric: impl FnOnce(&Self) -> M) {
        let metric = metric(self);
        self.registry.register(name, help, metric);
    }

    fn register_with_unit<M: Metric>(
        &mut self,
        name: &str,
        help: &str,
        unit: Unit,
        metric: impl FnOnce(&Self) -> M,
    ) {
        let metric = metric(self);
        self.registry.register_with_unit(name, help, unit, metric);
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    gauge: Gauge,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueryLabels {
    class: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    result: &'static str,
}

fn class_labels(class: QueryClass) -> ClassLabels {
    ClassLabels { class: class.name() }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_SECONDS)
}

fn coverage_histogram() -> Histogram {
    Histogram::new(COVERAGE_BUCKETS_RATIO)
}
