//! The processor time of the routing decisions of one query: plan, reply accounting, merge.

use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{
    AttemptOutcome, Budgets, ClassSettings, Command, Fanout, FanoutContext, FanoutSpec,
    Observations, Partial, QuantileTracker, QueryClass, RoutingSettings, ShardReplicas,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

use crate::{TARGET_SHARDS, fit, machine};

/// The measured query sizes, in shards.
const SIZES: [u32; 4] = [10, 100, 830, 5_000];
/// The total number of sub-requests timed for each size.
const SUB_REQUESTS: u32 = 1_000_000;
/// The number of replicas of each shard.
const REPLICAS: u32 = 3;

/// Measures how the processor time of a query, in microseconds, grows with its number of shards.
pub(crate) fn measure() -> Value {
    let points: Vec<(f64, f64)> =
        SIZES.iter().map(|shards| (f64::from(*shards), microseconds_per_query(*shards))).collect();
    let per_shard: Vec<f64> = points.iter().map(|(shards, total)| total / shards).collect();
    json!({
        "unit": "processor microseconds a query, over shards",
        "microseconds_a_shard": per_shard,
        "fit": fit::report(&points, TARGET_SHARDS),
    })
}

fn microseconds_per_query(shards: u32) -> f64 {
    let mut state = RoutingState::new();
    let map = Arc::new((0..shards).map(shard_replicas).collect::<Vec<_>>());
    let rounds = SUB_REQUESTS / shards;
    state.run_query(&map);
    let started = machine::processor_seconds();
    for _ in 0..rounds {
        state.run_query(&map);
    }
    (machine::processor_seconds() - started) * 1e6 / f64::from(rounds)
}

fn shard_replicas(shard: u32) -> ShardReplicas {
    ShardReplicas { shard, replicas: (0..REPLICAS).map(|it| shard * REPLICAS + it).collect() }
}

/// The routing state that a VM keeps from one query to the next.
struct RoutingState {
    observations: Observations,
    budgets: Budgets,
    latencies: Vec<QuantileTracker>,
    random: SmallRng,
    now: Instant,
}

impl RoutingState {
    fn new() -> Self {
        Self {
            observations: Observations::new(),
            budgets: Budgets::new(),
            latencies: Vec::new(),
            random: SmallRng::seed_from_u64(1),
            now: Instant::now(),
        }
    }

    fn context(&mut self) -> FanoutContext<'_, SmallRng> {
        FanoutContext {
            observations: &mut self.observations,
            budgets: &mut self.budgets,
            latencies: &mut self.latencies,
            random: &mut self.random,
            now: self.now,
        }
    }

    /// Runs one query whose shards all answer after 5 ms.
    fn run_query(&mut self, map: &Arc<Vec<ShardReplicas>>) {
        let spec = FanoutSpec {
            service: "deadline-board".to_owned(),
            snapshot: 1,
            shards: Arc::clone(map),
            hits_limit: 100,
            deadline: self.now + Duration::from_secs(1),
            class: ClassSettings::default_of(QueryClass::Sweep),
            routing: RoutingSettings::default(),
        };
        let (mut fanout, commands) = Fanout::start(spec, &mut self.context());
        self.now += Duration::from_millis(5);
        for command in commands {
            if let Command::Send { attempt, shard, .. } = command {
                let partial = Partial { snapshot: 1, shard, hits: Vec::new(), hits_total: 0 };
                let outcome = AttemptOutcome::Answered(partial);
                fanout.on_reply(attempt, outcome, &mut self.context());
            }
        }
        assert!(fanout.take_answer().is_some_and(|answer| answer.verdict().is_none_found()));
    }
}
