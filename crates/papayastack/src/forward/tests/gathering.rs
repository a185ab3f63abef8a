//! Tests of what the rules of a request allow, on the machine itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::query::{
    AttemptOutcome, Budgets, Command, Enough, Exhausted, FailureReason, FanoutContext, Gather,
    GatherRules, GatherSpec, Losers, NotRunReason, Observations, QuantileTracker, Repeat,
    UpstreamLoad,
};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::{ClassSettings, QueryClass, RoutingSettings};

struct Rig {
    observations: Observations,
    budgets: Budgets,
    latencies: Vec<QuantileTracker>,
    random: StdRng,
    now: Instant,
}

impl Rig {
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

    fn pass(&mut self, gather: &mut Gather<&'static str>, time: Duration) -> Vec<Command> {
        self.now += time;
        self.decide(|context| gather.on_tick(context))
    }
}

/// A request to `shards` shards of three replicas each, numbered through.
fn spec(rig: &Rig, shards: u32, rules: GatherRules) -> GatherSpec {
    let replicas = |shard: u32| (shard * 3..shard * 3 + 3).collect::<Vec<UpstreamIndex>>();
    let shard = |shard| ShardReplicas { shard, replicas: replicas(shard) };
    GatherSpec {
        shards: Arc::new((0..shards).map(shard).collect()),
        deadline: rig.now + Duration::from_secs(1),
        class: ClassSettings::default_of(QueryClass::Lookup),
        routing: RoutingSettings::default(),
        rules,
    }
}

