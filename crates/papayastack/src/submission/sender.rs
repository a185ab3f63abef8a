//! The edge towards upstreams, and the messages of a submission inside the VM.

use std::time::Duration;

use async_trait::async_trait;
use papayastack_macros::value;

use crate::ids::ServiceName;
use crate::outcome::RefusalReason;
use crate::upstream::SubmitRequest;

/// How one sending of a submission ended.
#[value]
pub enum SendOutcome {
    /// An upstream ran the submission.
    Done {
        /// The upstream's receipt.
        receipt: String,
    },
    /// No upstream received the submission, or each one that did said that it did not run it.
    NotRun {
        /// Why it was not run.
        reason: RefusalReason,
        /// The explanation for a person.
        detail: String,
        /// When to come back; absent where the same request cannot succeed.
        retry_after: Option<Duration>,
    },
    /// An upstream may have run the submission.
    Unknown {
        /// The explanation for a person.
        detail: String,
    },
}

/// Sends submissions to upstreams.
#[async_trait]
pub trait SubmissionSender: Send + Sync + 'static {
    /// Hands the submission to one upstream of its service; goes on to another one only after a
    /// proven "not run".
    async fn send(&self, request: SubmitRequest) -> SendOutcome;
}

/// A submission as a VM accepted it.
#[value]
pub struct Submission {
    /// The service.
    pub service: ServiceName,
    /// The caller's key, not yet parsed.
    pub key: Option<String>,
    /// What is submitted.
    pub body: serde_json::Value,
}

/// A submission that ran.
#[value]
pub struct SubmissionDone {
    /// The upstream's receipt.
    pub receipt: String,
    /// Whether another request with the same key ran it.
    pub repeated: bool,
}
