//! The messages on a link.

use papayastack_macros::message;

use crate::configuration::ConfigurationMessage;
use crate::ids::{AttemptId, QueryId, ServiceName, ShardId, SnapshotVersion, UpstreamId};
use crate::outcome::Refusal;
use crate::query::AttemptOutcome;
use crate::settings::QueryClass;
use crate::upstream::Selection;

/// A message from the VM that dialled the link.
#[message]
pub enum LinkRequest {
    /// Asks the peer to search shards at upstreams that it owns.
    Search(SearchBatch),
    /// Asks the peer to cancel attempts of a query.
    Cancel {
        /// The query that the attempts belong to.
        query: QueryId,
        /// The attempts to cancel.
        attempts: Vec<AttemptId>,
    },
    /// Asks the peer to run a submission whose bucket it owns.
    Submit(SubmissionRelay),
    /// Carries a message of the configuration protocol; no reply is expected.
    Configuration(ConfigurationMessage),
    /// Tells the peer that upstreams are leaving; no reply is expected.
    UpstreamsLeaving(Vec<UpstreamId>),
}

/// A message from the VM that accepted the link.
#[message]
pub enum LinkReply {
    /// The result of one attempt; each attempt gets exactly one.
    Search(SearchResult),
    /// The result of a relayed submission.
    Submit {
        /// The number of the relayed submission.
        id: RelayId,
        /// Its result.
        result: RelayResult,
    },
}

/// Numbers a relayed submission within the VM that relays it.
pub type RelayId = u64;

/// A submission on its way to the VM that owns its bucket.
#[message]
pub struct SubmissionRelay {
    /// The number of the relayed submission.
    pub id: RelayId,
    /// The service that takes the submission.
    pub service: ServiceName,
    /// The caller's key, not yet parsed.
    pub key: Option<String>,
    /// The body of the submission.
    pub body: serde_json::Value,
    /// The time that is left, in milliseconds.
    pub remaining_ms: u64,
}

/// The result of a relayed submission.
#[message]
pub enum RelayResult {
    /// The submission ran.
    Done {
        /// The upstream's receipt.
        receipt: String,
        /// Whether the submission ran for another request with the same key.
        repeated: bool,
    },
    /// The submission was refused.
    Refused(Refusal),
}

/// Attempts of one query for one owner.
#[message]
pub struct SearchBatch {
    /// The query that the attempts belong to.
    pub query: QueryId,
    /// The service that the query searches.
    pub service: ServiceName,
    /// The snapshot that the query is pinned to.
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
    /// The attempts, each with its shard and its upstream.
    pub items: Vec<SearchItem>,
}

/// One attempt of a batch.
#[message]
pub struct SearchItem {
    /// The id of the attempt, unique within the query.
    pub attempt: AttemptId,
    /// The shard to search.
    pub shard: ShardId,
    /// The upstream to ask.
    pub upstream: UpstreamId,
}

/// The result of one attempt.
#[message]
pub struct SearchResult {
    /// The query that the attempt belongs to.
    pub query: QueryId,
    /// The id of the attempt, unique within the query.
    pub attempt: AttemptId,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Sub-requests that wait for the upstream at its owner.
    pub queue_len: u32,
}

impl LinkRequest {
    /// Returns how many replies the request expects.
    pub(crate) fn replies_expected(&self) -> usize {
        match self {
            Self::Search(batch) => batch.items.len(),
            Self::Submit(_) => 1,
            Self::Cancel { .. } | Self::Configuration(_) | Self::UpstreamsLeaving(_) => 0,
        }
    }
}
