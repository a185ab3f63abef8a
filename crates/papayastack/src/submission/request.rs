//! A submission on its way through one VM.

use std::time::Instant;

use super::key::SubmissionKey;
use super::record::{BodyDigest, RecordedOutcome, SubmissionAttempt};
use super::sender::SubmissionDone;
use crate::ids::ServiceName;
use crate::outcome::Refusal;

/// Numbers a caller's request that waits at this VM.
pub(crate) type Ticket = u64;
/// What a caller's request gets.
pub(crate) type SubmissionResult = Result<SubmissionDone, Refusal>;

/// A caller's request that waits for an answer.
#[derive(Debug, Clone)]
pub(crate) struct Waiter {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: Instant,
}

/// A submission whose key and limits were checked.
#[derive(Debug, Clone)]
pub(crate) struct CheckedSubmission {
    pub(crate) key: SubmissionKey,
    pub(crate) service: ServiceName,
    pub(crate) body: serde_json::Value,
    pub(crate) digest: BodyDigest,
    pub(crate) attempt: SubmissionAttempt,
    pub(crate) waiter: Waiter,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its intent is in no write that may be accepted.
    Waiting,
    /// Its intent is in a write that may be accepted.
    Claimed,
    /// Its intent is recorded; the floor has not been read since.
    Recorded,
    /// It was handed to the sender.
    Sent,
}

/// One attempt of this VM, with the callers' requests that wait for it.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) submission: CheckedSubmission,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) stage: Stage,
    /// Whether a write with the intent may yet turn out to be accepted.
    pub(crate) in_doubt: bool,
    pub(crate) since: Instant,
    /// Reads started when the attempt arrived; a later read sees what was recorded before it.
    pub(crate) reads_before: u64,
}

impl Attempt {
    pub(crate) fn new(submission: CheckedSubmission, now: Instant, reads_before: u64) -> Self {
        let waiters = vec![submission.waiter.clone()];
        Self {
            submission,
            waiters,
            stage: Stage::Waiting,
            in_doubt: false,
            since: now,
            reads_before,
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

/// An outcome of an attempt of this VM that the ledger lacks.
#[derive(Debug)]
pub(crate) struct UnrecordedOutcome {
    pub(crate) key: SubmissionKey,
    pub(crate) outcome: RecordedOutcome,
    pub(crate) since: Instant,
    /// Callers that are told only when the outcome is recorded, so that their retry may run.
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) answer: Option<Refusal>,
}

impl UnrecordedOutcome {
    /// Returns the outcome of an attempt that ended before it was sent.
    pub(crate) fn never_sent(key: SubmissionKey, since: Instant) -> Self {
        Self { key, outcome: RecordedOutcome::NotRun, since, waiters: Vec::new(), answer: None }
    }
}
