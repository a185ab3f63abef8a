//! The names of outcomes, reasons and calls in metric labels and spans.

use papayastack_macros::closed_set;

use crate::outcome::{Answer, Certainty, Refusal, RefusalReason};
use crate::platform::PlatformError;
use crate::query::{AttemptOutcome, FailureReason, NotRunReason};

/// The label of an attempt that was answered.
pub(crate) const ANSWERED: &str = "answered";

/// How a query ended for its caller.
#[closed_set]
pub enum QueryOutcome {
    /// Documents were found and every shard answered.
    Found,
    /// Documents were found, but shards are missing.
    FoundPartial,
    /// Every shard answered and none holds a match.
    NoneFound,
    /// Nothing was found, but shards are missing.
    Inconclusive,
    /// Refused; no part ran.
    NotRun,
    /// Refused; some part may have run.
    OutcomeUnknown,
    /// The request was dropped before it ended, usually because the caller disconnected.
    Cancelled,
}

impl QueryOutcome {
    /// All outcomes.
    pub const ALL: [Self; 7] = [
        Self::Found,
        Self::FoundPartial,
        Self::NoneFound,
        Self::Inconclusive,
        Self::NotRun,
        Self::OutcomeUnknown,
        Self::Cancelled,
    ];

    /// Classifies an answer.
    pub fn of_answer(answer: &Answer) -> Self {
        let verdict = answer.verdict();
        if verdict.is_none_found() {
            Self::NoneFound
        } else if verdict.is_inconclusive() {
            Self::Inconclusive
        } else if answer.coverage().complete().is_some() {
            Self::Found
        } else {
            Self::FoundPartial
        }
    }

    /// Classifies a refusal.
    pub fn of_refusal(refusal: &Refusal) -> Self {
        match refusal.certainty() {
            Certainty::NotRun => Self::NotRun,
            Certainty::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }

    /// Returns the name in labels and spans.
    pub fn name(self) -> &'static str {
        match self {
            Self::Found => "found",
            Self::FoundPartial => "found_partial",
            Self::NoneFound => "none_found",
            Self::Inconclusive => "inconclusive",
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Cancelled => "cancelled",
        }
    }
}

/// How a submission ended for its caller.
#[closed_set]
pub enum SubmissionOutcome {
    /// The submission ran under this request.
    Done,
    /// The submission ran under an earlier request with the same key.
    Repeated,
    /// Refused; the submission did not run.
    NotRun,
    /// Refused; the submission may have run.
    OutcomeUnknown,
}

impl SubmissionOutcome {
    /// All outcomes.
    pub const ALL: [Self; 4] = [Self::Done, Self::Repeated, Self::NotRun, Self::OutcomeUnknown];

    /// Classifies a refusal.
    pub fn of_refusal(refusal: &Refusal) -> Self {
        match refusal.certainty() {
            Certainty::NotRun => Self::NotRun,
            Certainty::OutcomeUnknown => Self::OutcomeUnknown,
        }
    }

    /// Returns the name in labels and spans.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Repeated => "repeated",
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// The kinds of call to the platform.
#[closed_set]
pub enum PlatformCall {
    /// Reads an object.
    Read,
    /// Waits for a change of an object.
    Watch,
    /// Writes an object conditionally.
    Update,
    /// Deletes an object conditionally.
    Delete,
    /// Lists the objects of a kind.
    List,
    /// Lists the VMs.
    Vms,
}

impl PlatformCall {
    /// All kinds of call.
    pub const ALL: [Self; 6] =
        [Self::Read, Self::Watch, Self::Update, Self::Delete, Self::List, Self::Vms];

    /// Returns the name in labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Watch => "watch",
            Self::Update => "update",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Vms => "vms",
        }
    }
}

/// Returns the label of a call's result.
pub(crate) fn platform_result_name(error: Option<&PlatformError>) -> &'static str {
    match error {
        None => "ok",
        Some(PlatformError::NotFound) => "not_found",
        Some(PlatformError::Conflict) => "conflict",
        Some(PlatformError::RateLimited { .. }) => "rate_limited",
        Some(PlatformError::Unavailable) => "unavailable",
        Some(PlatformError::AnswerLost) => "answer_lost",
        Some(PlatformError::HistoryGone) => "history_gone",
        Some(PlatformError::Rejected { .. }) => "rejected",
    }
}

/// Returns the label of an attempt's outcome.
pub(crate) fn attempt_name<P>(outcome: &AttemptOutcome<P>) -> &'static str {
    match outcome {
        AttemptOutcome::Answered(_) => ANSWERED,
        AttemptOutcome::NotRun(reason) => match reason {
            NotRunReason::Shed => "shed",
            NotRunReason::Draining => "draining",
            NotRunReason::QueueFull => "queue_full",
            NotRunReason::WouldMissDeadline => "would_miss_deadline",
            NotRunReason::SnapshotRetired => "snapshot_retired",
            NotRunReason::WrongShard => "wrong_shard",
            NotRunReason::ConnectFailed => "connect_failed",
            NotRunReason::UnknownUpstream => "unknown_upstream",
            NotRunReason::AddressReused => "address_reused",
            NotRunReason::Cancelled => "cancelled_waiting",
        },
        AttemptOutcome::Failed(reason) => match reason {
            FailureReason::AnswerLost => "answer_lost",
            FailureReason::Malformed => "malformed",
            FailureReason::DeadlineExceeded => "deadline_exceeded",
            FailureReason::Cancelled => "cancelled_running",
            FailureReason::OwnerLost => "owner_lost",
            FailureReason::UpstreamFailed => "upstream_failed",
        },
    }
}

/// Returns the label of a refusal's reason.
pub(crate) fn reason_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "bad_request",
        RefusalReason::UnknownService => "unknown_service",
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::DeadlineTooShort => "deadline_too_short",
        RefusalReason::NotReady => "not_ready",
        RefusalReason::Leaving => "leaving",
        RefusalReason::StoreUnavailable => "store_unavailable",
        RefusalReason::UpstreamUnavailable => "upstream_unavailable",
        RefusalReason::DeadlineExceeded => "deadline_exceeded",
        RefusalReason::Conflict => "conflict",
        RefusalReason::NoLongerKnown => "no_longer_known",
        RefusalReason::InProgress => "in_progress",
        RefusalReason::EarlierAttemptUnknown => "earlier_attempt_unknown",
    }
}
