//! The exit codes of `papayaq`.

use std::process::ExitCode;

use papayastack::{Answer, CallError, Certainty, RefusalReason};
use papayastack_macros::value;

/// The outcome of a run; the number is the exit code.
#[value]
#[derive(Copy)]
pub(crate) enum Exit {
    /// Documents were found and every shard answered, a submission ran, or addresses were received.
    Complete = 0,
    /// Every shard answered and none has a match.
    NoneFound = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Documents were found, but shards are missing.
    Partial = 3,
    /// Nothing was found, but shards are missing.
    Inconclusive = 4,
    /// Refused; nothing ran.
    NotRun = 5,
    /// It may have run.
    OutcomeUnknown = 6,
    /// The submission's key was used with another body.
    Conflict = 7,
    /// Another request is running the submission.
    InProgress = 8,
    /// The submission's key is older than the retained records.
    NoLongerKnown = 9,
}

impl Exit {
    /// Returns the exit code of an answer.
    pub(crate) fn from_answer(answer: &Answer) -> Self {
        let verdict = answer.verdict();
        if verdict.is_none_found() {
            Self::NoneFound
        } else if verdict.is_inconclusive() {
            Self::Inconclusive
        } else if answer.coverage().complete().is_some() {
            Self::Complete
        } else {
            Self::Partial
        }
    }

    /// Returns the exit code of a failed call.
    pub(crate) fn from_error(error: &CallError) -> Self {
        let reason = match error {
            CallError::Refused(answer) => Some(answer.refusal.reason()),
            CallError::NotConnected { .. }
            | CallError::NoAnswer { .. }
            | CallError::Unexpected { .. } => None,
        };
        match (reason, error.certainty()) {
            (Some(RefusalReason::Conflict), _) => Self::Conflict,
            (Some(RefusalReason::InProgress), _) => Self::InProgress,
            (Some(RefusalReason::NoLongerKnown), _) => Self::NoLongerKnown,
            (_, Certainty::NotRun) => Self::NotRun,
            (_, Certainty::OutcomeUnknown) => Self::OutcomeUnknown,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
