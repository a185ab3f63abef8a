//! Tests of single scenarios, with a fixed order of the VMs' steps.

use std::time::Duration;

use super::simulation::{InjectedBug, InjectedFault, START_UNIX_MS, Simulation};
use crate::outcome::{Certainty, RefusalReason};
use crate::platform::Precondition;
use crate::submission::coordinator::{CoordinatorAction, CoordinatorCall, CoordinatorInput};
use crate::submission::key::SubmissionKey;
use crate::submission::layout::EraLayout;
use crate::submission::record::{LedgerEntry, LedgerObject, OBJECT_MAX_BYTES, RecordedOutcome};
use crate::submission::request::WaiterId;

const OWNER: usize = 0;
const SUCCESSOR: usize = 1;
const WAIT: Duration = Duration::from_secs(2);
const IN_PROGRESS: Answer = Answer::Refused(RefusalReason::InProgress, Certainty::OutcomeUnknown);
const UNKNOWN: Answer =
    Answer::Refused(RefusalReason::EarlierAttemptUnknown, Certainty::OutcomeUnknown);

/// The answer to a caller, without its receipt or explanation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Nothing,
    Done,
    Repeated,
    Refused(RefusalReason, Certainty),
}

fn simulation() -> Simulation {
    Simulation::new(1, 2, InjectedBug::None)
}

fn key() -> String {
    format!("{START_UNIX_MS}-a")
}

fn submit(simulation: &mut Simulation, vm: usize) -> WaiterId {
    simulation.submit(vm, &key(), 0, WAIT)
}

fn submit_and_run(simulation: &mut Simulation, vm: usize) -> Answer {
    let waiter_id = submit(simulation, vm);
    simulation.run(vm);
    answer(simulation, waiter_id)
}

fn answer(simulation: &Simulation, waiter_id: WaiterId) -> Answer {
    match &simulation.checker.requests[&waiter_id].answer {
        None => Answer::Nothing,
        Some(Ok(done)) if done.repeated => Answer::Repeated,
        Some(Ok(_)) => Answer::Done,
        Some(Err(refusal)) => Answer::Refused(refusal.reason(), refusal.certainty()),
    }
}

fn is_send(action: &CoordinatorAction) -> bool {
    matches!(action, CoordinatorAction::Send { .. })
}

fn is_ledger_write(action: &CoordinatorAction) -> bool {
    matches!(
        action,
        CoordinatorAction::Call(_, CoordinatorCall::Update(name, ..)) if name.kind == "ledger"
    )
}

fn is_floor_read(action: &CoordinatorAction) -> bool {
    matches!(
        action,
        CoordinatorAction::Call(_, CoordinatorCall::Read(name)) if name.kind == "ledger-floor"
    )
}

/// Submits a request to the VM [`OWNER`] and runs that VM up to the first action that is `wanted`,
/// which is returned unperformed.
fn owner_up_to(
    simulation: &mut Simulation,
    wanted: fn(&CoordinatorAction) -> bool,
) -> (WaiterId, CoordinatorAction) {
    let waiter_id = submit(simulation, OWNER);
    let held = simulation.run_until(OWNER, wanted).unwrap();
    (waiter_id, held)
}

fn assert_executions(simulation: &Simulation, executions: usize) {
    assert_eq!(simulation.checker.executions_of(&key()), executions);
    assert!(simulation.checker.violations().is_empty(), "{:?}", simulation.checker.violations());
}

#[test]
fn an_owner_paused_between_intent_and_sending_still_runs_once() {
    let mut simulation = simulation();
    let (first, send) = owner_up_to(&mut simulation, is_send);

    let meanwhile = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.pass_time(WAIT);
    let later = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.perform(OWNER, send, InjectedFault::NoFault);
    simulation.run(OWNER);
    let recorded = submit_and_run(&mut simulation, SUCCESSOR);

    assert_eq!((meanwhile, later, recorded), (IN_PROGRESS, UNKNOWN, Answer::Repeated));
    // The owner resumed after its caller's deadline, so either answer is correct.
    let late = Answer::Refused(RefusalReason::DeadlineExceeded, Certainty::OutcomeUnknown);
    assert!([Answer::Done, late].contains(&answer(&simulation, first)));
    assert_executions(&simulation, 1);
}

