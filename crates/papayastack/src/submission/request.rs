//! The submissions and attempts that one VM holds in memory.

use std::time::Instant;

use super::key::SubmissionKey;
use super::record::{BodyDigest, RecordedOutcome, SubmissionAttempt};
use super::sender::SubmissionDone;
use crate::ids::ServiceName;
use crate::outcome::Refusal;

/// The id of a caller's request that waits at this VM.
pub(crate) type WaiterId = u64;
/// The answer to a caller's request.
pub(crate) type SubmissionResult = Result<SubmissionDone, Refusal>;

/// A caller's request that waits for an answer.
#[derive(Debug, Clone)]
pub(crate) struct Waiter {
    pub(crate) waiter_id: WaiterId,
    pub(crate) deadline: Instant,
}

/// A submission whose key, size, issue time and deadline were validated.
#[derive(Debug, Clone)]
pub(crate) struct CheckedSubmission {
    pub(crate) key: SubmissionKey,
    pub(crate) service: ServiceName,
    pub(crate) body: serde_json::Value,
    pub(crate) digest: BodyDigest,
    pub(crate) attempt: SubmissionAttempt,
    pub(crate) waiter: Waiter,
}

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No write under way contains the intent.
    Waiting,
    /// The intent is in a write that the platform has not answered.
    Claimed,
    /// The intent is recorded; the ledger floor has not been read since.
    Recorded,
    /// The submission was handed to the sender.
    Sent,
}

/// An attempt of this VM to run a submission, with the requests that wait for it.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) submission: CheckedSubmission,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) stage: Stage,
    /// Whether a write with the intent was sent whose acceptance is unknown.
    pub(crate) in_doubt: bool,
    pub(crate) arrived_at: Instant,
    /// The number of reads started before the attempt arrived; a later read returns everything that
    /// was recorded before the arrival.
    pub(crate) reads_at_arrival: u64,
}

impl Attempt {
    pub(crate) fn new(submission: CheckedSubmission, now: Instant, reads_at_arrival: u64) -> Self {
        let waiters = vec![submission.waiter.clone()];
        Self {
            submission,
            waiters,
            stage: Stage::Waiting,
            in_doubt: false,
            arrived_at: now,
            reads_at_arrival,
        }
    }

    /// Returns the latest deadline among the waiters.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }

    /// Returns whether the ledger may hold the attempt's intent.
    pub(crate) fn may_be_recorded(&self) -> bool {
        self.in_doubt || self.stage != Stage::Waiting
    }
}

/// The outcome of an attempt of this VM that is not yet recorded in the ledger.
#[derive(Debug)]
pub(crate) struct UnrecordedOutcome {
    pub(crate) key: SubmissionKey,
    pub(crate) outcome: RecordedOutcome,
    pub(crate) ended_at: Instant,
    /// Requests that are answered only once the outcome is recorded, so that a retry can run.
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) answer: Option<Refusal>,
}

impl UnrecordedOutcome {
    /// Returns the outcome of an attempt that ended before it was sent.
    pub(crate) fn never_sent(key: SubmissionKey, ended_at: Instant) -> Self {
        Self { key, outcome: RecordedOutcome::NotRun, ended_at, waiters: Vec::new(), answer: None }
    }
}
