//! Whether the upstreams of a request were overloaded, and which requests go first then.

use std::time::Duration;

use papayastack_macros::value;

use super::route::{Route, RouteDocument, RouteTarget};
use crate::admission::QueryEnd;
use crate::ids::ServiceName;
use crate::query::UpstreamLoad;
use crate::settings::QueryClass;

/// The share of the shards that must have had a queue for a request to count as overloaded: single
/// shards have one whenever an upstream pauses or is slow.
const QUEUED_SHARDS_SHARE: f64 = 0.5;
/// The share of the goal from which on a request counts as slow.
const SLOW_GOAL_SHARE: f64 = 0.65;
/// Waiting requests for each slot that make a queue: below that, the wait is a part of the work.
const QUEUE_PER_SLOT: f64 = 1.0;

/// What became of one shard, as far as overload is concerned.
#[value]
#[derive(Copy)]
pub(crate) enum ShardLoad {
    /// It answered, and told its load where its service does.
    Answered(Option<UpstreamLoad>),
    /// No upstream answered in time.
    Late,
    /// It is missing for another reason, which need not be load: some upstreams refuse while idle.
    Missing,
}

/// Judges a finished request: overloaded if it was slow and most of its shards had a queue.
pub(crate) fn request_end(
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

/// Returns the name under which requests to the same upstreams share a limit.
pub(crate) fn limit_name(services: &[ServiceName]) -> ServiceName {
    services.first().cloned().unwrap_or_default()
}

/// Returns the class of a route by its rank among those that share its upstreams.
pub(crate) fn class_of(route: &Route, document: &RouteDocument) -> QueryClass {
    let rivals =
        document.routes.iter().filter(|other| share_upstreams(&route.target, &other.target));
    let mut more_urgent: Vec<u32> =
        rivals.map(|other| other.priority).filter(|rank| *rank < route.priority).collect();
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
