//! Tests of the fan-out in virtual time, under injected faults, against a naive implementation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::outcome::{Answer, Coverage, Hit, MissingReason, Partial};
use crate::routing::ShardReplicas;
use crate::settings::{ClassSettings, QueryClass, RoutingPolicy, RoutingSettings};

const SNAPSHOT: u64 = 7;
const DEADLINE: Duration = Duration::from_millis(200);
const HITS_LIMIT: usize = 5;

/// The injected faults, as thousandths of the attempts.
#[derive(Debug, Clone, Default)]
struct Faults {
    slow_permille: u32,
    lost_permille: u32,
    shed_permille: u32,
    duplicate_permille: u32,
    crossed_permille: u32,
    other_snapshot_permille: u32,
    dead_replica: Option<usize>,
}

/// A reply that is due at a time: its due time, serial number, attempt and outcome.
type ScheduledReply = (Instant, u64, u64, AttemptOutcome);

/// Runs fan-outs in virtual time against simulated upstreams.
struct Harness {
    random: StdRng,
    observations: Observations,
    budgets: Budgets,
    latencies: Vec<QuantileTracker>,
    now: Instant,
    faults: Faults,
    scheduled: BTreeSet<u64>,
    replies: BTreeMap<u64, ScheduledReply>,
    serial: u64,
}

impl Harness {
    fn new(seed: u64, faults: Faults) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            observations: Observations::new(),
            budgets: Budgets::new(),
            latencies: Vec::new(),
            now: Instant::now(),
            faults,
            scheduled: BTreeSet::new(),
            replies: BTreeMap::new(),
            serial: 0,
        }
    }

    fn decide<T>(&mut self, act: impl FnOnce(&mut FanoutContext<'_, StdRng>) -> T) -> T {
        act(&mut FanoutContext {
            observations: &mut self.observations,
            budgets: &mut self.budgets,
            latencies: &mut self.latencies,
            random: &mut self.random,
            now: self.now,
        })
    }

    /// Runs one query to its end and returns its answer, its counts and its duration.
    fn run(&mut self, spec: FanoutSpec) -> (Answer, FanoutCounts, Duration) {
        let started = self.now;
        let shards = Arc::clone(&spec.shards);
        let (mut fanout, commands) = self.decide(|context| Fanout::start(spec, context));
        self.perform(commands, &shards);
        while !fanout.is_finished() {
            let wake = fanout.next_wake();
            let next = self.next_reply().filter(|(due, ..)| *due <= wake);
            let commands = match next {
                Some((due, serial, attempt, outcome)) => {
                    self.scheduled.remove(&serial);
                    self.replies.remove(&serial);
                    self.now = due.max(self.now);
                    self.decide(|context| fanout.on_reply(attempt, outcome, context))
                }
                None => {
                    self.now = wake.max(self.now);
                    self.decide(|context| fanout.on_tick(context))
                }
            };
            self.perform(commands, &shards);
        }
        self.decide(|context| fanout.abandon(context));
        self.replies.clear();
        let answer = fanout.take_answer().unwrap();
        (answer, fanout.counts().clone(), self.now - started)
    }

    fn next_reply(&self) -> Option<ScheduledReply> {
        self.replies.values().min_by_key(|(due, serial, ..)| (*due, *serial)).cloned()
    }

    fn perform(&mut self, commands: Vec<Command>, shards: &[ShardReplicas]) {
        for command in commands {
            if let Command::Send { attempt, shard, upstream } = command {
                let replicas = &shards.iter().find(|entry| entry.shard == shard).unwrap().replicas;
                let position = replicas.iter().position(|index| *index == upstream).unwrap();
                self.simulate_reply(attempt, shard, position);
            }
        }
    }

    /// Schedules the reply of an upstream with the configured faults.
    fn simulate_reply(&mut self, attempt: u64, shard: u32, position: usize) {
        let faults = self.faults.clone();
        let partial = partial_of(shard);
        let mut chance = |permille: u32| self.random.random_range(0..1000) < permille;
        if faults.dead_replica == Some(position) {
            let refused = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);
            return self.schedule(Duration::from_micros(100), attempt, refused);
        }
        if chance(faults.lost_permille) {
            return;
        }
        let shed = chance(faults.shed_permille);
        let other_snapshot = chance(faults.other_snapshot_permille);
        let mismatched = chance(faults.crossed_permille);
        let duplicate = chance(faults.duplicate_permille);
        let slow = chance(faults.slow_permille);
        let outcome = if shed {
            AttemptOutcome::NotRun(NotRunReason::Shed)
        } else if other_snapshot {
            AttemptOutcome::Answered(Partial { snapshot: SNAPSHOT + 1, ..partial })
        } else if mismatched {
            AttemptOutcome::Answered(Partial { shard: shard + 1, ..partial_of(shard + 1) })
        } else {
            AttemptOutcome::Answered(partial)
        };
        let base_us = self.random.random_range(1_000..3_000);
        let delay = Duration::from_micros(if slow { base_us * 20 } else { base_us });
        self.schedule(delay, attempt, outcome.clone());
        if duplicate {
            self.schedule(delay * 2, attempt, outcome);
        }
    }

    fn schedule(&mut self, delay: Duration, attempt: u64, outcome: AttemptOutcome) {
        self.serial += 1;
        self.scheduled.insert(self.serial);
        self.replies.insert(self.serial, (self.now + delay, self.serial, attempt, outcome));
    }
}

