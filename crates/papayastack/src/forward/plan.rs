//! The plan of one request: deadline, shards, and what the route allows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::registry::UpstreamSet;
use super::route::{RequestKind, Route, RouteTarget};
use crate::ids::ServiceName;
use crate::query::{Enough, Exhausted, GatherRules, GatherSpec, Losers, Repeat};
use crate::routing::ShardReplicas;
use crate::settings::{ClassSettings, QueryClass, RoutingSettings};

/// The time kept for the way of the answer back to the caller and for the work on it.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);
/// The share of a short deadline that the margin may take at most.
const ANSWER_MARGIN_SHARE_MAX: f64 = 0.1;
/// The share of the goal after which an answer with enough shards is not kept waiting.
const ENOUGH_AT_GOAL_SHARE: f64 = 0.85;
/// The share of the goal after which an attempt is hedged before latencies are known.
const HEDGE_AT_GOAL_SHARE_INITIAL: f64 = 0.3;
/// The share of the goal after which an attempt is hedged at the latest.
const HEDGE_AT_GOAL_SHARE_MAX: f64 = 0.45;
/// The quantile of latencies above which an attempt counts as a straggler, in thousandths.
const HEDGE_QUANTILE_PERMILLE: u32 = 950;

/// Returns when the answer to a request must be made.
pub(crate) fn answer_deadline(
    accepted: Instant,
    route: &Route,
    waits: Option<Duration>,
) -> Instant {
    let limit = waits.unwrap_or(route.timeout).min(route.timeout);
    let margin = ANSWER_MARGIN.min(limit.mul_f64(ANSWER_MARGIN_SHARE_MAX));
    accepted + limit - margin
}

/// Returns the services that a request goes to; `turn` picks the part of a split.
pub(crate) fn services_of(
    route: &Route,
    turn: impl FnOnce(&[super::route::SplitPart]) -> usize,
) -> Arc<[ServiceName]> {
    match &route.target {
        RouteTarget::Service(service) => Arc::from([service.clone()]),
        RouteTarget::Split(parts) => {
            let chosen = turn(parts);
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

/// Returns what the gathering of one request is asked to do.
pub(crate) fn gather_spec(
    route: &Route,
    services: Arc<[ServiceName]>,
    shards: Arc<Vec<ShardReplicas>>,
    accepted: Instant,
    deadline: Instant,
    overloaded: bool,
) -> GatherSpec {
    let enough = match &route.target {
        RouteTarget::Shards(target) => Some(Enough {
            at: accepted + route.goal.mul_f64(ENOUGH_AT_GOAL_SHARE),
            shards_min: target.covered_min(),
        }),
        RouteTarget::Service(_) | RouteTarget::Split(_) => None,
    };
    let repeat = match route.kind {
        RequestKind::Safe => Repeat::Freely,
        RequestKind::Unsafe => Repeat::OnlyIfNotRun,
    };
    let class = ClassSettings {
        // Under overload a second attempt takes the slot of another request's first one.
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
            repeat,
            exhausted: Exhausted::GiveUp,
            enough,
            services: Some(services),
            hedge_delay_initial: route.goal.mul_f64(HEDGE_AT_GOAL_SHARE_INITIAL),
            hedge_delay_max: route.goal.mul_f64(HEDGE_AT_GOAL_SHARE_MAX),
            losers: Losers::CancelWhereOthersWait,
        },
    }
}
