//! Random interleavings of callers, VMs, faults and pruning, against the checker.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::checker::Violation;
use super::world::{ENDINGS, Ending, Sabotage, World};
use crate::outcome::{Certainty, RefusalReason};

const STEPS: usize = 600;
const REQUESTS_MAX: usize = 24;
const HOUR_MS: i64 = 3_600_000;

/// Runs one interleaving to its end.
fn run(seed: u64, sabotage: Sabotage) -> World {
    let mut world = World::new(seed, 3, sabotage);
    world.fault_share = *[0.01, 0.05, 0.2].choose(&mut world.random).unwrap();
    set_clocks(&mut world);
    let mut keys = vec![new_key(&world, 0)];
    for _ in 0..STEPS {
        step(&mut world, &mut keys);
        if seed % 2 == 1 {
            step_towards_pruning(&mut world);
        }
    }
    world.settle();
    while world.random.random_bool(0.5) {
        world.happen_late();
    }
    let unanswered = world.checker.requests.values().filter(|request| {
        request.told.is_none() && world.vms.iter().any(|vm| vm.runs(request.process))
    });
    assert_eq!(unanswered.count(), 0, "seed {seed} leaves a request unanswered");
    world
}

fn set_clocks(world: &mut World) {
    for vm in 0..world.vms.len() {
        let within_skew = world.random.random_range(-4_000..=4_000);
        let astray = world.random.random_range(-3 * HOUR_MS..=3 * HOUR_MS);
        let offset = if world.random.random_bool(0.05) { astray } else { within_skew };
        world.vms[vm].clock_offset_ms = offset;
    }
}

fn step(world: &mut World, keys: &mut Vec<String>) {
    let vm = world.random.random_range(0..world.vms.len());
    match world.random.random_range(0..100) {
        0..34 => perform_one(world, vm),
        34..68 => take_one(world, vm),
        68..78 if !world.vms[vm].is_paused() => world.tick(vm),
        78..82 => submit(world, vm, keys),
        82..92 => {
            let time = world.random.random_range(1..40);
            world.pass_time(Duration::from_millis(time));
        }
        92 if world.random.random_bool(0.2) => {
            let time = world.random.random_range(500..4_000);
            world.pass_time(Duration::from_millis(time));
        }
        93 => world.pause(vm),
        94..97 => {
            let clocks_stood_still = world.random.random_bool(0.5);
            world.wake(vm, clocks_stood_still);
        }
        97 if world.random.random_bool(0.2) => world.restart(vm),
        97 => world.outage = world.random.random_bool(0.1),
        98 => world.happen_late(),
        99 => {
            let buckets = world.random.random_range(1..4);
            world.configure(vm, buckets);
        }
        _ => {}
    }
}

/// Makes hours pass and pruning passes go on more often than other steps do.
fn step_towards_pruning(world: &mut World) {
    if world.random.random_bool(0.008) {
        for vm in 0..world.vms.len() {
            if world.random.random_bool(0.3) {
                world.pause(vm);
            }
        }
        let hours = world.random.random_range(1..4);
        world.pass_time(Duration::from_secs(hours * 3_600));
    }
    if world.random.random_bool(0.05) {
        let vm = world.random.random_range(0..world.vms.len());
        for _ in 0..world.random.random_range(1..16) {
            world.prune(vm, Ending::Works);
        }
    }
}

fn perform_one(world: &mut World, vm: usize) {
    if world.vms[vm].is_paused() || world.vms[vm].actions.is_empty() {
        return;
    }
    let index = world.random.random_range(0..world.vms[vm].actions.len());
    let action = world.vms[vm].actions.remove(index);
    let ending = ending(world);
    world.perform(vm, action, ending);
}

fn take_one(world: &mut World, vm: usize) {
    if world.vms[vm].is_paused() || world.vms[vm].inbox.is_empty() {
        return;
    }
    let index = world.random.random_range(0..world.vms[vm].inbox.len());
    let input = world.vms[vm].inbox.remove(index);
    world.take(vm, input);
}

fn submit(world: &mut World, vm: usize, keys: &mut Vec<String>) {
    if world.checker.requests.len() >= REQUESTS_MAX {
        return;
    }
    if world.random.random_bool(0.2) {
        keys.push(new_key(world, keys.len()));
    }
    let newest = keys.last().filter(|_| world.random.random_bool(0.5)).cloned();
    let key = newest.unwrap_or_else(|| keys.choose(&mut world.random).unwrap().clone());
    let body = u64::from(world.random.random_bool(0.1));
    let wait = world.random.random_range(100..4_000);
    world.submit(vm, &key, body, Duration::from_millis(wait));
}

