//! Tests of single situations, with every step of the VMs chosen.

use std::time::Duration;

use super::world::{Ending, START_UNIX_MS, Sabotage, World};
use crate::outcome::{Certainty, RefusalReason};
use crate::platform::Precondition;
use crate::submission::coordinator::{CoordinatorAction, CoordinatorCall};
use crate::submission::key::SubmissionKey;
use crate::submission::layout::EraLayout;
use crate::submission::record::{LedgerEntry, LedgerObject, OBJECT_MAX_BYTES, RecordedOutcome};
use crate::submission::request::WaiterId;

const OWNER: usize = 0;
const SUCCESSOR: usize = 1;
const WAIT: Duration = Duration::from_secs(2);
const IN_PROGRESS: Told = Told::Refused(RefusalReason::InProgress, Certainty::OutcomeUnknown);
const UNKNOWN: Told =
    Told::Refused(RefusalReason::EarlierAttemptUnknown, Certainty::OutcomeUnknown);

/// What a caller was told, without receipt and explanation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Nothing,
    Done,
    Repeated,
    Refused(RefusalReason, Certainty),
}

fn world() -> World {
    World::new(1, 2, Sabotage::None)
}

fn key() -> String {
    format!("{START_UNIX_MS}-a")
}

fn submit(world: &mut World, vm: usize) -> WaiterId {
    world.submit(vm, &key(), 0, WAIT)
}

fn ask(world: &mut World, vm: usize) -> Told {
    let waiter_id = submit(world, vm);
    world.run(vm);
    told(world, waiter_id)
}

fn told(world: &World, waiter_id: WaiterId) -> Told {
    match &world.checker.requests[&waiter_id].told {
        None => Told::Nothing,
        Some(Ok(done)) if done.repeated => Told::Repeated,
        Some(Ok(_)) => Told::Done,
        Some(Err(refusal)) => Told::Refused(refusal.reason(), refusal.certainty()),
    }
}

fn is_send(action: &CoordinatorAction) -> bool {
    matches!(action, CoordinatorAction::Send { .. })
}

fn is_ledger_write(action: &CoordinatorAction) -> bool {
    matches!(action, CoordinatorAction::Call(_, CoordinatorCall::Update(name, ..)) if name.kind == "ledger")
}

fn is_floor_read(action: &CoordinatorAction) -> bool {
    matches!(action, CoordinatorAction::Call(_, CoordinatorCall::Read(name)) if name.kind == "ledger-floor")
}

/// Lets the owner take a submission up to the first action that is `wanted`, and holds that back.
fn owner_up_to(
    world: &mut World,
    wanted: fn(&CoordinatorAction) -> bool,
) -> (WaiterId, CoordinatorAction) {
    let waiter_id = submit(world, OWNER);
    let held = world.run_until(OWNER, wanted).unwrap();
    (waiter_id, held)
}

fn assert_executions(world: &World, executions: usize) {
    assert_eq!(world.checker.executions_of(&key()), executions);
    assert!(world.checker.violations().is_empty(), "{:?}", world.checker.violations());
}

#[test]
fn an_owner_paused_between_intent_and_sending_still_runs_once() {
    let mut world = world();
    let (first, send) = owner_up_to(&mut world, is_send);

    let meanwhile = ask(&mut world, SUCCESSOR);
    world.pass_time(WAIT);
    let later = ask(&mut world, SUCCESSOR);
    world.perform(OWNER, send, Ending::Works);
    world.run(OWNER);
    let recorded = ask(&mut world, SUCCESSOR);

    assert_eq!((meanwhile, later, recorded), (IN_PROGRESS, UNKNOWN, Told::Repeated));
    // The owner woke after the deadline of its caller.
    let late = Told::Refused(RefusalReason::DeadlineExceeded, Certainty::OutcomeUnknown);
    assert!([Told::Done, late].contains(&told(&world, first)));
    assert_executions(&world, 1);
}

#[test]
fn an_owner_waking_past_the_deadline_withdraws_its_intent() {
    let mut world = world();
    let (first, floor_read) = owner_up_to(&mut world, is_floor_read);

    let meanwhile = ask(&mut world, SUCCESSOR);
    world.pass_time(WAIT);
    world.perform(OWNER, floor_read, Ending::Works);
    world.run(OWNER);
    let withdrawn = ask(&mut world, SUCCESSOR);

    let not_run = Told::Refused(RefusalReason::DeadlineExceeded, Certainty::NotRun);
    assert_eq!(told(&world, first), not_run);
    assert_eq!((meanwhile, withdrawn), (IN_PROGRESS, Told::Done));
    assert_executions(&world, 1);
}

#[test]
fn an_owner_paused_before_recording_is_never_repeated() {
    let mut world = world();
    let (_, send) = owner_up_to(&mut world, is_send);
    world.perform(OWNER, send, Ending::Works);

    let meanwhile = ask(&mut world, SUCCESSOR);
    world.pass_time(WAIT);
    let later = ask(&mut world, SUCCESSOR);
    world.run(OWNER);
    let recorded = ask(&mut world, SUCCESSOR);

    assert_eq!((meanwhile, later, recorded), (IN_PROGRESS, UNKNOWN, Told::Repeated));
    assert_executions(&world, 1);
}