/// Returns the content of one shard of the only snapshot.
fn partial_of(shard: u32) -> Partial {
    let hit = |number: u32| Hit {
        id: format!("grant-{shard}-{number}"),
        score: (shard * 31 + number * 17) % 101,
        summary: String::new(),
    };
    let hits: Vec<Hit> = (0..shard % 4).map(hit).collect();
    Partial { snapshot: SNAPSHOT, shard, hits_total: hits.len() as u64, hits }
}

/// Returns the hits and their total from a naive implementation, which sorts the hits of all
/// answered shards.
fn naive_hits(coverage: &Coverage) -> (Vec<Hit>, u64) {
    let mut hits: Vec<Hit> =
        coverage.answered().iter().flat_map(|shard| partial_of(*shard).hits).collect();
    let total = hits.len() as u64;
    hits.sort_by_key(|hit| (std::cmp::Reverse(hit.score), hit.id.clone()));
    hits.truncate(HITS_LIMIT);
    (hits, total)
}

fn spec(harness: &Harness, shards: u32, replicas: u32, class: QueryClass) -> FanoutSpec {
    let entry = |shard: u32| ShardReplicas {
        shard,
        replicas: (0..replicas).map(|replica| shard * replicas + replica).collect(),
    };
    FanoutSpec {
        service: "deadline-board".to_owned(),
        snapshot: SNAPSHOT,
        shards: Arc::new((0..shards).map(entry).collect()),
        hits_limit: HITS_LIMIT,
        deadline: harness.now + DEADLINE,
        class: ClassSettings::default_of(class),
        routing: RoutingSettings::default(),
    }
}

fn sweep(harness: &mut Harness, shards: u32, replicas: u32) -> (Answer, FanoutCounts, Duration) {
    let spec = spec(harness, shards, replicas, QueryClass::Sweep);
    harness.run(spec)
}

