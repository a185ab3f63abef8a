//! Random interleavings of callers, VMs, faults and pruning, judged by the checker.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::checker::Violation;
use super::simulation::{FAULTS, InjectedBug, InjectedFault, Simulation};
use crate::outcome::{Certainty, RefusalReason};

const STEPS: usize = 600;
const REQUESTS_MAX: usize = 24;
const HOUR_MS: i64 = 3_600_000;

/// Runs one random interleaving, then lets everything finish without faults.
fn run(seed: u64, bug: InjectedBug) -> Simulation {
    let mut simulation = Simulation::new(seed, 3, bug);
    simulation.fault_share = *[0.01, 0.05, 0.2].choose(&mut simulation.random).unwrap();
    set_clocks(&mut simulation);
    let mut keys = vec![new_key(&simulation, 0)];
    for _ in 0..STEPS {
        step(&mut simulation, &mut keys);
        if seed % 2 == 1 {
            step_towards_pruning(&mut simulation);
        }
    }
    simulation.run_to_completion();
    while simulation.random.random_bool(0.5) {
        simulation.apply_delayed_effect();
    }
    let unanswered = simulation.checker.requests.values().filter(|request| {
        request.answer.is_none() && simulation.vms.iter().any(|vm| vm.runs(request.process))
    });
    assert_eq!(unanswered.count(), 0, "seed {seed} leaves a request unanswered");
    simulation
}

fn set_clocks(simulation: &mut Simulation) {
    for vm in 0..simulation.vms.len() {
        let offset_within_skew = simulation.random.random_range(-4_000..=4_000);
        let large_offset = simulation.random.random_range(-3 * HOUR_MS..=3 * HOUR_MS);
        let offset =
            if simulation.random.random_bool(0.05) { large_offset } else { offset_within_skew };
        simulation.vms[vm].clock_offset_ms = offset;
    }
}

fn step(simulation: &mut Simulation, keys: &mut Vec<String>) {
    let vm = simulation.random.random_range(0..simulation.vms.len());
    match simulation.random.random_range(0..100) {
        0..34 => perform_one(simulation, vm),
        34..68 => handle_one_input(simulation, vm),
        68..78 if !simulation.vms[vm].is_paused() => simulation.tick(vm),
        78..82 => submit(simulation, vm, keys),
        82..92 => {
            let time = simulation.random.random_range(1..40);
            simulation.pass_time(Duration::from_millis(time));
        }
        92 if simulation.random.random_bool(0.2) => {
            let time = simulation.random.random_range(500..4_000);
            simulation.pass_time(Duration::from_millis(time));
        }
        93 => simulation.pause(vm),
        94..97 => {
            let clocks_stood_still = simulation.random.random_bool(0.5);
            simulation.resume(vm, clocks_stood_still);
        }
        97 if simulation.random.random_bool(0.2) => simulation.restart(vm),
        97 => simulation.outage = simulation.random.random_bool(0.1),
        98 => simulation.apply_delayed_effect(),
        99 => {
            let buckets = simulation.random.random_range(1..4);
            simulation.configure(vm, buckets);
        }
        _ => {}
    }
}

/// Occasionally advances the time by hours and makes pruning calls, which single steps seldom do.
fn step_towards_pruning(simulation: &mut Simulation) {
    if simulation.random.random_bool(0.008) {
        for vm in 0..simulation.vms.len() {
            if simulation.random.random_bool(0.3) {
                simulation.pause(vm);
            }
        }
        let hours = simulation.random.random_range(1..4);
        simulation.pass_time(Duration::from_secs(hours * 3_600));
    }
    if simulation.random.random_bool(0.05) {
        let vm = simulation.random.random_range(0..simulation.vms.len());
        for _ in 0..simulation.random.random_range(1..16) {
            simulation.prune(vm, InjectedFault::NoFault);
        }
    }
}

fn perform_one(simulation: &mut Simulation, vm: usize) {
    if simulation.vms[vm].is_paused() || simulation.vms[vm].actions.is_empty() {
        return;
    }
    let index = simulation.random.random_range(0..simulation.vms[vm].actions.len());
    let action = simulation.vms[vm].actions.remove(index);
    let fault = random_fault(simulation);
    simulation.perform(vm, action, fault);
}

