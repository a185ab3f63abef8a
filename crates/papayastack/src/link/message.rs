//! The messages on a link.

use papayastack_macros::message;

use crate::ids::{AttemptId, QueryId, ServiceName, ShardId, SnapshotVersion, UpstreamId};
use crate::query::AttemptOutcome;
use crate::settings::QueryClass;
use crate::upstream::Selection;

/// What the dialling VM sends.
#[message]
pub enum LinkRequest {
    /// Searches shards at upstreams that the peer owns.
    Search(SearchBatch),
    /// Cancels attempts of a query.
    Cancel {
        /// The query.
        query: QueryId,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
}

/// What the accepting VM sends back.
#[message]
pub enum LinkReply {
    /// The result of one attempt; each attempt gets exactly one.
    Search(SearchResult),
}

/// Attempts of one query for one owner.
#[message]
pub struct SearchBatch {
    /// The query.
    pub query: QueryId,
    /// The service.
    pub service: ServiceName,
    /// The pinned snapshot.
    pub snapshot: SnapshotVersion,
    /// The class, which orders the owner's queues.
    pub class: QueryClass,
    /// What to look for.
    pub selection: Selection,
    /// The most hits for each shard.
    pub hits_limit: u32,
    /// The time that is left, in milliseconds.
    pub remaining_ms: u64,
    /// The W3C trace context of the sender's span.
    pub traceparent: String,
    /// The attempts.
    pub items: Vec<SearchItem>,
}

/// One attempt of a batch.
#[message]
pub struct SearchItem {
    /// The attempt.
    pub attempt: AttemptId,
    /// The shard.
    pub shard: ShardId,
    /// The upstream to ask.
    pub upstream: UpstreamId,
}

/// The result of one attempt.
#[message]
pub struct SearchResult {
    /// The query.
    pub query: QueryId,
    /// The attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: AttemptOutcome,
    /// Sub-requests that wait for the upstream at its owner.
    pub queue_len: u32,
}

impl LinkRequest {
    /// Returns how many replies the request calls for.
    pub(crate) fn replies_expected(&self) -> usize {
        match self {
            Self::Search(batch) => batch.items.len(),
            Self::Cancel { .. } => 0,
        }
    }
}
