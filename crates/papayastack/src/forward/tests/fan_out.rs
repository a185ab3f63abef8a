//! Tests of the fan-out state machine with the rules that forwarding uses.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::query::{
    AttemptOutcome, Budgets, Command, EarlyFinish, FailureReason, FanoutContext, Gather,
    GatherRules, GatherSpec, NoRetryReason, NotRunReason, Observations, OnExhausted,
    QuantileTracker, RepeatWindowSettings, RetryPolicy, UnneededAttempts, UpstreamLoad,
};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::{ClassSettings, QueryClass, RoutingSettings};

struct Harness {
    observations: Observations,
    budgets: Budgets,
    latencies: Vec<QuantileTracker>,
    random: StdRng,
    now: Instant,
}

impl Harness {
    fn new() -> Self {
        Self {
            observations: Observations::new(),
            budgets: Budgets::new(),
            latencies: Vec::new(),
            random: StdRng::seed_from_u64(7),
            now: Instant::now(),
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

    fn start(&mut self, spec: GatherSpec) -> (Gather<&'static str>, Vec<Command>) {
        self.decide(|context| Gather::start(spec, context))
    }

    fn reply(
        &mut self,
        gather: &mut Gather<&'static str>,
        attempt: u64,
        outcome: AttemptOutcome<&'static str>,
    ) -> Vec<Command> {
        self.decide(|context| gather.on_reply(attempt, outcome, context))
    }

    fn advance(&mut self, gather: &mut Gather<&'static str>, time: Duration) -> Vec<Command> {
        self.now += time;
        self.decide(|context| gather.on_tick(context))
    }
}

/// Returns a request to `shards` shards of three replicas each; upstreams are numbered by shard.
fn spec(harness: &Harness, shards: u32, rules: GatherRules) -> GatherSpec {
    let replicas = |shard: u32| (shard * 3..shard * 3 + 3).collect::<Vec<UpstreamIndex>>();
    let shard = |shard| ShardReplicas { shard, replicas: replicas(shard) };
    GatherSpec {
        shards: Arc::new((0..shards).map(shard).collect()),
        deadline: harness.now + Duration::from_secs(1),
        class: ClassSettings::default_of(QueryClass::Lookup),
        routing: RoutingSettings::default(),
        rules,
    }
}

fn rules() -> GatherRules {
    GatherRules { attempts_max: 2, on_exhausted: OnExhausted::GiveUp, ..GatherRules::default() }
}

fn sends(commands: &[Command]) -> Vec<(u64, UpstreamIndex)> {
    let send = |command: &Command| match command {
        Command::Send { attempt, upstream, .. } => Some((*attempt, *upstream)),
        _ => None,
    };
    commands.iter().filter_map(send).collect()
}

const LOST: AttemptOutcome<&str> = AttemptOutcome::Failed(FailureReason::AnswerLost);
const SHED: AttemptOutcome<&str> = AttemptOutcome::NotRun(NotRunReason::Shed);
const NOT_CONNECTED: AttemptOutcome<&str> = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);

#[test]
fn attempts_beyond_the_maximum_are_not_sent() {
    let mut harness = Harness::new();
    let (mut gather, commands) = harness.start(spec(&harness, 1, rules()));

    let second = harness.reply(&mut gather, sends(&commands)[0].0, SHED);
    let third = harness.reply(&mut gather, sends(&second)[0].0, SHED);

    assert_ne!(sends(&commands)[0].1, sends(&second)[0].1);
    assert!(sends(&third).is_empty());
    assert!(gather.is_finished());
}

#[test]
fn a_failed_connection_does_not_count_as_an_attempt() {
    let mut harness = Harness::new();
    let (mut gather, commands) = harness.start(spec(&harness, 1, rules()));

    let second = harness.reply(&mut gather, sends(&commands)[0].0, NOT_CONNECTED);
    let third = harness.reply(&mut gather, sends(&second)[0].0, NOT_CONNECTED);

    assert_eq!(sends(&third).len(), 1);
    assert_eq!(gather.counts().sent, 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_repeated() {
    let mut harness = Harness::new();
    let at_most_once = GatherRules { retry_policy: RetryPolicy::OnlyIfNotRun, ..rules() };
    let (mut gather, commands) = harness.start(spec(&harness, 1, at_most_once));

    let after = harness.reply(&mut gather, sends(&commands)[0].0, LOST);

    assert!(sends(&after).is_empty());
    assert!(gather.is_finished());
    assert_eq!(gather.counts().unresolved, 1);
}

#[test]
fn an_unsafe_request_that_did_not_run_is_sent_to_another_upstream() {
    let mut harness = Harness::new();
    let at_most_once = GatherRules { retry_policy: RetryPolicy::OnlyIfNotRun, ..rules() };
    let (mut gather, commands) = harness.start(spec(&harness, 1, at_most_once));

    let second = harness.reply(&mut gather, sends(&commands)[0].0, SHED);
    harness.reply(&mut gather, sends(&second)[0].0, AttemptOutcome::Answered("answer"));

    assert_eq!(gather.take_parts(), [(0, Ok("answer"))]);
    assert_eq!(gather.counts().unresolved, 0);
}

#[test]
fn a_request_with_enough_shards_ends_at_the_time_for_partial_answers() {
    let mut harness = Harness::new();
    let early_finish = EarlyFinish { at: harness.now + Duration::from_millis(80), shards_min: 2 };
    let (mut gather, commands) = harness.start(spec(
        &harness,
        3,
        GatherRules { early_finish: Some(early_finish), ..rules() },
    ));
    let first = sends(&commands);
    harness.reply(&mut gather, first[0].0, AttemptOutcome::Answered("a"));
    harness.reply(&mut gather, first[1].0, AttemptOutcome::Answered("b"));

    harness.advance(&mut gather, Duration::from_millis(79));
    assert!(!gather.is_finished());
    assert!(gather.next_wake() <= early_finish.at);
    harness.advance(&mut gather, Duration::from_millis(1));

    assert!(gather.is_finished());
    let covered = gather.take_parts().iter().filter(|(_, part)| part.is_ok()).count();
    assert_eq!(covered, 2);
}

#[test]
fn a_request_without_enough_shards_waits_until_it_has_them() {
    let mut harness = Harness::new();
    let early_finish = EarlyFinish { at: harness.now + Duration::from_millis(80), shards_min: 2 };
    let (mut gather, commands) = harness.start(spec(
        &harness,
        3,
        GatherRules { early_finish: Some(early_finish), ..rules() },
    ));
    let first = sends(&commands);
    harness.reply(&mut gather, first[0].0, AttemptOutcome::Answered("a"));

    harness.advance(&mut gather, Duration::from_millis(200));
    assert!(!gather.is_finished());
    harness.reply(&mut gather, first[1].0, AttemptOutcome::Answered("b"));

    assert!(gather.is_finished());
}

#[test]
fn a_shard_whose_upstreams_all_refuse_connections_is_given_up_at_once() {
    let mut harness = Harness::new();
    let (mut gather, commands) = harness.start(spec(&harness, 1, rules()));
    let mut next = sends(&commands);

    for _ in 0..3 {
        let commands = harness.reply(&mut gather, next[0].0, NOT_CONNECTED);
        next = sends(&commands);
    }

    assert!(next.is_empty());
    assert!(gather.is_finished());
    assert_eq!(gather.counts().sent, 0);
}

#[test]
fn a_stalled_upstream_is_not_chosen_while_others_answer() {
    let mut harness = Harness::new();
    let stall_after = Duration::from_millis(30);
    harness.observations.sent(0, harness.now, stall_after);
    harness.now += Duration::from_millis(31);
    let now = harness.now;
    // The others have more attempts in flight, so that only the stall makes upstream 0 worse.
    for upstream in [1, 2, 1, 2, 1, 2] {
        harness.observations.sent(upstream, now, stall_after);
    }

    let chosen: Vec<usize> = (0..20)
        .filter_map(|_| harness.observations.choose(&[0, 1, 2], &[], 0.0, now, &mut harness.random))
        .collect();

    assert!(!chosen.contains(&0));
}

#[test]
fn a_request_survives_the_removal_of_its_route() {
    let mut harness = Harness::new();
    let rules = rules();
    let (mut gather, _) = harness.start(spec(&harness, 2, rules));

    // A newer version of the routes lacks the route, so that its latencies are dropped.
    harness.latencies.clear();
    harness.reply(&mut gather, 0, AttemptOutcome::Answered("part"));
    harness.latencies.clear();
    harness.advance(&mut gather, Duration::from_millis(500));
    harness.reply(&mut gather, 1, AttemptOutcome::Answered("part"));

    assert!(gather.is_finished());
}

/// Returns the commands after a hedge answered, where the upstream of the first attempt has
/// reported a queue of `waiting` requests.
fn commands_after_the_hedge_answered(waiting: u32) -> Vec<Command> {
    let mut harness = Harness::new();
    let hedged = GatherRules {
        hedge_delay_initial: Duration::from_millis(20),
        unneeded_attempts: UnneededAttempts::CancelWhereOthersWait,
        ..rules()
    };
    let (mut gather, commands) = harness.start(spec(&harness, 1, hedged));
    let hedge = harness.advance(&mut gather, Duration::from_millis(30));
    let load = UpstreamLoad { running: 4, waiting, slots: 4 };
    harness.observations.record_load(sends(&commands)[0].1, load, harness.now);
    harness.reply(&mut gather, sends(&hedge)[0].0, AttemptOutcome::Answered("part"))
}

#[test]
fn a_slower_attempt_is_cancelled_if_its_upstream_has_a_queue() {
    let commands = commands_after_the_hedge_answered(3);

    assert!(matches!(commands[..], [Command::Cancel { attempt: 0, .. }, Command::Finished]));
}

#[test]
fn a_slower_attempt_runs_on_if_its_upstream_has_no_queue() {
    let commands = commands_after_the_hedge_answered(0);

    assert_eq!(commands, [Command::Finished]);
}

/// Returns how many of 100 choices fall on the upstream in the same data centre, with
/// `in_flight_near` attempts in flight there.
fn near_choices(in_flight_near: u32) -> usize {
    let mut harness = Harness::new();
    harness.observations.set_remote(1, true);
    for _ in 0..in_flight_near {
        harness.observations.sent(0, harness.now, Duration::from_secs(1));
    }
    // Both upstreams have answered with the same latency.
    for upstream in [0, 1] {
        for _ in 0..40 {
            harness.observations.sent(upstream, harness.now, Duration::from_secs(1));
            let answer = AttemptOutcome::Answered("part");
            let (mean, ejection) = (Duration::from_millis(10), Duration::from_secs(1));
            harness.observations.finished(upstream, &answer, mean, ejection, harness.now);
        }
    }
    let mut choose =
        || harness.observations.choose(&[0, 1], &[], 0.0, harness.now, &mut harness.random);
    (0..100).filter(|_| choose() == Some(0)).count()
}

#[test]
fn a_near_upstream_is_chosen_until_it_is_much_busier() {
    assert_eq!(near_choices(0), 100);
    assert!(near_choices(8) < 10);
}

/// Returns the reason why a request to one shard was given up after `replies` to its attempts.
fn reason_to_give_up(
    harness: &mut Harness,
    rules: GatherRules,
    replies: &[AttemptOutcome<&'static str>],
) -> Vec<NoRetryReason> {
    let (mut gather, mut commands) = harness.start(spec(harness, 1, rules));
    for reply in replies {
        commands = harness.reply(&mut gather, sends(&commands)[0].0, reply.clone());
    }
    assert!(gather.is_finished());
    gather.given_up().keys().copied().collect()
}

#[test]
fn a_request_without_a_further_attempt_says_why() {
    let once = GatherRules { retry_policy: RetryPolicy::OnlyIfNotRun, ..rules() };
    let many = GatherRules { attempts_max: 9, ..rules() };

    let used_up = reason_to_give_up(&mut Harness::new(), rules(), &[LOST, LOST]);
    let may_have_run = reason_to_give_up(&mut Harness::new(), once, &[LOST]);
    let no_replica = reason_to_give_up(&mut Harness::new(), many, &[LOST, LOST, LOST]);

    assert_eq!(used_up, [NoRetryReason::AttemptsUsedUp]);
    assert_eq!(may_have_run, [NoRetryReason::MayHaveRun]);
    assert_eq!(no_replica, [NoRetryReason::NoReplica]);
}

#[test]
fn a_request_says_that_the_bound_on_repeats_is_reached() {
    let mut harness = Harness::new();
    let window = Duration::from_secs(10);
    let bound = RepeatWindowSettings { window, repeats_permille: 0, repeats_extra: 0 };
    harness.budgets.windows.configure(bound, 4);
    let services = Some(Arc::from(["archive".to_owned()]));

    let reasons = reason_to_give_up(&mut harness, GatherRules { services, ..rules() }, &[LOST]);

    assert_eq!(reasons, [NoRetryReason::RepeatsUsedUp]);
}

#[test]
fn a_request_says_that_its_time_ended() {
    let mut harness = Harness::new();
    let (mut gather, _) = harness.start(spec(&harness, 1, rules()));

    harness.advance(&mut gather, Duration::from_secs(1));

    assert_eq!(gather.given_up().keys().collect::<Vec<_>>(), [&NoRetryReason::RequestEnded]);
}
