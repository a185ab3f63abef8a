//! What a fan-out is given and what it asks for.

use std::sync::Arc;
use std::time::Instant;

use papayastack_macros::value;
use rand::Rng;

use super::budget::Budgets;
use super::health::Observations;
use super::quantile::QuantileTracker;
use crate::ids::{AttemptId, ServiceName, ShardId, SnapshotVersion};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::{ClassSettings, RoutingSettings};

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
