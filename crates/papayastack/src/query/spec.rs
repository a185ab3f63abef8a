//! Inputs and outputs of a fan-out: specification, shared context, commands and counters.

use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, value};
use rand::Rng;

use super::budget::Budgets;
use super::health::Observations;
use super::quantile::QuantileTracker;
use crate::ids::{AttemptId, ServiceName, ShardId, SnapshotVersion};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::{ClassSettings, QueryClass, RoutingSettings};

/// The default hedge delay until enough latencies have been measured.
const HEDGE_DELAY_INITIAL: Duration = Duration::from_millis(100);

/// The specification of one scatter-gather request.
#[value]
pub struct GatherSpec {
    /// The shards with their replicas; a request to a single service has one shard.
    pub shards: Arc<Vec<ShardReplicas>>,
    /// When the request gives up the shards that have not answered.
    pub deadline: Instant,
    /// The settings of the request's class.
    pub class: ClassSettings,
    /// The routing settings that applied when the request started.
    pub routing: RoutingSettings,
    /// The limits and policies of the request.
    pub rules: GatherRules,
}

/// Limits and policies of one request beyond the settings of its class.
#[value]
pub struct GatherRules {
    /// The most attempts for one shard that may reach an upstream.
    pub attempts_max: u32,
    /// Which failed attempts may be retried.
    pub retry_policy: RetryPolicy,
    /// What happens once no replica is left to try.
    pub on_exhausted: OnExhausted,
    /// When the request may finish with only some of its shards answered.
    pub early_finish: Option<EarlyFinish>,
    /// The service of each shard, whose sliding window bounds hedges and retries; without it, the
    /// token budgets bound them.
    pub services: Option<Arc<[ServiceName]>>,
    /// The hedge delay until enough latencies have been measured.
    pub hedge_delay_initial: Duration,
    /// The longest hedge delay.
    pub hedge_delay_max: Duration,
    /// Which attempts are cancelled once they are not needed.
    pub unneeded_attempts: UnneededAttempts,
    /// Which requests come first where upstreams limit their rate.
    pub urgency: QueryClass,
}

impl Default for GatherRules {
    fn default() -> Self {
        Self {
            attempts_max: u32::MAX,
            retry_policy: RetryPolicy::Freely,
            on_exhausted: OnExhausted::PauseAndRetry,
            early_finish: None,
            services: None,
            hedge_delay_initial: HEDGE_DELAY_INITIAL,
            hedge_delay_max: Duration::MAX,
            unneeded_attempts: UnneededAttempts::Cancel,
            urgency: QueryClass::Sweep,
        }
    }
}

/// Which attempts without an answer may be retried.
#[closed_set]
pub enum RetryPolicy {
    /// All attempts.
    Freely,
    /// Only attempts that certainly did not run.
    OnlyIfNotRun,
}

/// What happens to running attempts of a shard that is answered or given up.
#[closed_set]
pub enum UnneededAttempts {
    /// Cancels the attempts.
    Cancel,
    /// Cancels an attempt only if its upstream recently reported a queue. Other attempts run to
    /// completion, since a cancellation closes the connection.
    CancelWhereOthersWait,
}

/// What happens to a shard once no replica is left to try.
#[closed_set]
pub enum OnExhausted {
    /// All replicas are tried again after a pause.
    PauseAndRetry,
    /// The shard is given up.
    GiveUp,
}

/// Why no further attempt was made for a shard without an answer.
#[closed_set]
pub enum NoRetryReason {
    /// The shard has no replica, or none that is untried and takes a request now.
    NoReplica,
    /// The last attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// As many attempts as the request allows have been made.
    AttemptsUsedUp,
    /// The bound on the repeats of the shard's service is reached.
    RepeatsUsedUp,
    /// The request ended before its shard had an answer.
    RequestEnded,
}

/// Allows a request to finish before its deadline with only some of its shards answered.
#[value]
#[derive(Copy)]
pub struct EarlyFinish {
    /// The earliest time at which the request may finish in this way.
    pub at: Instant,
    /// The number of shards that must have answered.
    pub shards_min: usize,
}

/// The specification of the fan-out of one query.
#[value]
pub struct FanoutSpec {
    /// The service.
    pub service: ServiceName,
    /// The pinned snapshot.
    pub snapshot: SnapshotVersion,
    /// The pinned shard map.
    pub shards: Arc<Vec<ShardReplicas>>,
    /// The maximum number of hits in the answer.
    pub hits_limit: usize,
    /// When the query gives up the shards that have not answered.
    pub deadline: Instant,
    /// The settings of the query's class.
    pub class: ClassSettings,
    /// The routing settings that applied when the query started.
    pub routing: RoutingSettings,
}

impl FanoutSpec {
    /// Separates the specification for [`super::Gather`] from the fields that are only needed to
    /// merge the answer.
    pub(crate) fn into_parts(self) -> (GatherSpec, ServiceName, SnapshotVersion, usize) {
        let Self { service, snapshot, shards, hits_limit, deadline, class, routing } = self;
        let rules = GatherRules::default();
        (GatherSpec { shards, deadline, class, routing, rules }, service, snapshot, hits_limit)
    }
}

/// The state that all queries of a VM share, borrowed for one decision.
pub struct FanoutContext<'a, R: Rng> {
    /// The observations of upstreams.
    pub observations: &'a mut Observations,
    /// The budgets of hedges and retries.
    pub budgets: &'a mut Budgets,
    /// The latency of each shard of the service, one tracker per position in the shard map.
    pub latencies: &'a mut Vec<QuantileTracker>,
    /// The random number generator.
    pub random: &'a mut R,
    /// The time of the decision.
    pub now: Instant,
}

/// An action that the caller of [`super::Gather`] or [`super::Fanout`] must carry out.
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
    /// No replica of some shard holds the pinned snapshot any longer.
    SnapshotGone,
    /// Every shard has answered or is given up.
    Finished,
}

/// When one attempt was sent and ended, to explain a slow request.
#[value]
#[derive(Copy)]
pub struct AttemptTrace {
    /// The shard.
    pub shard: ShardId,
    /// The upstream that was asked.
    pub upstream: UpstreamIndex,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its reply arrived; `None` if none has.
    pub ended_at: Option<Instant>,
    /// Whether an earlier attempt was still running.
    pub hedge: bool,
}

/// Counters of one query: sub-requests, extra load and dropped replies.
#[value]
#[derive(Default)]
pub struct FanoutCounts {
    /// Sub-requests that the query needed, one for each shard.
    pub needed: u64,
    /// Sub-requests that were sent, without those that are known not to have reached an upstream.
    pub sent: u64,
    /// Hedges among those sent.
    pub hedges: u64,
    /// Retries among those sent.
    pub retries: u64,
    /// Attempts that may have run but gave no answer.
    pub unresolved: u64,
    /// Replies dropped because they were late, duplicated or of another shard or snapshot.
    pub dropped: u64,
}
