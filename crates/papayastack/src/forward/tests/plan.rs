//! Tests of a request's deadline, fan-out rules and choice of a split route's part.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::routes::{route, shard_target};
use crate::forward::plan::{answer_deadline, caller_started, gather_spec};
use crate::forward::state::ForwardDecisions;
use crate::forward::{RequestKind, Route, RouteTarget, SplitPart};
use crate::query::{GatherSpec, RetryPolicy};
use crate::settings::QueryClass;

fn spec(route: &Route, now: Instant) -> GatherSpec {
    let services = Arc::from(["board".to_owned()]);
    gather_spec(route, services, Arc::default(), now, now + route.timeout, false, QueryClass::Sweep)
}

#[test]
fn an_answer_is_due_before_the_caller_or_the_route_times_out() {
    let now = Instant::now();
    let route = route("one", "a.example", "/");

    let long_wait = answer_deadline(now, &route, Some(Duration::from_secs(9)));
    let short_wait = answer_deadline(now, &route, Some(Duration::from_millis(50)));

    assert!(long_wait < now + route.timeout);
    assert!(short_wait < now + Duration::from_millis(50));
    assert!(short_wait > now + Duration::from_millis(40));
}

#[test]
fn an_unsafe_request_is_not_hedged_and_only_repeated_if_it_did_not_run() {
    let now = Instant::now();
    let route = Route { kind: RequestKind::Unsafe, ..route("one", "a.example", "/") };

    let spec = spec(&route, now);

    assert!(!spec.class.hedge);
    assert_eq!(spec.rules.retry_policy, RetryPolicy::OnlyIfNotRun);
}

#[test]
fn a_partial_answer_is_allowed_only_shortly_before_the_goal() {
    let now = Instant::now();
    let target = RouteTarget::Shards(shard_target(10, 890_000));
    let route = Route { target, ..route("one", "a.example", "/") };

    let early_finish = spec(&route, now).rules.early_finish.unwrap();

    assert_eq!(early_finish.shards_min, 9);
    assert!(early_finish.at > now + route.goal / 2);
    assert!(early_finish.at < now + route.goal);
}

#[test]
fn the_goal_counts_from_when_the_caller_began_to_connect() {
    let now = Instant::now();
    let route = Route { goal: Duration::from_millis(60), ..route("one", "a.example", "/") };
    let remaining = |used_ms| Some(route.timeout - Duration::from_millis(used_ms));

    assert_eq!(caller_started(now, &route, remaining(14)), now - Duration::from_millis(14));
    assert_eq!(caller_started(now, &route, remaining(0)), now);
    // A caller that waits less, or sends again, says nothing about the time before this request.
    assert_eq!(caller_started(now, &route, remaining(45)), now);
    assert_eq!(caller_started(now, &route, Some(route.timeout * 2)), now);
    assert_eq!(caller_started(now, &route, None), now);
}

#[test]
fn a_split_route_follows_its_weights_at_every_request() {
    let mut decisions = ForwardDecisions::new(SmallRng::seed_from_u64(1));
    let parts = [("one", 250), ("two", 3_000), ("off", 0)];
    let parts = parts.map(|(service, weight)| SplitPart { service: service.to_owned(), weight });
    let route = Route { target: RouteTarget::Split(parts.to_vec()), ..route("r", "h", "/") };
    let mut taken = [0_u32; 3];

    for request in 1..=1_300_u32 {
        taken[decisions.choose_split_part(&route, &parts)] += 1;
        let expected = f64::from(request) * 250.0 / 3_250.0;
        assert!((f64::from(taken[0]) - expected).abs() <= 1.0, "{taken:?} of {request}");
    }

    assert_eq!(taken, [100, 1_200, 0]);
}
