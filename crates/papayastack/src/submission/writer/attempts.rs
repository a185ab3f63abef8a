//! The attempts of a [`LedgerWriter`]: from a caller's request to its answer.

use std::time::{Duration, Instant};

use super::finding::Finding;
use super::{LedgerWriter, Step, WriterAction, WriterEvent};
use crate::outcome::RefusalReason;
use crate::submission::key::SubmissionKey;
use crate::submission::record::{RecordedOutcome, SubmissionAttempt, bounded_receipt};
use crate::submission::refusals;
use crate::submission::request::{
    Attempt, CheckedSubmission, Stage, SubmissionResult, UnrecordedOutcome,
};
use crate::submission::sender::{SendOutcome, SubmissionDone};
use crate::upstream::SubmitRequest;

impl LedgerWriter {
    /// Takes in whatever is not the answer that the mode waits for.
    pub(super) fn absorb(&mut self, step: &mut Step, event: &WriterEvent) {
        self.expire(step);
        match event {
            WriterEvent::Submit(submission) => self.accept(step, submission.clone()),
            WriterEvent::Sent(attempt, outcome) => self.sent(step, *attempt, outcome),
            WriterEvent::Read(_)
            | WriterEvent::Written(_)
            | WriterEvent::Floor(_)
            | WriterEvent::Tick => {}
        }
    }

    /// Hands every recorded attempt to the sender.
    pub(super) fn send_recorded(&mut self, step: &mut Step) {
        self.expire(step);
        for attempt in self.attempts.values_mut() {
            let deadline = attempt.deadline().filter(|_| attempt.stage == Stage::Recorded);
            let Some(deadline) = deadline else { continue };
            attempt.stage = Stage::Sent;
            let submission = &attempt.submission;
            let request = SubmitRequest {
                service: submission.service.clone(),
                key: submission.key.text().to_owned(),
                body: submission.body.clone(),
                remaining_ms: milliseconds(deadline.saturating_duration_since(step.now)),
            };
            step.actions.push(WriterAction::Send(submission.attempt, request));
        }
    }

    fn accept(&mut self, step: &mut Step, submission: CheckedSubmission) {
        let waiters = [submission.waiter.clone()];
        if let Some(running) = self.attempts.get_mut(&submission.key) {
            if running.submission.digest == submission.digest {
                running.waiters.push(submission.waiter);
            } else {
                step.refuse(&waiters, refusals::conflict(&submission.key));
            }
            return;
        }
        let attempt = Attempt::new(submission, step.now, self.reads_started);
        let outage_end = self.outage_until.filter(|end| *end > step.now);
        let Some(outage_end) = outage_end else {
            self.attempts.insert(attempt.submission.key.clone(), attempt);
            return;
        };
        let result = match self.find(&attempt, step.unix_ms) {
            Finding::Answer(result) => result,
            Finding::Free | Finding::Own | Finding::Stale => {
                let pause = outage_end - step.now;
                Err(refusals::store_unavailable("the platform did not answer just now", pause))
            }
        };
        step.reply(&waiters, &result);
    }

    fn sent(&mut self, step: &mut Step, attempt: SubmissionAttempt, outcome: &SendOutcome) {
        let sent = |it: &&Attempt| it.submission.attempt == attempt && it.stage == Stage::Sent;
        let key = self.attempts.values().find(sent).map(|it| it.submission.key.clone());
        let Some(ended) = key.and_then(|key| self.attempts.remove(&key)) else { return };
        let mut unrecorded = UnrecordedOutcome::never_sent(ended.submission.key.clone(), step.now);
        match outcome {
            SendOutcome::Done { receipt } => {
                let receipt = bounded_receipt(receipt.clone());
                for waiter in &ended.waiters {
                    let repeated = waiter.ticket != ended.submission.waiter.ticket;
                    let done = SubmissionDone { receipt: receipt.clone(), repeated };
                    step.reply(std::slice::from_ref(waiter), &Ok(done));
                }
                unrecorded.outcome = RecordedOutcome::Done { receipt };
            }
            SendOutcome::NotRun { reason, detail, retry_after } => {
                let refusal = refusals::returned_not_run(*reason, detail, *retry_after);
                unrecorded.answer = Some(refusal);
                unrecorded.waiters = ended.waiters;
            }
            SendOutcome::Unknown { detail } => {
                let refusal = refusals::sent(RefusalReason::UpstreamUnavailable, detail);
                step.refuse(&ended.waiters, refusal);
                unrecorded.outcome = RecordedOutcome::Unknown;
            }
        }
        self.outcomes.insert(attempt, unrecorded);
    }

