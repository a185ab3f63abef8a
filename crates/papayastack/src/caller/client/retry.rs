//! Whether a request that failed may be sent again, where, and when.

use std::time::Duration;

use papayastack_macros::value;

use crate::outcome::{Certainty, Refusal, RefusalReason};

/// Attempts of one request at most.
const ATTEMPTS_MAX: u32 = 8;
/// The least time that makes another attempt worthwhile.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(10);
/// The pause where a refusal names none.
const PAUSE_DEFAULT: Duration = Duration::from_millis(50);
/// Retries of overloaded requests earned by each request, in thousandths.
const BUDGET_EARNED_MILLI: u64 = 100;
/// Retries of overloaded requests that can be saved up, in thousandths.
const BUDGET_SAVED_MAX_MILLI: u64 = 10_000;

/// What a request is, as far as retries go.
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
        /// The cause, for a person.
        detail: String,
    },
    /// The request may have arrived, but no answer came.
    NoAnswer {
        /// The cause, for a person.
        detail: String,
    },
    /// The VM refused.
    Refused(Refusal),
    /// The answer is not one of this protocol.
    Unexpected {
        /// The HTTP status.
        status: u16,
        /// The cause, for a person.
        detail: String,
    },
}

/// What to do after a failed attempt.
#[value]
pub(crate) enum Decision {
    /// Send it to another address now.
    Elsewhere,
    /// Send it to any address after a pause, which is to be jittered.
    After(Duration),
    /// Report the failure.
    GiveUp,
}

/// Bounds the retries of requests that were refused for lack of room.
#[value]
pub(crate) struct RetryBudget {
    saved_milli: u64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self { saved_milli: BUDGET_SAVED_MAX_MILLI }
    }

    /// Earns a share of a retry for a new request.
    pub(crate) fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + BUDGET_EARNED_MILLI).min(BUDGET_SAVED_MAX_MILLI);
    }

    fn take(&mut self) -> bool {
        let Some(left) = self.saved_milli.checked_sub(1000) else { return false };
        self.saved_milli = left;
        true
    }
}

/// Decides what to do after attempt number `attempts` failed with `remaining` time left.
pub(crate) fn decide(
    kind: CallKind,
    failure: &AttemptFailure,
    attempts: u32,
    remaining: Duration,
    address_left: bool,
    budget: &mut RetryBudget,
) -> Decision {
    if attempts >= ATTEMPTS_MAX || remaining < ATTEMPT_TIME_MIN {
        return Decision::GiveUp;
    }
    let wanted = match failure {
        AttemptFailure::NotConnected { .. } => elsewhere(address_left, PAUSE_DEFAULT),
        AttemptFailure::NoAnswer { .. } => match kind {
            CallKind::Query | CallKind::KeyedSubmission => elsewhere(address_left, PAUSE_DEFAULT),
            CallKind::UnkeyedSubmission => Decision::GiveUp,
        },
        AttemptFailure::Refused(refusal) => after_refusal(kind, refusal, address_left, budget),
        AttemptFailure::Unexpected { .. } => Decision::GiveUp,
    };
    match wanted {
        Decision::After(pause) if pause.saturating_add(ATTEMPT_TIME_MIN) > remaining => {
            Decision::GiveUp
        }
        decision => decision,
    }
}

fn after_refusal(
    kind: CallKind,
    refusal: &Refusal,
    address_left: bool,
    budget: &mut RetryBudget,
) -> Decision {
    let pause = refusal.retry_after().unwrap_or(PAUSE_DEFAULT);
    let repeatable = match kind {
        CallKind::Query | CallKind::KeyedSubmission => true,
        CallKind::UnkeyedSubmission => refusal.certainty() == Certainty::NotRun,
    };
    if !repeatable {
        return Decision::GiveUp;
    }
    match refusal.reason() {
        RefusalReason::Leaving | RefusalReason::NotReady => elsewhere(address_left, pause),
        RefusalReason::Overloaded if budget.take() => elsewhere(address_left, pause),
        RefusalReason::UpstreamUnavailable | RefusalReason::StoreUnavailable if budget.take() => {
            Decision::After(pause)
        }
        RefusalReason::InProgress => Decision::After(pause),
        RefusalReason::Overloaded
        | RefusalReason::UpstreamUnavailable
        | RefusalReason::StoreUnavailable
        | RefusalReason::BadRequest
        | RefusalReason::UnknownService
        | RefusalReason::DeadlineTooShort
        | RefusalReason::DeadlineExceeded
        | RefusalReason::Conflict
        | RefusalReason::NoLongerKnown
        | RefusalReason::EarlierAttemptUnknown => Decision::GiveUp,
    }
}

fn elsewhere(address_left: bool, pause: Duration) -> Decision {
    if address_left { Decision::Elsewhere } else { Decision::After(pause) }
}