#[test]
fn an_owner_that_resumes_past_the_deadline_withdraws_its_intent() {
    let mut simulation = simulation();
    let (first, floor_read) = owner_up_to(&mut simulation, is_floor_read);

    let meanwhile = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.pass_time(WAIT);
    simulation.perform(OWNER, floor_read, InjectedFault::NoFault);
    simulation.run(OWNER);
    let withdrawn = submit_and_run(&mut simulation, SUCCESSOR);

    let not_run = Answer::Refused(RefusalReason::DeadlineExceeded, Certainty::NotRun);
    assert_eq!(answer(&simulation, first), not_run);
    assert_eq!((meanwhile, withdrawn), (IN_PROGRESS, Answer::Done));
    assert_executions(&simulation, 1);
}

#[test]
fn an_owner_paused_before_recording_is_never_repeated() {
    let mut simulation = simulation();
    let (_, send) = owner_up_to(&mut simulation, is_send);
    simulation.perform(OWNER, send, InjectedFault::NoFault);

    let meanwhile = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.pass_time(WAIT);
    let later = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.run(OWNER);
    let recorded = submit_and_run(&mut simulation, SUCCESSOR);

    assert_eq!((meanwhile, later, recorded), (IN_PROGRESS, UNKNOWN, Answer::Repeated));
    assert_executions(&simulation, 1);
}

#[test]
fn an_owner_killed_between_intent_and_recording_leaves_the_outcome_unknown() {
    for sent in [false, true] {
        let mut simulation = simulation();
        let (_, send) = owner_up_to(&mut simulation, is_send);
        if sent {
            simulation.perform(OWNER, send, InjectedFault::NoFault);
        }
        simulation.restart(OWNER);
        simulation.pass_time(WAIT);

        let at_successor = submit_and_run(&mut simulation, SUCCESSOR);
        let at_owner = submit_and_run(&mut simulation, OWNER);

        assert_eq!((at_successor, at_owner), (UNKNOWN, UNKNOWN));
        assert_executions(&simulation, usize::from(sent));
    }
}

#[test]
fn a_stale_update_of_a_former_owner_is_rejected() {
    let mut simulation = simulation();
    let (first, write) = owner_up_to(&mut simulation, is_ledger_write);

    let at_successor = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.perform(OWNER, write, InjectedFault::NoFault);
    simulation.run(OWNER);

    assert_eq!((at_successor, answer(&simulation, first)), (Answer::Done, Answer::Repeated));
    assert_executions(&simulation, 1);
}

#[test]
fn an_update_that_takes_effect_late_never_runs_a_key_again() {
    let mut simulation = simulation();
    let (first, write) = owner_up_to(&mut simulation, is_ledger_write);
    simulation.perform(OWNER, write, InjectedFault::Delayed);
    simulation.pass_time(WAIT);
    simulation.run(OWNER);

    let before = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.apply_delayed_effect();
    let after = submit_and_run(&mut simulation, SUCCESSOR);

    let not_run = Answer::Refused(RefusalReason::DeadlineExceeded, Certainty::NotRun);
    assert_eq!(
        (answer(&simulation, first), before, after),
        (not_run, Answer::Done, Answer::Repeated)
    );
    assert_executions(&simulation, 1);
}

#[test]
fn an_expired_request_is_in_progress_while_another_request_keeps_its_attempt_open() {
    let mut simulation = simulation();
    let (first, floor_read) = owner_up_to(&mut simulation, is_floor_read);
    let joined = simulation.submit(OWNER, &key(), 0, 2 * WAIT);
    let request = simulation.vms[OWNER].inbox.remove(0);
    simulation.handle_input(OWNER, request);
    simulation.pass_time(WAIT);
    simulation.tick(OWNER);
    simulation.perform(OWNER, floor_read, InjectedFault::NoFault);

    simulation.run(OWNER);

    assert_eq!(
        (answer(&simulation, first), answer(&simulation, joined)),
        (IN_PROGRESS, Answer::Repeated)
    );
    assert_executions(&simulation, 1);
}

#[test]
fn vms_with_different_bucket_settings_use_the_same_object() {
    let mut simulation = simulation();
    simulation.configure(OWNER, 7);
    simulation.configure(SUCCESSOR, 64);

    let first = submit_and_run(&mut simulation, OWNER);
    let second = submit_and_run(&mut simulation, SUCCESSOR);

    assert_eq!((first, second), (Answer::Done, Answer::Repeated));
    assert_executions(&simulation, 1);
}

