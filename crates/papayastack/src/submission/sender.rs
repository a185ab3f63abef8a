//! The interface to upstreams, and the types of a submission and its result.

use std::time::Duration;

use async_trait::async_trait;
use papayastack_macros::value;

use crate::ids::ServiceName;
use crate::outcome::RefusalReason;
use crate::upstream::SubmitRequest;

/// The result of sending a submission to upstreams.
#[value]
pub enum SendOutcome {
    /// An upstream ran the submission.
    Done {
        /// The upstream's receipt.
        receipt: String,
    },
    /// No upstream received the submission, or each one that did reported that it did not run it.
    NotRun {
        /// Why it was not run.
        reason: RefusalReason,
        /// The explanation in readable text.
        detail: String,
        /// When to retry; absent if the same request cannot succeed.
        retry_after: Option<Duration>,
    },
    /// An upstream may have run the submission.
    Unknown {
        /// The explanation in readable text.
        detail: String,
    },
}

/// Sends submissions to upstreams.
#[async_trait]
pub trait SubmissionSender: Send + Sync + 'static {
    /// Sends the submission to one upstream of its service, and to another one only if the former
    /// provably did not run it.
    async fn send(&self, request: SubmitRequest) -> SendOutcome;
}

/// A submission as received from a caller, not yet validated.
#[value]
pub struct Submission {
    /// The service that the submission is for.
    pub service: ServiceName,
    /// The caller's key, not yet parsed.
    pub key: Option<String>,
    /// The content for the service.
    pub body: serde_json::Value,
}

/// A submission that ran.
#[value]
pub struct SubmissionDone {
    /// The upstream's receipt.
    pub receipt: String,
    /// Whether the submission ran for another request with the same key.
    pub repeated: bool,
}
