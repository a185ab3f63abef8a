//! Tests `papayad` processes that are killed, suspended, cut off from the platform and terminated.

mod load;
mod process;
mod submission;
mod system;

use load::{Load, query_at};
use submission::{claims_not_run, submission, submit_at};
use system::{System, is_configured, wait_until};

/// The number of concurrent callers.
const CALLERS: usize = 4;
/// The service time that keeps requests in flight at the upstreams, in microseconds.
const SLOW_SERVICE_TIME_US: u64 = 1_000_000;

#[tokio::test(flavor = "multi_thread")]
async fn callers_lose_no_query_when_a_process_is_killed() {
    let mut system = System::start().await;
    let load = Load::spawn(&system, CALLERS).await;
    load.wait_for_progress().await;

    let killed = system.processes.remove(0);
    killed.signal("KILL");
    load.wait_for_progress().await;
    system.wait_for_membership().await;
    load.wait_for_progress().await;

    // A caller without retries and fail-over does lose its query to the killed process.
    assert!(query_at(killed.addresses.caller_address).await.is_err());
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_process_delays_no_caller_and_rejoins_when_resumed() {
    let mut system = System::start().await;
    let suspended = system.processes.remove(0);
    let others = system.processes.iter().map(|process| process.addresses.caller_address);
    let load = Load::spawn_at(others.collect());
    load.wait_for_progress().await;

    suspended.signal("STOP");
    load.wait_for_progress().await;
    system.wait_for_membership().await;
    load.wait_for_progress().await;
    suspended.signal("CONT");
    system.processes.push(suspended);
    system.wait_for_membership().await;

    load.wait_for_progress().await;
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_started_while_the_platform_is_down_is_configured_by_its_peers() {
    let mut system = System::start().await;
    let load = Load::spawn(&system, CALLERS).await;
    load.wait_for_progress().await;

    system.platform.change_behaviour(|behaviour| behaviour.unreachable = true);
    load.wait_for_progress().await;
    let ended = system.processes.remove(0);
    ended.signal("KILL");
    system.wait_for_membership().await;
    system.restart(ended);
    system.start_with_peer();
    system.wait_for_membership().await;

    for started in &system.processes[3..] {
        wait_until("the process is configured", async || is_configured(started).await).await;
        let address = started.addresses.caller_address;
        wait_until("the process answers", async || query_at(address).await.is_ok()).await;
    }
    load.wait_for_progress().await;
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_process_finishes_its_queries_and_exits_with_success() {
    let mut system = System::start().await;
    let load = Load::spawn(&system, CALLERS).await;
    load.wait_for_progress().await;
    let mut leaving = system.processes.remove(0);
    system.slow_upstreams(SLOW_SERVICE_TIME_US);
    let in_flight = Load::spawn_at(vec![leaving.addresses.caller_address; CALLERS]);
    wait_until("the queries of the direct callers run", async || {
        let status = leaving.status().await.unwrap_or_default();
        status["counts"]["queries"].as_u64() >= Some(CALLERS as u64)
    })
    .await;

    // Each direct caller ends after the query that is in flight.
    in_flight.stop();
    leaving.signal("TERM");
    in_flight.finish().await;
    system.slow_upstreams(0);
    wait_until("the process has ended", async || leaving.has_ended()).await;

    assert_eq!(leaving.exit_code(), Some(0));
    system.wait_for_membership().await;
    load.wait_for_progress().await;
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_submission_runs_once_even_if_its_owner_is_killed_meanwhile() {
    let mut system = System::start().await;
    system.slow_upstreams(SLOW_SERVICE_TIME_US);
    let request = submission();
    let key = request.key.clone().unwrap();
    let owner = system.bucket_owner().await;
    let owner = system.processes.remove(owner);
    let first = system.processes[0].addresses.caller_address;
    let second = system.processes[1].addresses.caller_address;

    let both = async { tokio::join!(submit_at(first, &request), submit_at(second, &request)) };
    let kill = async {
        wait_until("the submission runs", async || system.executions(&key) > 0).await;
        owner.signal("KILL");
    };
    let ((one, other), ()) = tokio::join!(both, kill);
    let third = submit_at(first, &request).await;
    let fourth = submit_at(second, &request).await;

    assert_eq!(system.executions(&key), 1);
    for result in [one, other, third, fourth] {
        let result = result.expect("the remaining processes answer");
        assert!(!claims_not_run(&result), "claims that the submission did not run: {result:?}");
    }
}