fn rules() -> GatherRules {
    GatherRules { attempts_max: 2, exhausted: Exhausted::GiveUp, ..GatherRules::default() }
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
const UNREACHED: AttemptOutcome<&str> = AttemptOutcome::NotRun(NotRunReason::ConnectFailed);

#[test]
fn no_more_attempts_reach_upstreams_than_allowed() {
    let mut rig = Rig::new();
    let (mut gather, commands) = rig.start(spec(&rig, 1, rules()));

    let second = rig.reply(&mut gather, sends(&commands)[0].0, SHED);
    let third = rig.reply(&mut gather, sends(&second)[0].0, SHED);

    assert_ne!(sends(&commands)[0].1, sends(&second)[0].1);
    assert!(sends(&third).is_empty());
    assert!(gather.is_finished());
}

#[test]
fn an_upstream_that_was_not_reached_costs_no_attempt() {
    let mut rig = Rig::new();
    let (mut gather, commands) = rig.start(spec(&rig, 1, rules()));

    let second = rig.reply(&mut gather, sends(&commands)[0].0, UNREACHED);
    let third = rig.reply(&mut gather, sends(&second)[0].0, UNREACHED);

    assert_eq!(sends(&third).len(), 1);
    assert_eq!(gather.counts().sent, 1);
}

#[test]
fn what_may_have_run_is_not_sent_again_where_that_would_harm() {
    let mut rig = Rig::new();
    let careful = GatherRules { repeat: Repeat::OnlyIfNotRun, ..rules() };
    let (mut gather, commands) = rig.start(spec(&rig, 1, careful));

    let after = rig.reply(&mut gather, sends(&commands)[0].0, LOST);

    assert!(sends(&after).is_empty());
    assert!(gather.is_finished());
    assert_eq!(gather.counts().unresolved, 1);
}

#[test]
fn what_provably_did_not_run_is_sent_to_another_upstream() {
    let mut rig = Rig::new();
    let careful = GatherRules { repeat: Repeat::OnlyIfNotRun, ..rules() };
    let (mut gather, commands) = rig.start(spec(&rig, 1, careful));

    let second = rig.reply(&mut gather, sends(&commands)[0].0, SHED);
    rig.reply(&mut gather, sends(&second)[0].0, AttemptOutcome::Answered("answer"));

    assert_eq!(gather.take_parts(), [(0, Ok("answer"))]);
    assert_eq!(gather.counts().unresolved, 0);
}

#[test]
fn a_request_with_enough_parts_ends_once_its_time_for_more_is_over() {
    let mut rig = Rig::new();
    let enough = Enough { at: rig.now + Duration::from_millis(80), shards_min: 2 };
    let (mut gather, commands) =
        rig.start(spec(&rig, 3, GatherRules { enough: Some(enough), ..rules() }));
    let first = sends(&commands);
    rig.reply(&mut gather, first[0].0, AttemptOutcome::Answered("a"));
    rig.reply(&mut gather, first[1].0, AttemptOutcome::Answered("b"));

    rig.pass(&mut gather, Duration::from_millis(79));
    assert!(!gather.is_finished());
    assert!(gather.next_wake() <= enough.at);
    rig.pass(&mut gather, Duration::from_millis(1));

    assert!(gather.is_finished());
    let covered = gather.take_parts().iter().filter(|(_, part)| part.is_ok()).count();
    assert_eq!(covered, 2);
}

#[test]
fn a_request_without_enough_parts_waits_on_until_it_has_them() {
    let mut rig = Rig::new();
    let enough = Enough { at: rig.now + Duration::from_millis(80), shards_min: 2 };
    let (mut gather, commands) =
        rig.start(spec(&rig, 3, GatherRules { enough: Some(enough), ..rules() }));
    let first = sends(&commands);
    rig.reply(&mut gather, first[0].0, AttemptOutcome::Answered("a"));

    rig.pass(&mut gather, Duration::from_millis(200));
    assert!(!gather.is_finished());
    rig.reply(&mut gather, first[1].0, AttemptOutcome::Answered("b"));

    assert!(gather.is_finished());
}

#[test]
fn a_shard_whose_upstreams_all_refuse_is_given_up_at_once() {
    let mut rig = Rig::new();
    let (mut gather, commands) = rig.start(spec(&rig, 1, rules()));
    let mut next = sends(&commands);

    for _ in 0..3 {
        let commands = rig.reply(&mut gather, next[0].0, UNREACHED);
        next = sends(&commands);
    }

    assert!(next.is_empty());
    assert!(gather.is_finished());
    assert_eq!(gather.counts().sent, 0);
}

#[test]
fn a_stalled_upstream_is_passed_over_while_others_answer() {
    let mut rig = Rig::new();
    let stall_after = Duration::from_millis(30);
    rig.observations.sent(0, rig.now, stall_after);
    rig.now += Duration::from_millis(31);
    let now = rig.now;
    // The others have more work, so that the silent one looks best but for its silence.
    for upstream in [1, 2, 1, 2, 1, 2] {
        rig.observations.sent(upstream, now, stall_after);
    }

    let chosen: Vec<usize> = (0..20)
        .filter_map(|_| rig.observations.choose(&[0, 1, 2], &[], 0.0, now, &mut rig.random))
        .collect();

    assert!(!chosen.contains(&0));
}

#[test]
fn a_request_goes_on_when_its_route_is_dropped_under_it() {
    let mut rig = Rig::new();
    let rules = rules();
    let (mut gather, _) = rig.start(spec(&rig, 2, rules));

    // A later version of the routes lacks the route, and what was learnt of it is forgotten.
    rig.latencies.clear();
    rig.reply(&mut gather, 0, AttemptOutcome::Answered("part"));
    rig.latencies.clear();
    rig.pass(&mut gather, Duration::from_millis(500));
    rig.reply(&mut gather, 1, AttemptOutcome::Answered("part"));

    assert!(gather.is_finished());
}

/// Hedges the only shard, lets the hedge answer, and returns what follows; the first upstream told
/// before how many requests wait for it.
fn after_a_hedge_won(waiting: u32) -> Vec<Command> {
    let mut rig = Rig::new();
    let hedged = GatherRules {
        hedge_delay_initial: Duration::from_millis(20),
        losers: Losers::CancelWhereOthersWait,
        ..rules()
    };
    let (mut gather, commands) = rig.start(spec(&rig, 1, hedged));
    let hedge = rig.pass(&mut gather, Duration::from_millis(30));
    let load = UpstreamLoad { running: 4, waiting, slots: 4 };
    rig.observations.load_told(sends(&commands)[0].1, load, rig.now);
    rig.reply(&mut gather, sends(&hedge)[0].0, AttemptOutcome::Answered("part"))
}

#[test]
fn a_loser_is_cancelled_where_others_wait_for_its_upstream() {
    let commands = after_a_hedge_won(3);

    assert!(matches!(commands[..], [Command::Cancel { attempt: 0, .. }, Command::Finished]));
}

#[test]
fn a_loser_ends_by_itself_where_nobody_waits_for_its_upstream() {
    let commands = after_a_hedge_won(0);

    assert_eq!(commands, [Command::Finished]);
}

/// Returns how many of 100 choices fall on the near upstream, with attempts in flight there.
fn near_choices(in_flight_near: u32) -> usize {
    let mut rig = Rig::new();
    rig.observations.set_far(1, true);
    for _ in 0..in_flight_near {
        rig.observations.sent(0, rig.now, Duration::from_secs(1));
    }
    // Both have answered at the mean latency.
    for upstream in [0, 1] {
        for _ in 0..40 {
            rig.observations.sent(upstream, rig.now, Duration::from_secs(1));
            let answer = AttemptOutcome::Answered("part");
            let (mean, ejection) = (Duration::from_millis(10), Duration::from_secs(1));
            rig.observations.finished(upstream, &answer, mean, ejection, rig.now);
        }
    }
    let mut choose = || rig.observations.choose(&[0, 1], &[], 0.0, rig.now, &mut rig.random);
    (0..100).filter(|_| choose() == Some(0)).count()
}

#[test]
fn a_near_upstream_is_taken_until_it_is_the_much_busier_one() {
    assert_eq!(near_choices(0), 100);
    assert!(near_choices(8) < 10);
}
