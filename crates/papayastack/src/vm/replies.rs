//! Conversion of an upstream's reply, or of a failed call, to the outcome of an attempt.

use crate::query::{AttemptOutcome, FailureReason, NotRunReason};
use crate::upstream::{SearchReply, SearchRequest, UpstreamError};

/// Converts a reply; one that does not match its request counts as malformed.
pub(crate) fn outcome_of(reply: SearchReply, request: &SearchRequest) -> AttemptOutcome {
    match reply {
        SearchReply::Found { query, attempt, partial } => {
            let matches_request = query == request.query
                && attempt == request.attempt
                && partial.shard == request.shard
                && partial.snapshot == request.snapshot;
            if matches_request {
                AttemptOutcome::Answered(partial)
            } else {
                AttemptOutcome::Failed(FailureReason::Malformed)
            }
        }
        SearchReply::Shed { .. } => AttemptOutcome::NotRun(NotRunReason::Shed),
        SearchReply::Draining => AttemptOutcome::NotRun(NotRunReason::Draining),
        SearchReply::SnapshotRetired { .. } => {
            AttemptOutcome::NotRun(NotRunReason::SnapshotRetired)
        }
        SearchReply::WrongShard => AttemptOutcome::NotRun(NotRunReason::WrongShard),
        SearchReply::Cancelled => AttemptOutcome::Failed(FailureReason::Cancelled),
    }
}

/// Converts a failed call; a lost answer counts as late once the deadline has passed.
pub(crate) fn outcome_of_error(error: &UpstreamError, past_deadline: bool) -> AttemptOutcome {
    match error {
        UpstreamError::NotSent { .. } => AttemptOutcome::NotRun(NotRunReason::ConnectFailed),
        UpstreamError::AnswerLost { .. } if past_deadline => {
            AttemptOutcome::Failed(FailureReason::DeadlineExceeded)
        }
        UpstreamError::AnswerLost { .. } => AttemptOutcome::Failed(FailureReason::AnswerLost),
        UpstreamError::Malformed { .. } => AttemptOutcome::Failed(FailureReason::Malformed),
    }
}