#[test]
fn an_owner_killed_between_intent_and_recording_leaves_the_outcome_unknown() {
    for sent in [false, true] {
        let mut world = world();
        let (_, send) = owner_up_to(&mut world, is_send);
        if sent {
            world.perform(OWNER, send, Ending::Works);
        }
        world.restart(OWNER);
        world.pass_time(WAIT);

        let at_successor = ask(&mut world, SUCCESSOR);
        let at_owner = ask(&mut world, OWNER);

        assert_eq!((at_successor, at_owner), (UNKNOWN, UNKNOWN));
        assert_executions(&world, usize::from(sent));
    }
}

#[test]
fn a_former_owner_that_wakes_before_its_update_is_fenced() {
    let mut world = world();
    let (first, write) = owner_up_to(&mut world, is_ledger_write);

    let at_successor = ask(&mut world, SUCCESSOR);
    world.perform(OWNER, write, Ending::Works);
    world.run(OWNER);

    assert_eq!((at_successor, told(&world, first)), (Told::Done, Told::Repeated));
    assert_executions(&world, 1);
}

#[test]
fn an_update_that_takes_effect_late_never_runs_a_key_again() {
    let mut world = world();
    let (first, write) = owner_up_to(&mut world, is_ledger_write);
    world.perform(OWNER, write, Ending::LostLate);
    world.pass_time(WAIT);
    world.run(OWNER);

    let before = ask(&mut world, SUCCESSOR);
    world.happen_late();
    let after = ask(&mut world, SUCCESSOR);

    let not_run = Told::Refused(RefusalReason::DeadlineExceeded, Certainty::NotRun);
    assert_eq!((told(&world, first), before, after), (not_run, Told::Done, Told::Repeated));
    assert_executions(&world, 1);
}

#[test]
fn a_caller_whose_attempt_goes_on_for_another_request_is_not_told_not_run() {
    let mut world = world();
    let (first, floor_read) = owner_up_to(&mut world, is_floor_read);
    let joined = world.submit(OWNER, &key(), 0, 2 * WAIT);
    let request = world.vms[OWNER].inbox.remove(0);
    world.take(OWNER, request);
    world.pass_time(WAIT);
    world.tick(OWNER);
    world.perform(OWNER, floor_read, Ending::Works);

    world.run(OWNER);

    assert_eq!((told(&world, first), told(&world, joined)), (IN_PROGRESS, Told::Repeated));
    assert_executions(&world, 1);
}

#[test]
fn vms_with_other_bucket_counts_use_the_same_object() {
    let mut world = world();
    world.configure(OWNER, 7);
    world.configure(SUCCESSOR, 64);

    let first = ask(&mut world, OWNER);
    let second = ask(&mut world, SUCCESSOR);

    assert_eq!((first, second), (Told::Done, Told::Repeated));
    assert_executions(&world, 1);
}

#[test]
fn a_vm_whose_clocks_stood_still_does_not_reopen_a_pruned_key() {
    let mut world = world();
    let first = ask(&mut world, SUCCESSOR);
    world.pause(OWNER);
    world.pass_time(Duration::from_secs(5 * 3_600));
    let newer = format!("{}-b", world.unix_ms());
    world.submit(SUCCESSOR, &newer, 0, WAIT);
    world.run(SUCCESSOR);
    for _ in 0..16 {
        world.prune(SUCCESSOR, Ending::Works);
    }
    world.wake(OWNER, true);

    let again = ask(&mut world, OWNER);

    let closed = Told::Refused(RefusalReason::NoLongerKnown, Certainty::OutcomeUnknown);
    assert!(world.deletions > 0);
    assert_eq!((first, again), (Told::Done, closed));
    assert_executions(&world, 1);
}

#[test]
fn a_clock_that_runs_ahead_does_not_prune_what_is_kept() {
    let mut world = world();
    let first = ask(&mut world, OWNER);
    world.vms[OWNER].clock_offset_ms = 365 * 24 * 3_600_000;
    for _ in 0..16 {
        world.prune(OWNER, Ending::Works);
    }

    let again = ask(&mut world, SUCCESSOR);

    assert_eq!((first, again, world.deletions), (Told::Done, Told::Repeated, 0));
}

#[test]
fn a_full_object_refuses_further_keys_as_not_run() {
    let mut world = world();
    let layout = EraLayout { buckets: 1, slot_ms: 3_600_000 };
    let full = full_object();
    let bytes = serde_json::to_string(&full).unwrap().len();
    let name = layout.object_of(&SubmissionKey::parse(&key()).unwrap());
    let value = serde_json::to_value(full).unwrap();
    world.objects.update(&name, &Precondition::Absent, value).unwrap();

    let refused = ask(&mut world, OWNER);

    assert!(bytes <= OBJECT_MAX_BYTES, "{bytes}");
    assert_eq!(refused, Told::Refused(RefusalReason::Overloaded, Certainty::NotRun));
    assert_executions(&world, 0);
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
