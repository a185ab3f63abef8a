//! What a fan-out is given and what it asks for.

use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, value};
use rand::Rng;

use super::budget::Budgets;
use super::health::Observations;
use super::quantile::QuantileTracker;
use crate::ids::{AttemptId, ServiceName, ShardId, SnapshotVersion};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::{ClassSettings, RoutingSettings};

/// The hedge delay before latencies are known, unless a request has its own.
const HEDGE_DELAY_INITIAL: Duration = Duration::from_millis(100);

/// What one request asks of the gathering.
#[value]
pub struct GatherSpec {
    /// The shards with their replicas; a single service is the only shard.
    pub shards: Arc<Vec<ShardReplicas>>,
    /// When the answer must be made.
    pub deadline: Instant,
    /// The treatment of the request's class.
    pub class: ClassSettings,
    /// The routing settings that the request began with.
    pub routing: RoutingSettings,
    /// What the request allows.
    pub rules: GatherRules,
}

/// What one request allows beyond the settings of its class.
#[value]
pub struct GatherRules {
    /// The most attempts for one shard that may reach an upstream.
    pub attempts_max: u32,
    /// When a second attempt may follow.
    pub repeat: Repeat,
    /// What happens once no replica is left to try.
    pub exhausted: Exhausted,
    /// From when on a part of the shards is enough.
    pub enough: Option<Enough>,
    /// The service of each shard, whose window pays for repeats; without it, tokens pay.
    pub services: Option<Arc<[ServiceName]>>,
    /// The hedge delay before latencies are known.
    pub hedge_delay_initial: Duration,
    /// The longest hedge delay.
    pub hedge_delay_max: Duration,
    /// Which attempts are cancelled once they are not needed.
    pub losers: Losers,
}

impl Default for GatherRules {
    fn default() -> Self {
        Self {
            attempts_max: u32::MAX,
            repeat: Repeat::Freely,
            exhausted: Exhausted::PauseAndRetry,
            enough: None,
            services: None,
            hedge_delay_initial: HEDGE_DELAY_INITIAL,
            hedge_delay_max: Duration::MAX,
            losers: Losers::Cancel,
        }
    }
}

/// When a second attempt for a shard may follow a first one.
#[closed_set]
pub enum Repeat {
    /// Whenever it helps.
    Freely,
    /// Only once it is certain that no earlier attempt ran.
    OnlyIfNotRun,
}

/// What becomes of attempts that are not needed any more.
#[closed_set]
pub enum Losers {
    /// They are cancelled.
    Cancel,
    /// They are cancelled where requests wait for the upstream; elsewhere they end by themselves,
    /// since a cancellation costs the connection.
    CancelWhereOthersWait,
}

/// What happens to a shard once no replica is left to try.
#[closed_set]
pub enum Exhausted {
    /// All replicas are tried again after a pause.
    PauseAndRetry,
    /// The shard is given up.
    GiveUp,
}

/// From when on a part of the shards is enough for an answer.
#[value]
#[derive(Copy)]
pub struct Enough {
    /// The moment.
    pub at: Instant,
    /// The shards that must have answered.
    pub shards_min: usize,
}

/// What one query asks of the fan-out.
#[value]
pub struct FanoutSpec {
    /// The service.
    pub service: ServiceName,
    /// The pinned snapshot.
    pub snapshot: SnapshotVersion,
    /// The pinned shard map.
    pub shards: Arc<Vec<ShardReplicas>>,
    /// The most hits in the answer.
    pub hits_limit: usize,
    /// When the answer must be made.
    pub deadline: Instant,
    /// The treatment of the query's class.
    pub class: ClassSettings,
    /// The routing settings that the query began with.
    pub routing: RoutingSettings,
}

impl FanoutSpec {
    /// Splits off what only the merging of the answer needs.
    pub(crate) fn into_parts(self) -> (GatherSpec, ServiceName, SnapshotVersion, usize) {
        let Self { service, snapshot, shards, hits_limit, deadline, class, routing } = self;
        let rules = GatherRules::default();
        (GatherSpec { shards, deadline, class, routing, rules }, service, snapshot, hits_limit)
    }
}

/// What all queries of a VM share, lent to one decision.
pub struct FanoutContext<'a, R: Rng> {
    /// The observations of upstreams.
    pub observations: &'a mut Observations,
    /// The budgets of hedges and retries.
    pub budgets: &'a mut Budgets,
    /// The latency of each shard of the service, one tracker per position in the shard map.
    pub latencies: &'a mut Vec<QuantileTracker>,
    /// The source of randomness.
    pub random: &'a mut R,
    /// The time of the decision.
    pub now: Instant,
}

/// What the fan-out wants done.
#[value]
pub enum Command {
    /// Send an attempt.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The shard to search.
        shard: ShardId,
        /// The upstream to ask.
        upstream: UpstreamIndex,
    },
    /// Cancel an attempt that is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream that was asked.
        upstream: UpstreamIndex,
    },
    /// The pinned snapshot is gone from every replica of a shard.
    SnapshotGone,
    /// Every shard has answered or is given up.
    Finished,
}

/// When one attempt was sent and answered, to explain a slow request.
#[value]
#[derive(Copy)]
pub struct AttemptTrace {
    /// The shard.
    pub shard: ShardId,
    /// The upstream that was asked.
    pub upstream: UpstreamIndex,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its reply came; nothing where none has.
    pub ended_at: Option<Instant>,
    /// Whether an earlier attempt was still running.
    pub hedge: bool,
}

/// Counts of one query, for extra load and for dropped replies.
#[value]
#[derive(Default)]
pub struct FanoutCounts {
    /// Sub-requests that the query needed, one for each shard.
    pub needed: u64,
    /// Sub-requests that were handed on, without those that provably reached no upstream.
    pub sent: u64,
    /// Hedges among those sent.
    pub hedges: u64,
    /// Retries among those sent.
    pub retries: u64,
    /// Attempts that may have run without giving an answer.
    pub unresolved: u64,
    /// Replies dropped because they were late, duplicated, crossed or malformed.
    pub dropped: u64,
}
