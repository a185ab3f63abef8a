//! The messages of the upstreams' HTTP interface, JSON both ways.
//!
//! | path | body | reply |
//! |---|---|---|
//! | `POST /search` | [`SearchRequest`] | [`SearchReply`] |
//! | `POST /cancel` | [`CancelRequest`] | empty; the search itself then answers `Cancelled` |
//! | `POST /submit` | [`SubmitRequest`] | [`SubmitReply`] |
//! | `GET /load` | | `{"slots_busy", "slots", "queue", "draining"}`, which may be stale or wrong |
//!
//! Every reply to a request that the upstream understood has status 200; its kind is in the body.

use papayastack_macros::message;

use crate::ids::{AttemptId, QueryId, ServiceName, ShardId, SnapshotVersion};
use crate::outcome::Partial;

/// What a query looks for.
#[message]
#[serde(rename_all = "snake_case")]
pub enum Selection {
    /// Documents that contain every term.
    Terms(Vec<String>),
    /// The document with this key.
    Key(String),
}

/// A request to search one shard.
#[message]
pub struct SearchRequest {
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The query that the search belongs to.
    pub query: QueryId,
    /// The attempt, unique within the query.
    pub attempt: AttemptId,
    /// The shard to search.
    pub shard: ShardId,
    /// The snapshot to search.
    pub snapshot: SnapshotVersion,
    /// What to look for.
    pub selection: Selection,
    /// The most hits to return.
    pub hits_limit: u32,
    /// The time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// The reply to a [`SearchRequest`].
#[message]
#[serde(rename_all = "snake_case")]
pub enum SearchReply {
    /// The shard was searched.
    Found {
        /// The id of the query, copied from the request.
        query: QueryId,
        /// The id of the attempt, copied from the request.
        attempt: AttemptId,
        /// The hits of the shard.
        partial: Partial,
    },
    /// Not run: no slot is free.
    Shed {
        /// How long to wait before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Not run: the upstream is shutting down.
    Draining,
    /// Not run: the upstream no longer holds the snapshot.
    SnapshotRetired {
        /// The newest snapshot that the upstream holds.
        newest: SnapshotVersion,
    },
    /// Not run: the upstream does not hold the shard.
    WrongShard,
    /// Stopped: cancelled by request, or the deadline passed.
    Cancelled,
}

/// A request to stop a search.
#[message]
pub struct CancelRequest {
    /// The query that the search belongs to.
    pub query: QueryId,
    /// The attempt that the search belongs to.
    pub attempt: AttemptId,
}

/// A request to run a submission; submissions are not idempotent.
#[message]
pub struct SubmitRequest {
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The caller's key.
    pub key: String,
    /// The content of the submission.
    pub body: serde_json::Value,
    /// The time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// The reply to a [`SubmitRequest`].
#[message]
#[serde(rename_all = "snake_case")]
pub enum SubmitReply {
    /// The submission ran.
    Done {
        /// The upstream's receipt.
        receipt: String,
    },
    /// Not run: no slot is free.
    Shed {
        /// How long to wait before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Not run: the upstream is shutting down.
    Draining,
    /// Not run: the upstream refuses the content.
    Rejected {
        /// The upstream's explanation.
        detail: String,
    },
}
