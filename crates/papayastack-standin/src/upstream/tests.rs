//! Tests of the stand-in upstream through `UpstreamClient`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use papayastack::{
    AttemptId, CancelRequest, SearchReply, SearchRequest, Selection, SubmitReply, SubmitRequest,
    UpstreamClient, UpstreamError,
};
use tokio::net::TcpStream;

use super::*;
use crate::index::naive_search;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const NO_TIME: ServiceTime = ServiceTime { base_us: 0, spread_us: 0 };
const ONE_HOUR: ServiceTime = ServiceTime { base_us: 3_600_000_000, spread_us: 0 };

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn spec(behaviour: UpstreamBehaviour) -> UpstreamSpec {
    UpstreamSpec {
        id: "deadline-board-00".to_owned(),
        service: "deadline-board".to_owned(),
        seed: 7,
        slots: 2,
        connections: 40,
        connection_setup_delay: Duration::ZERO,
        shards_by_snapshot: BTreeMap::from([(3, BTreeSet::from([0, 1]))]),
        behaviour,
    }
}

fn behaviour(service_time: ServiceTime) -> UpstreamBehaviour {
    UpstreamBehaviour { service_time, ..UpstreamBehaviour::default() }
}

async fn bind(behaviour: UpstreamBehaviour) -> UpstreamStandin {
    UpstreamStandin::bind(any_port(), spec(behaviour)).await.unwrap()
}

fn search_request(attempt: AttemptId) -> SearchRequest {
    SearchRequest {
        service: "deadline-board".to_owned(),
        query: 11,
        attempt,
        shard: 1,
        snapshot: 3,
        selection: Selection::Terms(vec!["conahcyt".to_owned()]),
        hits_limit: 5,
        remaining_ms: 60_000,
    }
}

fn submit_request(key: &str) -> SubmitRequest {
    SubmitRequest {
        service: "deadline-board".to_owned(),
        key: key.to_owned(),
        body: serde_json::json!({ "text": "due soon" }),
        remaining_ms: 60_000,
    }
}

fn client() -> UpstreamClient {
    UpstreamClient::open(16)
}

async fn search(upstream: &UpstreamStandin, request: &SearchRequest) -> SearchReply {
    client().search(upstream.address(), request, TEST_TIMEOUT).await.unwrap()
}

