//! What the known content of a ledger object means for an attempt.

use super::LedgerWriter;
use crate::submission::record::RecordedOutcome;
use crate::submission::refusals;
use crate::submission::request::{Attempt, SubmissionResult};
use crate::submission::sender::SubmissionDone;

/// What the known content means for an attempt.
pub(super) enum Finding {
    /// The attempt may be recorded.
    Free,
    /// The attempt is recorded.
    Own,
    /// The caller can be answered.
    Answer(SubmissionResult),
    /// The content is too old to tell.
    Stale,
}

impl LedgerWriter {
    /// Judges an attempt by the known content and by what this VM has not yet recorded.
    pub(super) fn find(&self, attempt: &Attempt, unix_ms: u64) -> Finding {
        let submission = &attempt.submission;
        let Some(entry) = self.known.entries.get(submission.key.text()) else {
            return Finding::Free;
        };
        if entry.attempt == submission.attempt {
            return Finding::Own;
        }
        if entry.body != submission.digest {
            return Finding::Answer(Err(refusals::conflict(&submission.key)));
        }
        let unrecorded = self.outcomes.get(&entry.attempt).map(|it| &it.outcome);
        match entry.outcome.as_ref().or(unrecorded) {
            Some(RecordedOutcome::Done { receipt }) => {
                Finding::Answer(Ok(SubmissionDone { receipt: receipt.clone(), repeated: true }))
            }
            Some(RecordedOutcome::NotRun) => Finding::Free,
            Some(RecordedOutcome::Unknown) => {
                Finding::Answer(Err(refusals::earlier_attempt_unknown()))
            }
            None if self.reads_started == attempt.reads_before => Finding::Stale,
            None if unix_ms < entry.until_unix_ms => Finding::Answer(Err(refusals::in_progress())),
            None => Finding::Answer(Err(refusals::earlier_attempt_unknown())),
        }
    }
}
