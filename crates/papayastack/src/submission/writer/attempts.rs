//! The handling of an attempt in a [`LedgerWriter`], from a caller's request to its answer.

use std::time::{Duration, Instant};

use super::key_status::KeyStatus;
use super::{LedgerWriter, StepContext, WriterAction, WriterEvent};
use crate::outcome::RefusalReason;
use crate::submission::key::SubmissionKey;
use crate::submission::record::{RecordedOutcome, SubmissionAttempt, truncate_receipt};
use crate::submission::refusals;
use crate::submission::request::{
    Attempt, CheckedSubmission, Stage, SubmissionResult, UnrecordedOutcome,
};
use crate::submission::sender::{SendOutcome, SubmissionDone};
use crate::upstream::SubmitRequest;

impl LedgerWriter {
    /// Handles the events that any state accepts: new submissions, send results and deadlines.
    pub(super) fn handle_common_event(&mut self, context: &mut StepContext, event: &WriterEvent) {
        self.expire_waiters(context);
        match event {
            WriterEvent::Submit(submission) => self.accept(context, submission.clone()),
            WriterEvent::Sent(attempt, outcome) => self.handle_sent(context, *attempt, outcome),
            // A writer that has read nothing has nothing to record again.
            WriterEvent::StoreReset => self.reads_again = self.version.is_some(),
            WriterEvent::Read(_)
            | WriterEvent::Written(_)
            | WriterEvent::Floor(_)
            | WriterEvent::Tick => {}
        }
    }

    /// Sends every recorded attempt whose deadline has not passed.
    pub(super) fn send_recorded(&mut self, context: &mut StepContext) {
        self.expire_waiters(context);
        for attempt in self.attempts.values_mut() {
            let deadline = attempt.deadline().filter(|_| attempt.stage == Stage::Recorded);
            let Some(deadline) = deadline else { continue };
            attempt.stage = Stage::Sent;
            let submission = &attempt.submission;
            let request = SubmitRequest {
                service: submission.service.clone(),
                key: submission.key.text().to_owned(),
                body: submission.body.clone(),
                remaining_ms: milliseconds(deadline.saturating_duration_since(context.now)),
            };
            context.actions.push(WriterAction::Send(submission.attempt, request));
        }
    }

    fn accept(&mut self, context: &mut StepContext, submission: CheckedSubmission) {
        let waiters = [submission.waiter.clone()];
        if let Some(existing) = self.attempts.get_mut(&submission.key) {
            if existing.submission.digest == submission.digest {
                existing.waiters.push(submission.waiter);
            } else {
                context.refuse(&waiters, refusals::conflict(&submission.key));
            }
            return;
        }
        let attempt = Attempt::new(submission, context.now, self.reads_started);
        let outage_end = self.outage_until.filter(|end| *end > context.now);
        let Some(outage_end) = outage_end else {
            self.attempts.insert(attempt.submission.key.clone(), attempt);
            return;
        };
        let result = match self.key_status(&attempt, context.unix_ms) {
            KeyStatus::Answer(result) => result,
            KeyStatus::MayRecord | KeyStatus::OwnIntent | KeyStatus::NeedsRead => {
                let backoff = outage_end - context.now;
                Err(refusals::store_unavailable(
                    "the platform's store failed recently and is in backoff",
                    backoff,
                ))
            }
        };
        context.reply(&waiters, &result);
    }

    fn handle_sent(
        &mut self,
        context: &mut StepContext,
        attempt: SubmissionAttempt,
        outcome: &SendOutcome,
    ) {
        let sent = |it: &&Attempt| it.submission.attempt == attempt && it.stage == Stage::Sent;
        let key = self.attempts.values().find(sent).map(|it| it.submission.key.clone());
        let Some(ended) = key.and_then(|key| self.attempts.remove(&key)) else { return };
        let mut unrecorded =
            UnrecordedOutcome::never_sent(ended.submission.key.clone(), context.now);
        match outcome {
            SendOutcome::Done { receipt } => {
                let receipt = truncate_receipt(receipt.clone());
                for waiter in &ended.waiters {
                    let repeated = waiter.waiter_id != ended.submission.waiter.waiter_id;
                    let done = SubmissionDone { receipt: receipt.clone(), repeated };
                    context.reply(std::slice::from_ref(waiter), &Ok(done));
                }
                unrecorded.outcome = RecordedOutcome::Done { receipt };
            }
            SendOutcome::NotRun { reason, detail, retry_after } => {
                let refusal = refusals::returned_not_run(*reason, detail, *retry_after);
                unrecorded.answer = Some(refusal);
                unrecorded.waiters = ended.waiters;
            }
            SendOutcome::Unknown { detail } => {
                let refusal = refusals::may_have_run(RefusalReason::UpstreamUnavailable, detail);
                context.refuse(&ended.waiters, refusal);
                unrecorded.outcome = RecordedOutcome::Unknown;
            }
        }
        self.outcomes.insert(attempt, unrecorded);
    }

