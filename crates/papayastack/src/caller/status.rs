//! The HTTP status and `Retry-After` value of each refusal.

use axum::http::StatusCode;

use crate::outcome::{Certainty, Refusal, RefusalReason};

const MILLISECONDS_PER_SECOND: u64 = 1000;

/// Returns the status of a refusal; 503 is used only if the request certainly did not run.
pub(crate) fn status_of(refusal: &Refusal) -> StatusCode {
    match refusal.reason() {
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::DeadlineTooShort | RefusalReason::DeadlineExceeded => {
            StatusCode::GATEWAY_TIMEOUT
        }
        RefusalReason::Conflict | RefusalReason::InProgress => StatusCode::CONFLICT,
        RefusalReason::NoLongerKnown => StatusCode::GONE,
        RefusalReason::EarlierAttemptUnknown => StatusCode::BAD_GATEWAY,
        RefusalReason::Overloaded
        | RefusalReason::NotReady
        | RefusalReason::Leaving
        | RefusalReason::StoreUnavailable
        | RefusalReason::UpstreamUnavailable => match refusal.certainty() {
            Certainty::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Certainty::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        },
    }
}

/// Returns the `Retry-After` value in whole seconds, rounded up.
pub(crate) fn retry_after_seconds(refusal: &Refusal) -> Option<u64> {
    let wait_ms = u64::try_from(refusal.retry_after()?.as_millis()).unwrap_or(u64::MAX);
    Some(wait_ms.div_ceil(MILLISECONDS_PER_SECOND))
}
