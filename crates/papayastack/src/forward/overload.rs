//! Detection of overloaded upstreams, and the priority class of a route under overload.

use std::time::Duration;

use papayastack_macros::value;

use super::route::{Route, RouteDocument, RouteTarget};
use crate::admission::QueryEnd;
use crate::ids::ServiceName;
use crate::query::UpstreamLoad;
use crate::settings::QueryClass;

/// The share of the shards that must have had a queue for a request to count as overloaded; single
/// shards have a queue whenever an upstream pauses or is slow.
const QUEUED_SHARDS_SHARE: f64 = 0.5;
/// The share of the latency goal from which on a request counts as slow.
const SLOW_GOAL_SHARE: f64 = 0.65;
/// The number of waiting requests per slot from which on an upstream counts as having a queue;
/// shorter waits are normal.
const QUEUE_PER_SLOT: f64 = 1.0;

/// The result of one shard, reduced to what indicates overload.
#[value]
#[derive(Copy)]
pub(crate) enum ShardLoad {
    /// The shard answered, with its upstream's load if the service reports it.
    Answered(Option<UpstreamLoad>),
    /// No upstream of the shard answered in time.
    Late,
    /// The shard is missing for another reason, not necessarily load: some upstreams refuse
    /// requests while idle.
    Missing,
}

/// Classifies a finished request: overloaded if it was slow and at least half of its shards had a
/// queue.
pub(crate) fn classify_request(
    shards: impl IntoIterator<Item = ShardLoad>,
    elapsed: Duration,
    goal: Duration,
) -> QueryEnd {
    if elapsed < goal.mul_f64(SLOW_GOAL_SHARE) {
        return QueryEnd::Served;
    }
    let (mut queued, mut all) = (0_u32, 0_u32);
    for shard in shards {
        all += 1;
        queued += u32::from(match shard {
            ShardLoad::Answered(load) => load.is_some_and(has_queue),
            ShardLoad::Late => true,
            ShardLoad::Missing => false,
        });
    }
    if all > 0 && f64::from(queued) >= f64::from(all) * QUEUED_SHARDS_SHARE {
        QueryEnd::Overloaded
    } else {
        QueryEnd::Served
    }
}

fn has_queue(load: UpstreamLoad) -> bool {
    f64::from(load.waiting) >= f64::from(load.slots) * QUEUE_PER_SLOT
}

/// Returns the name of the admission limit that requests to the same upstreams share.
pub(crate) fn limit_name(services: &[ServiceName]) -> ServiceName {
    services.first().cloned().unwrap_or_default()
}

/// Returns the priority class of a route by its rank among the routes that share its upstreams.
pub(crate) fn route_class(route: &Route, document: &RouteDocument) -> QueryClass {
    let sharing =
        document.routes.iter().filter(|other| share_upstreams(&route.target, &other.target));
    let mut more_urgent: Vec<u32> =
        sharing.map(|other| other.priority).filter(|rank| *rank < route.priority).collect();
    more_urgent.sort_unstable();
    more_urgent.dedup();
    match more_urgent.len() {
        0 => QueryClass::Lookup,
        1 => QueryClass::Sweep,
        _ => QueryClass::Archive,
    }
}

fn share_upstreams(one: &RouteTarget, other: &RouteTarget) -> bool {
    match (one, other) {
        (RouteTarget::Shards(one), RouteTarget::Shards(other)) => {
            one.services.first() == other.services.first()
        }
        (RouteTarget::Service(one), RouteTarget::Service(other)) => one == other,
        _ => false,
    }
}