    /// Answers requests whose deadline has passed; drops unsent attempts that no request waits for.
    pub(super) fn expire_waiters(&mut self, context: &mut StepContext) {
        let now = context.now;
        for attempt in self.attempts.values_mut() {
            let expired = attempt.waiters.extract_if(.., |waiter| waiter.deadline <= now);
            let expired: Vec<_> = expired.collect();
            let refusal = match attempt.stage {
                Stage::Sent => refusals::deadline_while_running(),
                // The attempt continues for other requests with the same key.
                _ if !attempt.waiters.is_empty() => refusals::in_progress(),
                Stage::Waiting | Stage::Claimed | Stage::Recorded => {
                    refusals::deadline_before_sending()
                }
            };
            context.refuse(&expired, refusal);
        }
        for outcome in self.outcomes.values_mut() {
            if outcome.waiters.iter().any(|waiter| waiter.deadline <= now) {
                outcome.answer_waiters(context);
            }
        }
        let given_up =
            |attempt: &&Attempt| attempt.waiters.is_empty() && attempt.stage != Stage::Sent;
        let keys: Vec<_> = self.attempts.values().filter(given_up).map(key_of).collect();
        for key in keys {
            self.remove_unsent(now, &key);
        }
    }

    /// Answers every waiting attempt that the known content decides; returns whether some attempt
    /// needs fresher content.
    pub(super) fn resolve_waiting(&mut self, context: &mut StepContext) -> bool {
        let mut needs_read = false;
        for key in self.keys_in_stage(|stage| stage == Stage::Waiting) {
            let status = self.key_status(&self.attempts[&key], context.unix_ms);
            match status {
                KeyStatus::MayRecord => {}
                KeyStatus::OwnIntent => self.mark_recorded(&key),
                KeyStatus::Answer(result) => self.answer_unsent(context, &key, result),
                KeyStatus::NeedsRead => needs_read = true,
            }
        }
        needs_read
    }

    /// Marks as recorded an attempt whose intent was read back after a lost write answer.
    fn mark_recorded(&mut self, key: &SubmissionKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.stage = Stage::Recorded;
            attempt.in_doubt = false;
        }
    }

    /// Answers the requests of an attempt that will not be sent, and removes it.
    pub(super) fn answer_unsent(
        &mut self,
        context: &mut StepContext,
        key: &SubmissionKey,
        result: SubmissionResult,
    ) {
        if let Some(attempt) = self.attempts.get(key) {
            context.reply(&attempt.waiters, &result);
        }
        self.remove_unsent(context.now, key);
    }

    /// Removes an attempt that will not be sent, and queues the outcome "not run" if the ledger may
    /// hold its intent.
    fn remove_unsent(&mut self, now: Instant, key: &SubmissionKey) {
        let attempt = self.attempts.remove(key).filter(Attempt::may_be_recorded);
        if let Some(attempt) = attempt {
            let outcome = UnrecordedOutcome::never_sent(key.clone(), now);
            self.outcomes.insert(attempt.submission.attempt, outcome);
        }
    }

    pub(super) fn keys_in_stage(&self, wanted: impl Fn(Stage) -> bool) -> Vec<SubmissionKey> {
        self.attempts.values().filter(|it| wanted(it.stage)).map(key_of).collect()
    }
}

impl UnrecordedOutcome {
    /// Answers the requests that waited for the outcome to be recorded.
    pub(super) fn answer_waiters(&mut self, context: &mut StepContext) {
        let waiters = std::mem::take(&mut self.waiters);
        if let Some(answer) = &self.answer {
            context.refuse(&waiters, answer.clone());
        }
    }
}

/// Returns the duration in whole milliseconds, saturating at `u64::MAX`.
pub(super) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn key_of(attempt: &Attempt) -> SubmissionKey {
    attempt.submission.key.clone()
}
