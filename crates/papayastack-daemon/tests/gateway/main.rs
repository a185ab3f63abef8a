//! Tests `papayad gateway` as a process: terminated, killed, started during a store outage.

mod limits;
mod lost_links;
mod readers;
mod soak;
mod stutter;
mod support;
mod through_owner;

use std::time::Duration;

use support::{GatewayProcess, Upstream, announce_leaving, start_store};

/// How long the upstream takes for a request in the test that terminates the process meanwhile.
const REQUEST_DURATION: Duration = Duration::from_millis(400);

/// How long the store must have been sound for a process to count as in touch with it.
const CONTACT: Duration = Duration::from_millis(4_000);
/// How long an upstream may get requests after its leaving was acknowledged.
const DRAIN: Duration = Duration::from_millis(3_000);
/// How long a VM that was lost may still be named to callers.
const NAMED_AFTER_LOSS_MAX: Duration = Duration::from_secs(7);

#[tokio::test]
async fn a_terminated_process_finishes_its_requests_and_exits_with_0() {
    let upstream = Upstream::bind(REQUEST_DURATION).await;
    let store = start_store(Some(&upstream)).await;
    let mut process = GatewayProcess::start(store.address()).await;
    process.wait_until_served().await;

    let address = process.caller_address;
    let request = tokio::spawn(async move { support::get(address).await });
    upstream.wait_until_working().await;
    process.terminate();

    assert_eq!(request.await.unwrap().as_deref(), Some("200 answer"));
    assert_eq!(process.exit_code().await, Some(0));
    let stopped = process.next_event("stopped").await;
    assert_eq!(stopped["requests_cut"], false);
}

#[tokio::test]
async fn a_killed_process_serves_again_after_a_restart() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let store = start_store(Some(&upstream)).await;
    let mut process = GatewayProcess::start(store.address()).await;
    process.wait_until_served().await;

    process.kill();
    assert_ne!(process.exit_code().await, Some(0));
    let process = GatewayProcess::start(store.address()).await;

    process.wait_until_served().await;
}

// Guards against addresses of a VM that is long off, which callers then try in vain: it ends without
// a word and is alone in its data centre.
#[tokio::test]
async fn a_killed_vm_that_was_alone_in_its_data_centre_is_no_longer_named() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let store = start_store(Some(&upstream)).await;
    let staying = GatewayProcess::start_in(store.address(), "a").await;
    let mut lost = GatewayProcess::start_in(store.address(), "b").await;
    staying.wait_until_names(lost.caller_address).await;

    lost.kill();
    lost.exit_code().await;

    let no_longer_named = async {
        while staying.names(lost.caller_address).await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let named = tokio::time::timeout(NAMED_AFTER_LOSS_MAX, no_longer_named).await;
    named.expect("the lost VM is no longer named");
    assert!(staying.names(staying.caller_address).await);
}

// Guards against requests to an upstream after its leaving was acknowledged, from a process whose
// watch waits in vain because the store was silent for a time.
#[tokio::test]
async fn an_upstream_that_leaves_after_a_silent_outage_gets_no_late_request() {
    let leaving = Upstream::bind(Duration::from_millis(2)).await;
    let store = start_store(Some(&leaving)).await;
    let process = GatewayProcess::start(store.address()).await;
    process.wait_until_served().await;
    let address = process.caller_address;
    let callers = [(); 4].map(|()| {
        tokio::spawn(async move {
            loop {
                support::get(address).await;
            }
        })
    });
    tokio::time::sleep(Duration::from_secs(2)).await;

    store.change_behaviour(|behaviour| behaviour.silent = true);
    tokio::time::sleep(Duration::from_secs(5)).await;
    store.change_behaviour(|behaviour| behaviour.silent = false);
    tokio::time::sleep(CONTACT).await;
    announce_leaving(&store, &leaving);
    tokio::time::sleep(DRAIN).await;
    let in_time = leaving.arrived();
    tokio::time::sleep(Duration::from_secs(2)).await;

    assert_eq!(leaving.arrived() - in_time, 0);
    callers.iter().for_each(|caller| caller.abort());
}

#[tokio::test]
async fn a_process_started_during_a_store_outage_serves_after_the_store_recovers() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let store = start_store(Some(&upstream)).await;
    store.change_behaviour(|behaviour| behaviour.unreachable = true);
    let process = GatewayProcess::start(store.address()).await;

    let refused = support::get(process.caller_address).await.unwrap();
    assert!(refused.starts_with("503"), "{refused}");
    store.change_behaviour(|behaviour| behaviour.unreachable = false);

    process.wait_until_served().await;
}

#[tokio::test]
async fn invalid_settings_are_reported_by_field_and_end_the_process() {
    let text = r#"{ "vm": 7, "stop_grace": 6 }"#;

    let (code, errors) = support::run_with_settings("broken", text).await;

    assert_eq!(code, Some(1));
    for field in ["/vm", "/stop_grace", "/caller_address"] {
        assert!(errors.contains(field), "{errors}");
    }
}
