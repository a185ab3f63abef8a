//! The refusals of submissions; each states its certainty through the hand-offs behind it.

use std::time::Duration;

use super::key::{SubmissionKey, SubmissionKeyError};
use crate::outcome::{Custody, Refusal, RefusalReason};

/// When to ask again for the outcome of a submission that is running.
pub(crate) const OUTCOME_RETRY: Duration = Duration::from_millis(500);

const AN_UPSTREAM: &str = "an upstream";
const ANOTHER_ATTEMPT: &str = "another attempt";

/// Refuses a request of which nobody else received anything.
pub(crate) fn not_run(
    reason: RefusalReason,
    detail: impl Into<String>,
    retry_after: Option<Duration>,
) -> Refusal {
    Custody::new().refuse(reason, detail, retry_after)
}

/// Refuses a request that upstreams received and returned without running it.
pub(crate) fn returned_not_run(
    reason: RefusalReason,
    detail: impl Into<String>,
    retry_after: Option<Duration>,
) -> Refusal {
    let mut custody = Custody::new();
    custody.handed_to(AN_UPSTREAM);
    custody.returned_not_run(AN_UPSTREAM);
    custody.refuse(reason, detail, retry_after)
}

/// Refuses a request that an upstream may have run.
pub(crate) fn sent(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
    let mut custody = Custody::new();
    custody.handed_to(AN_UPSTREAM);
    custody.refuse(reason, detail, Some(OUTCOME_RETRY))
}

pub(crate) fn bad_key(error: &SubmissionKeyError) -> Refusal {
    not_run(RefusalReason::BadRequest, error.to_string(), None)
}

pub(crate) fn too_far_ahead(ahead_ms: u64, skew_max_ms: u64) -> Refusal {
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

pub(crate) fn late_while_running() -> Refusal {
    let detail =
        "the deadline passed while the submission was running; ask again with the same key";
    sent(RefusalReason::DeadlineExceeded, detail)
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
    earlier(RefusalReason::NoLongerKnown, detail, None)
}

pub(crate) fn in_progress() -> Refusal {
    let detail = "another request is running this submission; ask again with the same key";
    earlier(RefusalReason::InProgress, detail, Some(OUTCOME_RETRY))
}

pub(crate) fn earlier_attempt_unknown() -> Refusal {
    let detail = "an earlier attempt may have run and will not be repeated; ask the service itself, \
                  or ask again with the same key in case its outcome is recorded";
    earlier(RefusalReason::EarlierAttemptUnknown, detail, None)
}

fn earlier(reason: RefusalReason, detail: impl Into<String>, wait: Option<Duration>) -> Refusal {
    let mut custody = Custody::new();
    custody.handed_to(ANOTHER_ATTEMPT);
    custody.refuse(reason, detail, wait)
}