    /// Answers callers whose deadline has passed; gives up attempts that nobody waits for.
    pub(super) fn expire(&mut self, step: &mut Step) {
        let now = step.now;
        for attempt in self.attempts.values_mut() {
            let late = attempt.waiters.extract_if(.., |waiter| waiter.deadline <= now);
            let late: Vec<_> = late.collect();
            let refusal = match attempt.stage {
                Stage::Sent => refusals::late_while_running(),
                // The attempt goes on for the requests that joined it.
                _ if !attempt.waiters.is_empty() => refusals::in_progress(),
                Stage::Waiting | Stage::Claimed | Stage::Recorded => {
                    refusals::deadline_before_sending()
                }
            };
            step.refuse(&late, refusal);
        }
        for outcome in self.outcomes.values_mut() {
            if outcome.waiters.iter().any(|waiter| waiter.deadline <= now) {
                outcome.answer_waiters(step);
            }
        }
        let given_up =
            |attempt: &&Attempt| attempt.waiters.is_empty() && attempt.stage != Stage::Sent;
        let keys: Vec<_> = self.attempts.values().filter(given_up).map(key_of).collect();
        for key in keys {
            self.forget(now, &key);
        }
    }

    /// Answers every waiting attempt that the known content decides; returns whether some attempt
    /// needs fresher content.
    pub(super) fn examine(&mut self, step: &mut Step) -> bool {
        let mut stale = false;
        for key in self.keys_at(|stage| stage == Stage::Waiting) {
            let finding = self.find(&self.attempts[&key], step.unix_ms);
            match finding {
                Finding::Free => {}
                Finding::Own => self.recognise(&key),
                Finding::Answer(result) => self.retire(step, &key, result),
                Finding::Stale => stale = true,
            }
        }
        stale
    }

    /// Takes an attempt as recorded that was found in the ledger after a lost answer.
    fn recognise(&mut self, key: &SubmissionKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.stage = Stage::Recorded;
            attempt.in_doubt = false;
        }
    }

    /// Answers the callers of an attempt that will not be sent, and forgets it.
    pub(super) fn retire(
        &mut self,
        step: &mut Step,
        key: &SubmissionKey,
        result: SubmissionResult,
    ) {
        if let Some(attempt) = self.attempts.get(key) {
            step.reply(&attempt.waiters, &result);
        }
        self.forget(step.now, key);
    }

    /// Forgets an attempt that will not be sent; the ledger is told if it may hold the intent.
    fn forget(&mut self, now: Instant, key: &SubmissionKey) {
        let attempt = self.attempts.remove(key).filter(Attempt::may_be_recorded);
        if let Some(attempt) = attempt {
            let outcome = UnrecordedOutcome::never_sent(key.clone(), now);
            self.outcomes.insert(attempt.submission.attempt, outcome);
        }
    }

    pub(super) fn keys_at(&self, wanted: impl Fn(Stage) -> bool) -> Vec<SubmissionKey> {
        self.attempts.values().filter(|it| wanted(it.stage)).map(key_of).collect()
    }
}

impl UnrecordedOutcome {
    /// Answers the callers that waited for the record.
    pub(super) fn answer_waiters(&mut self, step: &mut Step) {
        let waiters = std::mem::take(&mut self.waiters);
        if let Some(answer) = &self.answer {
            step.refuse(&waiters, answer.clone());
        }
    }
}

/// Returns whole milliseconds.
pub(super) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn key_of(attempt: &Attempt) -> SubmissionKey {
    attempt.submission.key.clone()
}
