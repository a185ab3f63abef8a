//! Refusals of submissions.
//!
//! Each refusal is built from a [`DeliveryRecord`], which records who may have received the
//! submission and thus determines whether the refusal proves that the submission did not run.

use std::time::Duration;

use super::key::{SubmissionKey, SubmissionKeyError};
use crate::outcome::{DeliveryRecord, Refusal, RefusalReason};

/// When the caller should retry to learn the outcome of a submission that may be running.
pub(crate) const OUTCOME_RETRY: Duration = Duration::from_millis(500);

const AN_UPSTREAM: &str = "an upstream";
const ANOTHER_ATTEMPT: &str = "another attempt";

/// Refuses a request that was sent to no upstream.
pub(crate) fn not_run(
    reason: RefusalReason,
    detail: impl Into<String>,
    retry_after: Option<Duration>,
) -> Refusal {
    DeliveryRecord::new().refuse(reason, detail, retry_after)
}

/// Refuses a request that upstreams received and declined to run.
pub(crate) fn returned_not_run(
    reason: RefusalReason,
    detail: impl Into<String>,
    retry_after: Option<Duration>,
) -> Refusal {
    let mut delivery = DeliveryRecord::new();
    delivery.sent_to(AN_UPSTREAM);
    delivery.confirmed_not_run(AN_UPSTREAM);
    delivery.refuse(reason, detail, retry_after)
}

/// Refuses a request that an upstream may have run.
pub(crate) fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
    let mut delivery = DeliveryRecord::new();
    delivery.sent_to(AN_UPSTREAM);
    delivery.refuse(reason, detail, Some(OUTCOME_RETRY))
}

pub(crate) fn bad_key(error: &SubmissionKeyError) -> Refusal {
    not_run(RefusalReason::BadRequest, error.to_string(), None)
}

pub(crate) fn issued_too_far_ahead(ahead_ms: u64, skew_max_ms: u64) -> Refusal {
    let detail = format!(
        "key: the time of issue lies {ahead_ms} ms ahead of this VM's clock, {skew_max_ms} ms are \
         allowed; set the caller's clock, then issue a new key"
    );
    not_run(RefusalReason::BadRequest, detail, None)
}

pub(crate) fn body_too_large(body_bytes: u64, max_bytes: u64) -> Refusal {
    let detail = format!("body: {body_bytes} bytes are too many, the limit is {max_bytes}");
    not_run(RefusalReason::BadRequest, detail, None)
}

pub(crate) fn conflict(key: &SubmissionKey) -> Refusal {
    let detail = format!(
        "key {key} was used for another service or body; this one did not run, issue a new key \
         for it"
    );
    not_run(RefusalReason::Conflict, detail, None)
}

pub(crate) fn store_unavailable(detail: &str, retry_after: Duration) -> Refusal {
    let detail = format!("{detail}; retry with the same key");
    not_run(RefusalReason::StoreUnavailable, detail, Some(retry_after))
}

pub(crate) fn deadline_before_sending() -> Refusal {
    let detail = "the deadline passed before the submission was sent; retry with the same key";
    not_run(RefusalReason::DeadlineExceeded, detail, Some(Duration::ZERO))
}

pub(crate) fn deadline_while_running() -> Refusal {
    let detail =
        "the deadline passed while the submission was running; ask again with the same key";
    may_have_run(RefusalReason::DeadlineExceeded, detail)
}

pub(crate) fn object_full() -> Refusal {
    let detail = "the ledger object of this time of issue is full; issue a new key";
    not_run(RefusalReason::Overloaded, detail, None)
}

pub(crate) fn no_longer_known(key: &SubmissionKey) -> Refusal {
    let detail = format!(
        "key {key} was issued before the retention window and will not run again; ask the \
         service itself whether it ran"
    );
    other_attempt(RefusalReason::NoLongerKnown, detail, None)
}

pub(crate) fn in_progress() -> Refusal {
    let detail = "another request is running this submission; ask again with the same key";
    other_attempt(RefusalReason::InProgress, detail, Some(OUTCOME_RETRY))
}

pub(crate) fn earlier_attempt_unknown() -> Refusal {
    let detail = "an earlier attempt may have run and will not be repeated; ask the service itself, \
                  or ask again with the same key in case its outcome is recorded";
    other_attempt(RefusalReason::EarlierAttemptUnknown, detail, None)
}

/// Refuses a request because another attempt of its key may have run.
fn other_attempt(
    reason: RefusalReason,
    detail: impl Into<String>,
    wait: Option<Duration>,
) -> Refusal {
    let mut delivery = DeliveryRecord::new();
    delivery.sent_to(ANOTHER_ATTEMPT);
    delivery.refuse(reason, detail, wait)
}