fn handle_one_input(simulation: &mut Simulation, vm: usize) {
    if simulation.vms[vm].is_paused() || simulation.vms[vm].inbox.is_empty() {
        return;
    }
    let index = simulation.random.random_range(0..simulation.vms[vm].inbox.len());
    let input = simulation.vms[vm].inbox.remove(index);
    simulation.handle_input(vm, input);
}

fn submit(simulation: &mut Simulation, vm: usize, keys: &mut Vec<String>) {
    if simulation.checker.requests.len() >= REQUESTS_MAX {
        return;
    }
    if simulation.random.random_bool(0.2) {
        keys.push(new_key(simulation, keys.len()));
    }
    let newest = keys.last().filter(|_| simulation.random.random_bool(0.5)).cloned();
    let key = newest.unwrap_or_else(|| keys.choose(&mut simulation.random).unwrap().clone());
    let body = u64::from(simulation.random.random_bool(0.1));
    let wait = simulation.random.random_range(100..4_000);
    simulation.submit(vm, &key, body, Duration::from_millis(wait));
}

fn new_key(simulation: &Simulation, number: usize) -> String {
    format!("{}-{number}", simulation.unix_ms())
}

fn random_fault(simulation: &mut Simulation) -> InjectedFault {
    if !simulation.random.random_bool(simulation.fault_share) {
        return InjectedFault::NoFault;
    }
    *FAULTS.choose(&mut simulation.random).unwrap()
}

/// Returns the violations of the interleavings of `seeds`, by seed.
fn violations_by_seed(seeds: Range<u64>, bug: InjectedBug) -> BTreeMap<u64, BTreeSet<Violation>> {
    let runs = seeds.map(|seed| (seed, run(seed, bug).checker.violations()));
    runs.filter(|(_, violations)| !violations.is_empty()).collect()
}

fn violations_of(bug: InjectedBug) -> BTreeSet<Violation> {
    violations_by_seed(0..2_000, bug).into_values().flatten().collect()
}

/// The events that interleavings covered.
#[derive(Debug, Default, PartialEq, Eq)]
struct Coverage {
    executions: usize,
    deletions: u64,
    done: usize,
    repeated: usize,
    refused: BTreeMap<(RefusalReason, Certainty), usize>,
}

impl Coverage {
    fn add(&mut self, simulation: &Simulation) {
        self.executions += simulation.checker.executions();
        self.deletions += simulation.deletions;
        for answer in
            simulation.checker.requests.values().filter_map(|request| request.answer.as_ref())
        {
            match answer {
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
fn the_interleavings_cover_every_kind_of_answer() {
    let mut coverage = Coverage::default();

    (0..1_000).for_each(|seed| coverage.add(&run(seed, InjectedBug::None)));

    let covered: BTreeSet<_> = coverage.refused.keys().copied().collect();
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
    assert_eq!(covered, expected);
    assert!(coverage.done > 0 && coverage.repeated > 0, "{coverage:?}");
    assert!(coverage.executions > 0 && coverage.deletions > 0, "{coverage:?}");
}

#[test]
fn seeds_0_to_2999_run_at_most_once() {
    assert_eq!(violations_by_seed(0..3_000, InjectedBug::None), BTreeMap::new());
}

#[test]
fn seeds_3000_to_5999_run_at_most_once() {
    assert_eq!(violations_by_seed(3_000..6_000, InjectedBug::None), BTreeMap::new());
}

#[test]
fn seeds_6000_to_8999_run_at_most_once() {
    assert_eq!(violations_by_seed(6_000..9_000, InjectedBug::None), BTreeMap::new());
}

#[test]
fn seeds_9000_to_11999_run_at_most_once() {
    assert_eq!(violations_by_seed(9_000..12_000, InjectedBug::None), BTreeMap::new());
}

#[test]
fn the_checker_catches_unconditional_ledger_updates() {
    assert!(violations_of(InjectedBug::UnconditionalUpdates).contains(&Violation::TwoExecutions));
}

#[test]
fn the_checker_catches_a_retry_after_an_unknown_outcome() {
    assert!(violations_of(InjectedBug::RetryAfterUnknown).contains(&Violation::TwoExecutions));
}

#[test]
fn the_checker_catches_pruning_without_the_ledger_floor() {
    assert!(violations_of(InjectedBug::IgnoredFloor).contains(&Violation::TwoExecutions));
}
