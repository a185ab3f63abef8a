//! Retry policy: whether, where and when a failed request is sent again.

use std::time::Duration;

use papayastack_macros::value;

use crate::outcome::{Certainty, Refusal, RefusalReason};

/// The most attempts of one request.
const ATTEMPTS_MAX: u32 = 8;
/// The least remaining time with which another attempt is started.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(10);
/// The pause before a retry if no refusal names one.
const PAUSE_DEFAULT: Duration = Duration::from_millis(50);
/// The tokens that each new request adds to the retry budget, in thousandths of a retry.
const TOKENS_PER_REQUEST_MILLI: u64 = 100;
/// The most tokens that the retry budget holds, in thousandths of a retry.
const TOKENS_MAX_MILLI: u64 = 10_000;

/// The kind of a request, which decides whether a retry is safe.
#[value]
#[derive(Copy)]
pub(crate) enum CallKind {
    /// A query; running it twice does no harm.
    Query,
    /// A submission with a key; the system runs it at most once.
    KeyedSubmission,
    /// A submission without a key; only one that was not run may be sent again.
    UnkeyedSubmission,
}

/// How one attempt failed.
#[value]
pub(crate) enum AttemptFailure {
    /// No connection was made, so nothing was sent.
    NotConnected {
        /// A readable description of the cause.
        detail: String,
    },
    /// The request may have arrived, but no answer came.
    NoAnswer {
        /// A readable description of the cause.
        detail: String,
    },
    /// The VM refused the request.
    Refused(Refusal),
    /// The answer does not conform to this protocol.
    Unexpected {
        /// The HTTP status.
        status: u16,
        /// A readable description of the fault.
        detail: String,
    },
}

/// What to do after a failed attempt.
#[value]
pub(crate) enum RetryDecision {
    /// Send the request to another address now.
    OtherAddress,
    /// Send the request to any address after this pause, to which the client adds jitter.
    AfterPause(Duration),
    /// Report the failure.
    GiveUp,
}

/// A token bucket that bounds the retries of requests refused because a VM is overloaded, or an
/// upstream or the store is unavailable.
#[value]
pub(crate) struct RetryBudget {
    tokens_milli: u64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self { tokens_milli: TOKENS_MAX_MILLI }
    }

    /// Adds the tokens of a new request, up to `TOKENS_MAX_MILLI`.
    pub(crate) fn add_tokens(&mut self) {
        self.tokens_milli = (self.tokens_milli + TOKENS_PER_REQUEST_MILLI).min(TOKENS_MAX_MILLI);
    }

    fn take(&mut self) -> bool {
        let Some(left) = self.tokens_milli.checked_sub(1000) else { return false };
        self.tokens_milli = left;
        true
    }
}

/// Decides what to do after attempt number `attempts` failed with `remaining` time left.
pub(crate) fn decide(
    kind: CallKind,
    failure: &AttemptFailure,
    attempts: u32,
    remaining: Duration,
    has_untried_address: bool,
    budget: &mut RetryBudget,
) -> RetryDecision {
    if attempts >= ATTEMPTS_MAX || remaining < ATTEMPT_TIME_MIN {
        return RetryDecision::GiveUp;
    }
    let wanted = match failure {
        AttemptFailure::NotConnected { .. } => {
            other_address_or_pause(has_untried_address, PAUSE_DEFAULT)
        }
        AttemptFailure::NoAnswer { .. } => match kind {
            CallKind::Query | CallKind::KeyedSubmission => {
                other_address_or_pause(has_untried_address, PAUSE_DEFAULT)
            }
            CallKind::UnkeyedSubmission => RetryDecision::GiveUp,
        },
        AttemptFailure::Refused(refusal) => {
            after_refusal(kind, refusal, has_untried_address, budget)
        }
        AttemptFailure::Unexpected { .. } => RetryDecision::GiveUp,
    };
    match wanted {
        RetryDecision::AfterPause(pause) if pause.saturating_add(ATTEMPT_TIME_MIN) > remaining => {
            RetryDecision::GiveUp
        }
        decision => decision,
    }
}

fn after_refusal(
    kind: CallKind,
    refusal: &Refusal,
    has_untried_address: bool,
    budget: &mut RetryBudget,
) -> RetryDecision {
    let pause = refusal.retry_after().unwrap_or(PAUSE_DEFAULT);
    let may_retry = match kind {
        CallKind::Query | CallKind::KeyedSubmission => true,
        CallKind::UnkeyedSubmission => refusal.certainty() == Certainty::NotRun,
    };
    if !may_retry {
        return RetryDecision::GiveUp;
    }
    match refusal.reason() {
        RefusalReason::Leaving | RefusalReason::NotReady => {
            other_address_or_pause(has_untried_address, pause)
        }
        RefusalReason::Overloaded if budget.take() => {
            other_address_or_pause(has_untried_address, pause)
        }
        RefusalReason::UpstreamUnavailable | RefusalReason::StoreUnavailable if budget.take() => {
            RetryDecision::AfterPause(pause)
        }
        RefusalReason::InProgress => RetryDecision::AfterPause(pause),
        RefusalReason::Overloaded
        | RefusalReason::UpstreamUnavailable
        | RefusalReason::StoreUnavailable
        | RefusalReason::BadRequest
        | RefusalReason::UnknownService
        | RefusalReason::DeadlineTooShort
        | RefusalReason::DeadlineExceeded
        | RefusalReason::Conflict
        | RefusalReason::NoLongerKnown
        | RefusalReason::EarlierAttemptUnknown => RetryDecision::GiveUp,
    }
}

fn other_address_or_pause(has_untried_address: bool, pause: Duration) -> RetryDecision {
    if has_untried_address { RetryDecision::OtherAddress } else { RetryDecision::AfterPause(pause) }
}
