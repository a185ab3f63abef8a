//! Tests of the dispatch queue.

use std::time::{Duration, Instant};

use super::*;
use crate::settings::QueryClass;

fn sub_request_id(attempt: u64) -> SubRequestId {
    SubRequestId { source: 0, query: 1, attempt }
}

fn sub_request(attempt: u64, class: QueryClass, deadline: Instant) -> SubRequest {
    SubRequest { id: sub_request_id(attempt), class, deadline }
}

fn queue(slots: u32, queue_max: u32) -> DispatchQueue {
    DispatchQueue::new(DispatchLimits { slots, queue_max })
}

#[test]
fn slots_are_never_exceeded_and_the_queue_is_bounded() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut queue = queue(2, 1);

    let results: Vec<OfferResult> =
        (0..4).map(|id| queue.offer(sub_request(id, QueryClass::Sweep, later), now)).collect();

    use OfferResult::{QueueFull, Queued, Start};
    assert_eq!(results, [Start, Start, Queued, QueueFull]);
    assert_eq!(queue.start_next(now), None);
    assert!(queue.finish(&sub_request_id(0), now));
    assert_eq!(queue.start_next(now), Some(sub_request_id(2)));
    assert_eq!(queue.running_len(), 2);
}

#[test]
fn the_earliest_deadline_of_the_most_urgent_class_goes_first() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut queue = queue(1, 10);
    queue.offer(sub_request(0, QueryClass::Sweep, at(1000)), now);
    queue.offer(sub_request(1, QueryClass::Archive, at(100)), now);
    queue.offer(sub_request(2, QueryClass::Sweep, at(900)), now);
    queue.offer(sub_request(3, QueryClass::Sweep, at(800)), now);
    queue.offer(sub_request(4, QueryClass::Lookup, at(950)), now);

    let mut order = Vec::new();
    let mut running = sub_request_id(0);
    while queue.finish(&running, now) {
        let Some(next) = queue.start_next(now) else { break };
        order.push(next.attempt);
        running = next;
    }

    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn archive_is_not_starved_by_a_steady_stream_of_lookups() {
    let now = Instant::now();
    let later = now + Duration::from_secs(10);
    let mut queue = queue(1, 1000);
    queue.offer(sub_request(0, QueryClass::Lookup, later), now);
    queue.offer(sub_request(1, QueryClass::Archive, later), now);
    let mut running = sub_request_id(0);
    let mut starts = 0;

    for id in 2..1000 {
        queue.offer(sub_request(id, QueryClass::Lookup, later), now);
        queue.finish(&running, now);
        running = queue.start_next(now).unwrap();
        starts += 1;
        if running == sub_request_id(1) {
            break;
        }
    }

    assert!(starts <= 8, "archive started after {starts} others");
}

#[test]
fn a_sub_request_that_would_miss_its_deadline_is_refused() {
    let now = Instant::now();
    let mut queue = queue(1, 100);
    queue.offer(sub_request(0, QueryClass::Sweep, now + Duration::from_secs(1)), now);
    let after = now + Duration::from_millis(50);
    queue.finish(&sub_request_id(0), after);
    queue.offer(sub_request(1, QueryClass::Sweep, after + Duration::from_secs(1)), after);

    let short =
        queue.offer(sub_request(2, QueryClass::Sweep, after + Duration::from_millis(30)), after);
    let long =
        queue.offer(sub_request(3, QueryClass::Sweep, after + Duration::from_millis(80)), after);

    assert_eq!(short, OfferResult::WouldMissDeadline);
    assert_eq!(long, OfferResult::Queued);
}

#[test]
fn cancelling_dequeues_a_waiting_sub_request_but_keeps_a_running_slot() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut queue = queue(1, 10);
    queue.offer(sub_request(0, QueryClass::Sweep, later), now);
    queue.offer(sub_request(1, QueryClass::Sweep, later), now);

    assert_eq!(queue.cancel(&sub_request_id(0)), CancelResult::Running);
    assert_eq!(queue.cancel(&sub_request_id(1)), CancelResult::Dequeued);
    assert_eq!(queue.cancel(&sub_request_id(1)), CancelResult::Unknown);
    assert_eq!((queue.running_len(), queue.waiting_len()), (1, 0));
}

#[test]
fn closing_returns_the_waiting_and_lets_the_running_finish() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut queue = queue(1, 10);
    queue.offer(sub_request(0, QueryClass::Sweep, later), now);
    queue.offer(sub_request(1, QueryClass::Sweep, later), now);

    assert_eq!(queue.close(), [sub_request_id(1)]);
    assert_eq!(queue.offer(sub_request(2, QueryClass::Sweep, later), now), OfferResult::Closed);
    assert!(queue.finish(&sub_request_id(0), now));
    assert_eq!(queue.start_next(now), None);
}

#[test]
fn waiting_sub_requests_expire_at_their_deadline() {
    let now = Instant::now();
    let mut queue = queue(1, 10);
    queue.offer(sub_request(0, QueryClass::Sweep, now + Duration::from_secs(1)), now);
    queue.offer(sub_request(1, QueryClass::Sweep, now + Duration::from_millis(10)), now);

    assert!(queue.expire(now).is_empty());
    assert_eq!(queue.expire(now + Duration::from_millis(10)), [sub_request_id(1)]);
    assert_eq!(queue.waiting_len(), 0);
}