fn spawn_search(
    upstream: &UpstreamStandin,
    attempt: AttemptId,
) -> tokio::task::JoinHandle<SearchReply> {
    let address = upstream.address();
    tokio::spawn(async move {
        client().search(address, &search_request(attempt), TEST_TIMEOUT).await.unwrap()
    })
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn wait_until_refused(address: SocketAddr) {
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn a_search_returns_the_hits_of_the_naive_search() {
    let upstream = bind(behaviour(NO_TIME)).await;
    let request = search_request(1);

    let reply = search(&upstream, &request).await;

    let partial = naive_search(7, "deadline-board", 3, 1, &request.selection, 5);
    assert_eq!(reply, SearchReply::Found { query: 11, attempt: 1, partial });
}

#[tokio::test]
async fn no_more_searches_run_at_once_than_there_are_slots() {
    let mut queueing = behaviour(ServiceTime { base_us: 2_000, spread_us: 0 });
    queueing.queue_max = 20;
    let upstream = bind(queueing).await;

    let searches: Vec<_> = (0..20).map(|attempt| spawn_search(&upstream, attempt)).collect();
    for search in searches {
        assert!(matches!(search.await.unwrap(), SearchReply::Found { .. }));
    }

    assert_eq!(upstream.counts().slots_busy_peak, 2);
    assert_eq!(upstream.counts().searches_executed, 20);
}

#[tokio::test]
async fn a_search_beyond_slots_and_queue_is_shed() {
    let mut without_queue = behaviour(ONE_HOUR);
    without_queue.queue_max = 0;
    without_queue.shed_retry_after_ms = 40;
    let upstream = bind(without_queue).await;
    let running = [spawn_search(&upstream, 1), spawn_search(&upstream, 2)];
    wait_until(|| upstream.counts().searches_executed == 2).await;

    let reply = search(&upstream, &search_request(3)).await;

    assert_eq!(reply, SearchReply::Shed { retry_after_ms: 40 });
    assert_eq!(upstream.counts().shed, 1);
    running.iter().for_each(tokio::task::JoinHandle::abort);
}

#[tokio::test]
async fn cancellation_frees_the_slot_and_answers_the_search() {
    let mut one_slot = spec(behaviour(ONE_HOUR));
    one_slot.slots = 1;
    let upstream = UpstreamStandin::bind(any_port(), one_slot).await.unwrap();
    let running = spawn_search(&upstream, 1);
    wait_until(|| upstream.counts().searches_executed == 1).await;

    let cancel = CancelRequest { query: 11, attempt: 1 };
    client().cancel(upstream.address(), &cancel, TEST_TIMEOUT).await.unwrap();

    assert_eq!(running.await.unwrap(), SearchReply::Cancelled);
    upstream.set_behaviour(behaviour(NO_TIME));
    let next = search(&upstream, &search_request(2)).await;
    assert!(matches!(next, SearchReply::Found { .. }));
}

#[tokio::test]
async fn a_search_stops_at_its_deadline() {
    let upstream = bind(behaviour(ONE_HOUR)).await;
    let mut request = search_request(1);
    request.remaining_ms = 20;

    let reply = search(&upstream, &request).await;

    assert_eq!(reply, SearchReply::Cancelled);
    assert_eq!(upstream.counts().expired, 1);
}

#[tokio::test]
async fn a_disconnect_frees_the_slot() {
    let mut one_slot = spec(behaviour(ONE_HOUR));
    one_slot.slots = 1;
    let upstream = UpstreamStandin::bind(any_port(), one_slot).await.unwrap();
    let running = spawn_search(&upstream, 1);
    wait_until(|| upstream.counts().searches_executed == 1).await;

    running.abort();
    upstream.set_behaviour(behaviour(NO_TIME));

    let next = search(&upstream, &search_request(2)).await;
    assert!(matches!(next, SearchReply::Found { .. }));
}

#[tokio::test]
async fn searches_of_absent_shards_and_snapshots_are_refused() {
    let upstream = bind(behaviour(NO_TIME)).await;
    let mut wrong_shard = search_request(1);
    wrong_shard.shard = 9;

    let shard_reply = search(&upstream, &wrong_shard).await;
    upstream.add_snapshot(4, BTreeSet::from([1]));
    upstream.retire(3);
    let snapshot_reply = search(&upstream, &search_request(2)).await;

    assert_eq!(shard_reply, SearchReply::WrongShard);
    assert_eq!(snapshot_reply, SearchReply::SnapshotRetired { newest: 4 });
    assert_eq!(upstream.counts().searches_executed, 0);
}

#[tokio::test]
async fn a_draining_upstream_refuses_new_work_and_finishes_running_work() {
    let upstream = bind(behaviour(ServiceTime { base_us: 50_000, spread_us: 0 })).await;
    let running = spawn_search(&upstream, 1);
    wait_until(|| upstream.counts().searches_executed == 1).await;

    upstream.change_behaviour(|behaviour| behaviour.draining = true);
    let search_reply = search(&upstream, &search_request(2)).await;
    let submit_reply =
        client().submit(upstream.address(), &submit_request("k"), TEST_TIMEOUT).await;

    assert_eq!(search_reply, SearchReply::Draining);
    assert_eq!(submit_reply, Ok(SubmitReply::Draining));
    assert!(matches!(running.await.unwrap(), SearchReply::Found { .. }));
}

#[tokio::test]
async fn a_dead_upstream_refuses_connections_until_it_is_revived() {
    let upstream = bind(behaviour(NO_TIME)).await;
    upstream.change_behaviour(|behaviour| behaviour.dead = true);
    wait_until_refused(upstream.address()).await;

    let refused = client().search(upstream.address(), &search_request(1), TEST_TIMEOUT).await;
    upstream.change_behaviour(|behaviour| behaviour.dead = false);
    wait_until(|| std::net::TcpStream::connect(upstream.address()).is_ok()).await;
    let revived = search(&upstream, &search_request(2)).await;

    assert!(refused.unwrap_err().proves_not_run());
    assert!(matches!(revived, SearchReply::Found { .. }));
}

#[tokio::test]
async fn a_dying_upstream_closes_the_connection_of_a_running_search() {
    let upstream = bind(behaviour(ONE_HOUR)).await;
    let address = upstream.address();
    let running =
        tokio::spawn(
            async move { client().search(address, &search_request(1), TEST_TIMEOUT).await },
        );
    wait_until(|| upstream.counts().searches_executed == 1).await;

    upstream.change_behaviour(|behaviour| behaviour.dead = true);

    let outcome = running.await.unwrap();
    assert!(matches!(outcome, Err(UpstreamError::AnswerLost { .. })), "{outcome:?}");
}

#[tokio::test]
async fn a_submission_with_a_lost_answer_has_run() {
    let mut without_answers = behaviour(NO_TIME);
    without_answers.lost_answer_permille = 1_000;
    let upstream = bind(without_answers).await;

    let outcome = client().submit(upstream.address(), &submit_request("key"), TEST_TIMEOUT).await;

    assert!(matches!(outcome, Err(UpstreamError::AnswerLost { .. })), "{outcome:?}");
    assert_eq!(upstream.executions(), BTreeMap::from([("key".to_owned(), 1)]));
}

#[tokio::test]
async fn every_execution_of_a_key_is_counted() {
    let upstream = bind(behaviour(NO_TIME)).await;

    let first = client().submit(upstream.address(), &submit_request("key"), TEST_TIMEOUT).await;
    let second = client().submit(upstream.address(), &submit_request("key"), TEST_TIMEOUT).await;

    assert_ne!(first, second);
    assert_eq!(upstream.executions(), BTreeMap::from([("key".to_owned(), 2)]));
}

#[tokio::test]
async fn a_submission_continues_when_its_sender_disconnects() {
    let upstream = bind(behaviour(ServiceTime { base_us: 20_000, spread_us: 0 })).await;
    let address = upstream.address();
    let sender = tokio::spawn(async move {
        client().submit(address, &submit_request("key"), TEST_TIMEOUT).await
    });
    wait_until(|| upstream.counts().submissions_executed == 1).await;

    sender.abort();

    wait_until(|| upstream.open_connections() == 0).await;
    assert_eq!(upstream.executions(), BTreeMap::from([("key".to_owned(), 1)]));
}

#[tokio::test]
async fn malformed_and_crossed_replies_are_recognisable() {
    let upstream = bind(behaviour(NO_TIME)).await;
    search(&upstream, &search_request(1)).await;

    upstream.change_behaviour(|behaviour| behaviour.crossed_permille = 1_000);
    let crossed = search(&upstream, &search_request(2)).await;
    upstream.change_behaviour(|behaviour| behaviour.malformed_permille = 1_000);
    let malformed = client().search(upstream.address(), &search_request(3), TEST_TIMEOUT).await;

    assert!(matches!(crossed, SearchReply::Found { attempt: 1, .. }), "{crossed:?}");
    assert!(matches!(malformed, Err(UpstreamError::Malformed { .. })), "{malformed:?}");
}

#[tokio::test]
async fn connections_beyond_the_limit_are_closed() {
    let mut one_connection = spec(behaviour(ONE_HOUR));
    one_connection.connections = 1;
    let upstream = UpstreamStandin::bind(any_port(), one_connection).await.unwrap();
    let running = spawn_search(&upstream, 1);
    wait_until(|| upstream.counts().searches_executed == 1).await;

    let second = client().search(upstream.address(), &search_request(2), TEST_TIMEOUT).await;

    assert!(matches!(second, Err(UpstreamError::AnswerLost { .. })), "{second:?}");
    assert_eq!(upstream.counts().connections_refused, 1);
    assert_eq!(upstream.counts().connections_peak, 1);
    running.abort();
}

#[tokio::test]
async fn one_client_reuses_its_connection() {
    let upstream = bind(behaviour(NO_TIME)).await;
    let client = client();

    for attempt in 0..10 {
        client.search(upstream.address(), &search_request(attempt), TEST_TIMEOUT).await.unwrap();
    }

    assert_eq!(upstream.counts().connections_accepted, 1);
}

#[test]
fn lagging_and_lying_load_reports_differ_from_the_actual_load() {
    let gate = crate::server::ConnectionGate::new(1, Duration::ZERO);
    let state = super::state::State::new(spec(behaviour(NO_TIME)), gate);
    let report = |load_report, draining| {
        let mut changed = behaviour(NO_TIME);
        changed.load_report = load_report;
        changed.draining = draining;
        state.set_behaviour(changed);
        state.load()
    };

    let lying = report(LoadReport::Lying { slots_busy: 9, queue: 4 }, false);
    let first = report(LoadReport::Lagging { refresh_ms: 3_600_000 }, false);
    let lagging = report(LoadReport::Lagging { refresh_ms: 3_600_000 }, true);
    let honest = report(LoadReport::Honest, true);

    assert_eq!((lying.slots_busy, lying.queue), (9, 4));
    assert_eq!(lagging, first);
    assert!(honest.draining && !lagging.draining);
}

#[test]
fn stragglers_and_cold_upstreams_take_longer_by_their_factor() {
    let gate = crate::server::ConnectionGate::new(1, Duration::ZERO);
    let mut slow = behaviour(ServiceTime { base_us: 1_000, spread_us: 0 });
    slow.straggler_permille = 1_000;
    slow.cold_ms = 3_600_000;
    let state = super::state::State::new(spec(slow.clone()), gate);

    let cold = state.sample_faults().service_time;
    slow.cold_ms = 0;
    state.set_behaviour(slow);
    let warm = state.sample_faults().service_time;

    assert_eq!(warm, Duration::from_millis(20));
    assert_eq!(cold, Duration::from_millis(200));
}