#[test]
fn a_vm_whose_clocks_stood_still_does_not_reopen_a_pruned_key() {
    let mut simulation = simulation();
    let first = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.pause(OWNER);
    simulation.pass_time(Duration::from_secs(5 * 3_600));
    let newer = format!("{}-b", simulation.unix_ms());
    simulation.submit(SUCCESSOR, &newer, 0, WAIT);
    simulation.run(SUCCESSOR);
    for _ in 0..16 {
        simulation.prune(SUCCESSOR, InjectedFault::NoFault);
    }
    simulation.resume(OWNER, true);

    let again = submit_and_run(&mut simulation, OWNER);

    let closed = Answer::Refused(RefusalReason::NoLongerKnown, Certainty::OutcomeUnknown);
    assert!(simulation.deletions > 0);
    assert_eq!((first, again), (Answer::Done, closed));
    assert_executions(&simulation, 1);
}

#[test]
fn a_vm_whose_clock_runs_ahead_does_not_prune_retained_keys() {
    let mut simulation = simulation();
    let first = submit_and_run(&mut simulation, OWNER);
    simulation.vms[OWNER].clock_offset_ms = 365 * 24 * 3_600_000;
    for _ in 0..16 {
        simulation.prune(OWNER, InjectedFault::NoFault);
    }

    let again = submit_and_run(&mut simulation, SUCCESSOR);

    assert_eq!((first, again, simulation.deletions), (Answer::Done, Answer::Repeated, 0));
}

#[test]
fn a_full_object_refuses_further_keys_as_not_run() {
    let mut simulation = simulation();
    let layout = EraLayout { buckets: 1, slot_ms: 3_600_000 };
    let full = full_object();
    let bytes = serde_json::to_string(&full).unwrap().len();
    let name = layout.object_of(&SubmissionKey::parse(&key()).unwrap());
    let value = serde_json::to_value(full).unwrap();
    simulation.objects.update(&name, &Precondition::Absent, value).unwrap();

    let refused = submit_and_run(&mut simulation, OWNER);

    assert!(bytes <= OBJECT_MAX_BYTES, "{bytes}");
    assert_eq!(refused, Answer::Refused(RefusalReason::Overloaded, Certainty::NotRun));
    assert_executions(&simulation, 0);
}

fn full_object() -> LedgerObject {
    let mut object = LedgerObject::default();
    let entry = LedgerEntry {
        attempt: u64::MAX,
        body: "0".repeat(64),
        until_unix_ms: START_UNIX_MS,
        outcome: Some(RecordedOutcome::Done { receipt: "receipt".into() }),
    };
    for number in 0.. {
        let key = format!("{START_UNIX_MS}-{number}");
        if object.bytes_max() + entry.bytes_max(&key) > OBJECT_MAX_BYTES {
            break;
        }
        object.entries.insert(key, entry.clone());
    }
    object
}

// Guards against a submission that runs again because the store came back from a copy without its
// intent and its outcome.
#[test]
fn a_submission_does_not_run_again_after_the_store_lost_its_record() {
    let mut simulation = simulation();
    let copy = simulation.objects.clone();
    assert_eq!(submit_and_run(&mut simulation, OWNER), Answer::Done);
    simulation.run_to_completion();

    simulation.objects.restore(&copy);
    simulation.handle_input(OWNER, CoordinatorInput::StoreReset);
    simulation.handle_input(SUCCESSOR, CoordinatorInput::StoreReset);
    let before_recorded = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.run_to_completion();
    simulation.pass_time(Duration::from_secs(6));
    let after = submit_and_run(&mut simulation, SUCCESSOR);

    let refused = Answer::Refused(RefusalReason::StoreUnavailable, Certainty::NotRun);
    assert_eq!((before_recorded, after), (refused, Answer::Repeated));
}

// Guards against an intent that is lost while its submission runs, so that another VM runs it too.
#[test]
fn an_intent_that_the_store_lost_while_the_submission_runs_is_recorded_again() {
    let mut simulation = simulation();
    let copy = simulation.objects.clone();
    submit(&mut simulation, OWNER);
    let send = simulation.run_until(OWNER, is_send).expect("the submission is sent");

    simulation.objects.restore(&copy);
    simulation.handle_input(OWNER, CoordinatorInput::StoreReset);
    simulation.run(OWNER);
    simulation.pass_time(Duration::from_secs(6));
    let meanwhile = submit_and_run(&mut simulation, SUCCESSOR);
    simulation.perform(OWNER, send, InjectedFault::NoFault);
    simulation.run_to_completion();

    assert_eq!(meanwhile, UNKNOWN);
    assert_eq!(submit_and_run(&mut simulation, SUCCESSOR), Answer::Repeated);
}