fn any_faults() -> impl Strategy<Value = Faults> {
    let permille = || prop_oneof![Just(0_u32), 0..300_u32];
    let chances = (permille(), permille(), permille(), permille(), permille(), permille());
    (chances, proptest::option::of(0..3_usize)).prop_map(|(chances, dead_replica)| Faults {
        slow_permille: chances.0,
        lost_permille: chances.1,
        shed_permille: chances.2,
        duplicate_permille: chances.3,
        crossed_permille: chances.4,
        other_snapshot_permille: chances.5,
        dead_replica,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Guards against wrong, lost or duplicate hits: complete answers equal those of the naive
    /// implementation, and partial answers equal it over the shards that answered.
    #[test]
    fn answers_equal_the_naive_implementation_over_their_coverage(
        seed in any::<u64>(), shards in 1..24_u32, replicas in 1..4_u32, faults in any_faults(),
    ) {
        let mut harness = Harness::new(seed, faults);
        for _ in 0..4 {
            let (answer, _, elapsed) = sweep(&mut harness, shards, replicas);

            let (hits, total) = naive_hits(answer.coverage());
            let all = answer.coverage().answered().len() + answer.coverage().missing().len();
            prop_assert_eq!(answer.verdict().hits(), hits);
            prop_assert_eq!(answer.verdict().hits_total(), total);
            prop_assert_eq!(all, shards as usize);
            prop_assert_eq!(answer.coverage().snapshot(), SNAPSHOT);
            prop_assert!(elapsed <= DEADLINE);
        }
    }
}

#[test]
fn without_faults_all_answers_are_complete_and_extra_load_is_small() {
    let mut harness = Harness::new(1, Faults::default());
    let (needed, sent) = run_many(&mut harness, 300, 20, 3, 1000);

    assert!(sent - needed <= needed / 20, "{sent} sent, {needed} needed");
}

#[test]
fn a_narrow_latency_distribution_is_not_hedged() {
    let mut harness = Harness::new(13, Faults::default());
    run_many(&mut harness, 50, 20, 3, 1000);

    // All latencies lie within twice their mean.
    let hedges: u64 = (0..100).map(|_| sweep(&mut harness, 20, 3).1.hedges).sum();

    assert_eq!(hedges, 0);
}

#[test]
fn stragglers_are_hedged_within_the_budget() {
    let mut harness = Harness::new(2, Faults { slow_permille: 10, ..Faults::default() });
    let mut slow_answers = 0;
    let (mut needed, mut sent) = (0, 0);

    for round in 0..600 {
        let (_, counts, elapsed) = sweep(&mut harness, 20, 3);
        if round >= 100 {
            slow_answers += u32::from(elapsed > Duration::from_millis(15));
            needed += counts.needed;
            sent += counts.sent;
        }
    }

    // Without hedges, 18 of 100 sweeps would wait for a straggler of at least 20 ms.
    assert!(slow_answers < 25, "{slow_answers} of 500 sweeps were slow");
    assert!(sent - needed <= needed / 10, "{sent} sent, {needed} needed");
}

#[test]
fn a_dead_replica_loses_no_coverage_and_adds_little_load() {
    let mut harness = Harness::new(3, Faults { dead_replica: Some(1), ..Faults::default() });
    let (needed, sent) = run_many(&mut harness, 300, 20, 3, 1000);

    assert!(sent - needed <= needed / 20, "{sent} sent, {needed} needed");
}

#[test]
fn extra_load_stays_bounded_under_combined_faults() {
    let faults =
        Faults { slow_permille: 200, lost_permille: 200, shed_permille: 200, ..Faults::default() };
    let mut harness = Harness::new(4, faults);

    let (needed, sent) = run_many(&mut harness, 300, 50, 3, 0);

    assert!(sent - needed <= needed / 10, "{sent} sent, {needed} needed");
}

#[test]
fn nothing_is_hedged_under_overload() {
    let mut harness =
        Harness::new(5, Faults { shed_permille: 400, slow_permille: 100, ..Faults::default() });
    run_many(&mut harness, 50, 20, 3, 0);

    let hedges: u64 = (0..50).map(|_| sweep(&mut harness, 20, 3).1.hedges).sum();

    assert_eq!(hedges, 0);
}

#[test]
fn the_naive_policy_sends_one_attempt_per_shard() {
    let mut harness = Harness::new(6, Faults { lost_permille: 300, ..Faults::default() });
    let mut spec = spec(&harness, 20, 3, QueryClass::Sweep);
    spec.routing.policy = RoutingPolicy::Naive;

    let (answer, counts, _) = harness.run(spec);

    assert_eq!(counts.sent, 20);
    assert!(!answer.coverage().missing().is_empty());
}

#[test]
fn a_retired_snapshot_is_reported_once_no_replica_holds_it() {
    let mut harness = Harness::new(7, Faults::default());
    let spec = spec(&harness, 1, 2, QueryClass::Sweep);
    let (mut fanout, _) = harness.decide(|context| Fanout::start(spec, context));
    let retired = AttemptOutcome::NotRun(NotRunReason::SnapshotRetired);

    let first = harness.decide(|context| fanout.on_reply(0, retired.clone(), context));
    let second = harness.decide(|context| fanout.on_reply(1, retired.clone(), context));

    assert!(matches!(first[..], [Command::Send { attempt: 1, .. }]));
    assert_eq!(second, [Command::SnapshotGone, Command::Finished]);
    let missing = fanout.take_answer().unwrap().coverage().missing().clone();
    assert_eq!(missing, BTreeMap::from([(0, MissingReason::SnapshotRetired)]));
}

#[test]
fn a_hedge_that_wins_cancels_the_first_attempt() {
    let mut harness = Harness::new(8, Faults::default());
    let spec = spec(&harness, 1, 2, QueryClass::Lookup);
    let (mut fanout, _) = harness.decide(|context| Fanout::start(spec, context));
    harness.now = fanout.next_wake();

    let hedge = harness.decide(|context| fanout.on_tick(context));
    let answered = AttemptOutcome::Answered(partial_of(0));
    let won = harness.decide(|context| fanout.on_reply(1, answered, context));

    assert!(matches!(hedge[..], [Command::Send { attempt: 1, .. }]));
    assert!(matches!(won[..], [Command::Cancel { attempt: 0, .. }, Command::Finished]));
}

#[test]
fn a_leaving_upstream_gets_no_new_attempts() {
    let mut harness = Harness::new(9, Faults::default());
    harness.observations.mark_leaving(0, harness.now);

    for _ in 0..100 {
        let spec = spec(&harness, 1, 2, QueryClass::Sweep);
        let (_, commands) = harness.decide(|context| Fanout::start(spec, context));
        assert!(matches!(commands[..], [Command::Send { upstream: 1, .. }]));
    }
}

#[test]
fn a_shard_with_all_replicas_ejected_still_gets_attempts() {
    let mut harness = Harness::new(10, Faults::default());
    let lost: AttemptOutcome = AttemptOutcome::Failed(FailureReason::AnswerLost);
    for upstream in [0, 0, 0, 1, 1, 1] {
        let latency = Duration::from_millis(1);
        let ejection = Duration::from_secs(2);
        harness.observations.finished(upstream, &lost, latency, ejection, harness.now);
    }
    let now = harness.now;

    let chosen = harness.observations.choose(&[0, 1], &[], 0.0, now, &mut harness.random);

    assert!(harness.observations.is_ejected(0, now) && harness.observations.is_ejected(1, now));
    assert!(chosen.is_some());
}

#[test]
fn the_quantile_tracker_converges_to_the_quantile() {
    let mut random = StdRng::seed_from_u64(12);
    let mut tracker = QuantileTracker::new();

    for _ in 0..20_000 {
        tracker.record(Duration::from_micros(random.random_range(0..1_000_000)), 950);
    }

    let estimate_ms = tracker.estimate().unwrap().as_millis();
    assert!((880..=1_000).contains(&estimate_ms), "{estimate_ms} ms");
}

/// Runs sweeps and returns the sub-requests needed and sent; asserts that at least
/// `complete_permille` of the sweeps are complete.
fn run_many(
    harness: &mut Harness,
    sweeps: u32,
    shards: u32,
    replicas: u32,
    complete_permille: u32,
) -> (u64, u64) {
    let (mut needed, mut sent, mut complete) = (0, 0, 0);
    for _ in 0..sweeps {
        let (answer, counts, _) = sweep(harness, shards, replicas);
        complete += u32::from(answer.coverage().complete().is_some());
        needed += counts.needed;
        sent += counts.sent;
    }
    assert!(complete * 1000 >= sweeps * complete_permille, "{complete} of {sweeps} complete");
    (needed, sent)
}
