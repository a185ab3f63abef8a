//! Tests of the retries of a store that failed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::forward::store_health::StoreHealth;

fn now() -> std::time::Instant {
    tokio::time::Instant::now().into_std()
}

/// Starts a feed whose calls all fail; returns its counter of calls.
fn failing_feed(gate: &Arc<StoreHealth>) -> Arc<AtomicU32> {
    let calls = Arc::new(AtomicU32::new(0));
    let (gate, counted) = (Arc::clone(gate), Arc::clone(&calls));
    tokio::spawn(async move {
        loop {
            counted.fetch_add(1, Ordering::Relaxed);
            gate.wait(Duration::from_millis(500), now()).await;
        }
    });
    calls
}

#[tokio::test(start_paused = true)]
async fn only_one_feed_retries_a_store_that_failed() {
    let gate = Arc::new(StoreHealth::new());
    let feeds = [failing_feed(&gate), failing_feed(&gate), failing_feed(&gate)];

    tokio::time::sleep(Duration::from_millis(9_900)).await;

    let mut calls: Vec<u32> = feeds.iter().map(|calls| calls.load(Ordering::Relaxed)).collect();
    calls.sort_unstable();
    assert!(calls.iter().sum::<u32>() <= 30, "{calls:?}");
    assert!(calls[2] >= 8, "{calls:?}");
}

#[tokio::test(start_paused = true)]
async fn the_other_feeds_continue_once_a_call_is_answered() {
    let gate = Arc::new(StoreHealth::new());
    let retrying = failing_feed(&gate);
    tokio::task::yield_now().await;
    let started = tokio::time::Instant::now();
    let waiting = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.wait(Duration::from_secs(60), now()).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;

    gate.call_answered(now());

    waiting.await.unwrap();
    assert_eq!(started.elapsed(), Duration::from_millis(100));
    assert_eq!(retrying.load(Ordering::Relaxed), 1);
}

// Guards against a feed that waits for an answer which came between its failed call and its wait.
#[tokio::test(start_paused = true)]
async fn an_answer_between_the_failure_and_the_wait_is_not_missed() {
    let gate = Arc::new(StoreHealth::new());
    let _retrying = failing_feed(&gate);
    tokio::task::yield_now().await;
    let failed_at = now();
    tokio::time::sleep(Duration::from_millis(10)).await;
    gate.call_answered(now());
    let started = tokio::time::Instant::now();

    gate.wait(Duration::from_secs(60), failed_at).await;

    assert_eq!(started.elapsed(), Duration::ZERO);
}
