//! `papayad gateway` as a separate process: stopped, killed, started while the store is away.

mod support;

use std::time::Duration;

use support::{GatewayProcess, Upstream, start_store};

/// How long the upstream of these tests works on a request.
const WORK: Duration = Duration::from_millis(400);

#[tokio::test]
async fn a_stopped_process_answers_what_it_has_and_exits_with_0() {
    let upstream = Upstream::bind(WORK).await;
    let store = start_store(Some(&upstream)).await;
    let mut process = GatewayProcess::start(store.address()).await;
    process.until_served().await;

    let address = process.caller_address;
    let request = tokio::spawn(async move { support::get(address).await });
    upstream.until_working().await;
    process.terminate();

    assert_eq!(request.await.unwrap().as_deref(), Some("200 answer"));
    assert_eq!(process.exit_code().await, Some(0));
    let stopped = process.line_of("stopped").await;
    assert_eq!(stopped["requests_cut"], false);
}

#[tokio::test]
async fn a_killed_process_serves_again_after_its_start() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let store = start_store(Some(&upstream)).await;
    let mut process = GatewayProcess::start(store.address()).await;
    process.until_served().await;

    process.kill();
    assert_ne!(process.exit_code().await, Some(0));
    let process = GatewayProcess::start(store.address()).await;

    process.until_served().await;
}

#[tokio::test]
async fn a_process_that_starts_while_the_store_is_away_serves_once_it_is_back() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let store = start_store(Some(&upstream)).await;
    store.change_behaviour(|behaviour| behaviour.unreachable = true);
    let process = GatewayProcess::start(store.address()).await;

    let refused = support::get(process.caller_address).await.unwrap();
    assert!(refused.starts_with("503"), "{refused}");
    store.change_behaviour(|behaviour| behaviour.unreachable = false);

    process.until_served().await;
}

#[tokio::test]
async fn settings_that_cannot_be_used_are_named_and_end_the_process() {
    let text = r#"{ "vm": 7, "stop_grace": 6 }"#;

    let (code, errors) = support::run_with_settings("broken", text).await;

    assert_eq!(code, Some(1));
    for field in ["/vm", "/stop_grace", "/caller_address"] {
        assert!(errors.contains(field), "{errors}");
    }
}
