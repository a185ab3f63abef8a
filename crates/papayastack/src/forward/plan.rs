//! The plan of one request: deadline, shards and fan-out rules.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::registry::UpstreamSet;
use super::route::{RequestKind, Route, RouteTarget};
use crate::ids::ServiceName;
use crate::query::{
    EarlyFinish, GatherRules, GatherSpec, OnExhausted, RetryPolicy, UnneededAttempts,
};
use crate::routing::ShardReplicas;
use crate::settings::{ClassSettings, QueryClass, RoutingSettings};

/// The time reserved to merge the answer and send it back to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);
/// The largest share of a short deadline that [`ANSWER_MARGIN`] may take.
const ANSWER_MARGIN_SHARE_MAX: f64 = 0.1;
/// The share of the latency goal after which an answer that covers enough shards is sent without
/// waiting for the missing ones.
const PARTIAL_ANSWER_GOAL_SHARE: f64 = 0.85;
/// The time before the latency goal at which such an answer is sent at the latest. It covers both
/// ways between caller and VM, and the VM's work on request and answer; 15% of a short goal does not.
const PARTIAL_ANSWER_MARGIN: Duration = Duration::from_millis(16);
/// The largest share of the latency goal that a caller may have spent before it sent the request.
const CONNECTING_GOAL_SHARE_MAX: f64 = 0.4;
/// The share of the latency goal after which an attempt is hedged while no latencies are known.
const HEDGE_DELAY_GOAL_SHARE_INITIAL: f64 = 0.3;
/// The share of the latency goal after which an attempt is hedged at the latest.
const HEDGE_DELAY_GOAL_SHARE_MAX: f64 = 0.45;
/// The quantile of latencies above which an attempt is hedged, in thousandths.
const HEDGE_QUANTILE_PERMILLE: u32 = 950;

/// Returns the time by which the answer to a request must be sent.
///
/// `remaining` is how long the caller still waits after `accepted`, if it said so. The route's
/// time-out is the upper limit.
pub(crate) fn answer_deadline(
    accepted: Instant,
    route: &Route,
    remaining: Option<Duration>,
) -> Instant {
    let limit = remaining.unwrap_or(route.timeout).min(route.timeout);
    let margin = ANSWER_MARGIN.min(limit.mul_f64(ANSWER_MARGIN_SHARE_MAX));
    accepted + limit - margin
}

/// Returns when the caller began to wait for the answer to a request that arrived at `accepted`.
///
/// `remaining` is how long the caller still waited when it sent the request, if it said so. Callers
/// wait for the route's time-out; what is missing was spent on an address and a connection. If much
/// is missing, the caller has sent the request before, or waits less than the time-out: both say
/// nothing about when it began.
pub(crate) fn caller_started(
    accepted: Instant,
    route: &Route,
    remaining: Option<Duration>,
) -> Instant {
    let spent = remaining.and_then(|remaining| route.timeout.checked_sub(remaining));
    let plausible = |spent: &Duration| *spent <= route.goal.mul_f64(CONNECTING_GOAL_SHARE_MAX);
    accepted - spent.filter(plausible).unwrap_or_default()
}

/// Returns how long a caller waits until an answer that covers enough shards is sent.
fn partial_answer_delay(goal: Duration) -> Duration {
    // Half of the goal stays for the shards, however short it is.
    let latest = goal.saturating_sub(PARTIAL_ANSWER_MARGIN).max(goal / 2);
    goal.mul_f64(PARTIAL_ANSWER_GOAL_SHARE).min(latest)
}

/// Returns the services that a request goes to; `choose_part` selects the part of a split route.
pub(crate) fn services_of(
    route: &Route,
    choose_part: impl FnOnce(&[super::route::SplitPart]) -> usize,
) -> Arc<[ServiceName]> {
    match &route.target {
        RouteTarget::Service(service) => Arc::from([service.clone()]),
        RouteTarget::Split(parts) => {
            let chosen = choose_part(parts);
            parts.get(chosen).map(|part| part.service.clone()).into_iter().collect()
        }
        RouteTarget::Shards(shards) => Arc::clone(&shards.services),
    }
}

/// Returns the replicas of each service, in the order of the services.
pub(crate) fn replicas_of(services: &[ServiceName], set: &UpstreamSet) -> Vec<ShardReplicas> {
    let replicas = |service: &ServiceName| set.by_service.get(service).cloned().unwrap_or_default();
    services
        .iter()
        .zip(0..)
        .map(|(service, shard)| ShardReplicas { shard, replicas: replicas(service) })
        .collect()
}

/// Returns the shards, the deadline and the rules with which a request is fanned out. The route's goal
/// counts from `caller_started`.
pub(crate) fn gather_spec(
    route: &Route,
    services: Arc<[ServiceName]>,
    shards: Arc<Vec<ShardReplicas>>,
    caller_started: Instant,
    deadline: Instant,
    overloaded: bool,
    urgency: QueryClass,
) -> GatherSpec {
    let early_finish = match &route.target {
        RouteTarget::Shards(target) => Some(EarlyFinish {
            at: caller_started + partial_answer_delay(route.goal),
            shards_min: target.covered_min(),
        }),
        RouteTarget::Service(_) | RouteTarget::Split(_) => None,
    };
    let retry_policy = match route.kind {
        RequestKind::Safe => RetryPolicy::Freely,
        RequestKind::Unsafe => RetryPolicy::OnlyIfNotRun,
    };
    let class = ClassSettings {
        // Under overload a hedge would take a slot from another request's first attempt.
        hedge: route.kind == RequestKind::Safe && !overloaded,
        hedge_quantile_permille: HEDGE_QUANTILE_PERMILLE,
        ..ClassSettings::default_of(QueryClass::Sweep)
    };
    GatherSpec {
        shards,
        deadline,
        class,
        routing: RoutingSettings::default(),
        rules: GatherRules {
            attempts_max: route.attempts_max.max(1),
            retry_policy,
            on_exhausted: OnExhausted::GiveUp,
            early_finish,
            services: Some(services),
            hedge_delay_initial: route.goal.mul_f64(HEDGE_DELAY_GOAL_SHARE_INITIAL),
            hedge_delay_max: route.goal.mul_f64(HEDGE_DELAY_GOAL_SHARE_MAX),
            unneeded_attempts: UnneededAttempts::CancelWhereOthersWait,
            urgency,
        },
    }
}
