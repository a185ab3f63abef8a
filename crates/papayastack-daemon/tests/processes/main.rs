//! Separate processes that are killed, frozen, cut off from the platform and told to leave.

mod load;
mod process;
mod submission;
mod system;

use load::{Load, ask_at};
use submission::{says_not_run, submission, submit_at};
use system::{System, is_configured, wait_until};

/// Callers that query side by side.
const CALLERS: usize = 4;
/// The service time of upstreams that keep requests in flight, in microseconds.
const SLOW_US: u64 = 1_000_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_process_costs_callers_no_query() {
    let mut system = System::start().await;
    let load = Load::spawn(&system, CALLERS).await;
    load.progress().await;

    let killed = system.processes.remove(0);
    killed.signal("KILL");
    load.progress().await;
    system.see_each_other().await;
    load.progress().await;

    // A caller that neither retries nor goes elsewhere does lose its query.
    assert!(ask_at(killed.listening.caller_address).await.is_err());
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_process_delays_no_one_and_is_a_member_again_once_it_wakes() {
    let mut system = System::start().await;
    let frozen = system.processes.remove(0);
    let others = system.processes.iter().map(|process| process.listening.caller_address);
    let load = Load::spawn_at(others.collect());
    load.progress().await;

    frozen.signal("STOP");
    load.progress().await;
    system.see_each_other().await;
    load.progress().await;
    frozen.signal("CONT");
    system.processes.push(frozen);
    system.see_each_other().await;

    load.progress().await;
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_started_while_the_platform_is_down_learns_all_from_its_peers() {
    let mut system = System::start().await;
    let load = Load::spawn(&system, CALLERS).await;
    load.progress().await;

    system.platform.change_behaviour(|behaviour| behaviour.unreachable = true);
    load.progress().await;
    let ended = system.processes.remove(0);
    ended.signal("KILL");
    system.see_each_other().await;
    system.start_again(ended);
    system.start_new();
    system.see_each_other().await;

    for started in &system.processes[3..] {
        wait_until("the process is configured", async || is_configured(started).await).await;
        let address = started.listening.caller_address;
        wait_until("the process answers", async || ask_at(address).await.is_ok()).await;
    }
    load.progress().await;
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_told_to_leave_cuts_nothing_and_exits_with_success() {
    let mut system = System::start().await;
    let load = Load::spawn(&system, CALLERS).await;
    load.progress().await;
    let mut leaving = system.processes.remove(0);
    system.slow_upstreams(SLOW_US);
    let in_flight = Load::spawn_at(vec![leaving.listening.caller_address; CALLERS]);
    wait_until("queries of the direct callers run", async || {
        let status = leaving.status().await.unwrap_or_default();
        status["counts"]["queries"].as_u64() >= Some(CALLERS as u64)
    })
    .await;

    // Each direct caller ends with the query that is in flight.
    in_flight.stop();
    leaving.signal("TERM");
    in_flight.finish().await;
    system.slow_upstreams(0);
    wait_until("the process has ended", async || leaving.has_ended()).await;

    assert_eq!(leaving.exit_code(), Some(0));
    system.see_each_other().await;
    load.progress().await;
    load.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_submission_runs_once_though_its_owner_is_killed_while_it_runs() {
    let mut system = System::start().await;
    system.slow_upstreams(SLOW_US);
    let request = submission();
    let key = request.key.clone().unwrap();
    let owner = system.bucket_owner().await;
    let owner = system.processes.remove(owner);
    let first = system.processes[0].listening.caller_address;
    let second = system.processes[1].listening.caller_address;

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
        let result = result.expect("the processes that are left answer");
        assert!(!says_not_run(&result), "it did run: {result:?}");
    }
}