fn new_key(world: &World, number: usize) -> String {
    format!("{}-{number}", world.unix_ms())
}

fn ending(world: &mut World) -> Ending {
    if !world.random.random_bool(world.fault_share) {
        return Ending::Works;
    }
    *ENDINGS.choose(&mut world.random).unwrap()
}

/// Returns what the interleavings of `seeds` broke, by seed.
fn broken(seeds: Range<u64>, sabotage: Sabotage) -> BTreeMap<u64, BTreeSet<Violation>> {
    let runs = seeds.map(|seed| (seed, run(seed, sabotage).checker.violations()));
    runs.filter(|(_, violations)| !violations.is_empty()).collect()
}

fn violations_of(sabotage: Sabotage) -> BTreeSet<Violation> {
    broken(0..2_000, sabotage).into_values().flatten().collect()
}

/// What interleavings reach.
#[derive(Debug, Default, PartialEq, Eq)]
struct Reach {
    executions: usize,
    deletions: u64,
    done: usize,
    repeated: usize,
    refused: BTreeMap<(RefusalReason, Certainty), usize>,
}

impl Reach {
    fn add(&mut self, world: &World) {
        self.executions += world.checker.executions();
        self.deletions += world.deletions;
        for told in world.checker.requests.values().filter_map(|request| request.told.as_ref()) {
            match told {
                Ok(done) if done.repeated => self.repeated += 1,
                Ok(_) => self.done += 1,
                Err(refusal) => {
                    let kind = (refusal.reason(), refusal.certainty());
                    *self.refused.entry(kind).or_default() += 1;
                }
            }
        }
    }
}

#[test]
fn the_interleavings_reach_every_kind_of_answer() {
    let mut reach = Reach::default();

    (0..1_000).for_each(|seed| reach.add(&run(seed, Sabotage::None)));

    let reached: BTreeSet<_> = reach.refused.keys().copied().collect();
    let expected = BTreeSet::from([
        (RefusalReason::BadRequest, Certainty::NotRun),
        (RefusalReason::Conflict, Certainty::NotRun),
        (RefusalReason::DeadlineExceeded, Certainty::NotRun),
        (RefusalReason::DeadlineExceeded, Certainty::OutcomeUnknown),
        (RefusalReason::EarlierAttemptUnknown, Certainty::OutcomeUnknown),
        (RefusalReason::InProgress, Certainty::OutcomeUnknown),
        (RefusalReason::NoLongerKnown, Certainty::OutcomeUnknown),
        (RefusalReason::Overloaded, Certainty::NotRun),
        (RefusalReason::StoreUnavailable, Certainty::NotRun),
        (RefusalReason::UpstreamUnavailable, Certainty::OutcomeUnknown),
    ]);
    assert_eq!(reached, expected);
    assert!(reach.done > 0 && reach.repeated > 0, "{reach:?}");
    assert!(reach.executions > 0 && reach.deletions > 0, "{reach:?}");
}

#[test]
fn seeds_0_to_2999_run_at_most_once() {
    assert_eq!(broken(0..3_000, Sabotage::None), BTreeMap::new());
}

#[test]
fn seeds_3000_to_5999_run_at_most_once() {
    assert_eq!(broken(3_000..6_000, Sabotage::None), BTreeMap::new());
}

#[test]
fn seeds_6000_to_8999_run_at_most_once() {
    assert_eq!(broken(6_000..9_000, Sabotage::None), BTreeMap::new());
}

#[test]
fn seeds_9000_to_11999_run_at_most_once() {
    assert_eq!(broken(9_000..12_000, Sabotage::None), BTreeMap::new());
}

#[test]
fn the_checker_catches_a_ledger_without_its_fence() {
    assert!(violations_of(Sabotage::NoFence).contains(&Violation::TwoExecutions));
}

#[test]
fn the_checker_catches_a_retry_after_an_unknown_outcome() {
    assert!(violations_of(Sabotage::RetryAfterUnknown).contains(&Violation::TwoExecutions));
}

#[test]
fn the_checker_catches_pruning_that_reopens_keys() {
    assert!(violations_of(Sabotage::NoFloor).contains(&Violation::TwoExecutions));
}
