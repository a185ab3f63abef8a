//! The status of a key according to the last known content of its ledger object.

use super::LedgerWriter;
use crate::submission::record::RecordedOutcome;
use crate::submission::refusals;
use crate::submission::request::{Attempt, SubmissionResult};
use crate::submission::sender::SubmissionDone;

/// What the last known content of the ledger object means for an attempt.
pub(super) enum KeyStatus {
    /// No attempt of the key has run or may still run: an intent may be recorded.
    MayRecord,
    /// The intent of this very attempt is recorded.
    OwnIntent,
    /// Another attempt's entry decides the answer to the request.
    Answer(SubmissionResult),
    /// The content was read before the attempt arrived and shows another attempt without an
    /// outcome; only a new read can decide.
    NeedsRead,
}

impl LedgerWriter {
    /// Derives the status from the last known content and this VM's unrecorded outcomes.
    pub(super) fn key_status(&self, attempt: &Attempt, unix_ms: u64) -> KeyStatus {
        let submission = &attempt.submission;
        let Some(entry) = self.last_known.entries.get(submission.key.text()) else {
            return KeyStatus::MayRecord;
        };
        if entry.attempt == submission.attempt {
            return KeyStatus::OwnIntent;
        }
        if entry.body != submission.digest {
            return KeyStatus::Answer(Err(refusals::conflict(&submission.key)));
        }
        let unrecorded = self.outcomes.get(&entry.attempt).map(|it| &it.outcome);
        match entry.outcome.as_ref().or(unrecorded) {
            Some(RecordedOutcome::Done { receipt }) => {
                KeyStatus::Answer(Ok(SubmissionDone { receipt: receipt.clone(), repeated: true }))
            }
            Some(RecordedOutcome::NotRun) => KeyStatus::MayRecord,
            Some(RecordedOutcome::Unknown) => {
                KeyStatus::Answer(Err(refusals::earlier_attempt_unknown()))
            }
            None if self.reads_started == attempt.reads_at_arrival => KeyStatus::NeedsRead,
            None if unix_ms < entry.until_unix_ms => {
                KeyStatus::Answer(Err(refusals::in_progress()))
            }
            None => KeyStatus::Answer(Err(refusals::earlier_attempt_unknown())),
        }
    }
}
