//! Tests of deadlines and of what a route allows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::routes::{route, shard_target};
use crate::forward::plan::{answer_deadline, gather_spec};
use crate::forward::{RequestKind, Route, RouteTarget};
use crate::query::{GatherSpec, Repeat};

fn spec(route: &Route, now: Instant) -> GatherSpec {
    let services = Arc::from(["board".to_owned()]);
    gather_spec(route, services, Arc::default(), now, now + route.timeout, false)
}

#[test]
fn an_answer_is_made_before_the_caller_and_the_route_give_up() {
    let now = Instant::now();
    let route = route("one", "a.example", "/");

    let patient = answer_deadline(now, &route, Some(Duration::from_secs(9)));
    let hurried = answer_deadline(now, &route, Some(Duration::from_millis(50)));

    assert!(patient < now + route.timeout);
    assert!(hurried < now + Duration::from_millis(50));
    assert!(hurried > now + Duration::from_millis(40));
}

#[test]
fn an_unsafe_request_is_neither_hedged_nor_repeated_after_it_may_have_run() {
    let now = Instant::now();
    let route = Route { kind: RequestKind::Unsafe, ..route("one", "a.example", "/") };

    let spec = spec(&route, now);

    assert!(!spec.class.hedge);
    assert_eq!(spec.rules.repeat, Repeat::OnlyIfNotRun);
}

#[test]
fn enough_shards_are_enough_shortly_before_the_goal_only() {
    let now = Instant::now();
    let target = RouteTarget::Shards(shard_target(10, 890_000));
    let route = Route { target, ..route("one", "a.example", "/") };

    let enough = spec(&route, now).rules.enough.unwrap();

    assert_eq!(enough.shards_min, 9);
    assert!(enough.at > now + route.goal / 2);
    assert!(enough.at < now + route.goal);
}
