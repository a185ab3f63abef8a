//! The steps that the modes of a [`LedgerWriter`] are made of.

use std::time::{Duration, Instant};

use statig::prelude::*;

use super::{
    LedgerWriter, OUTAGE_PAUSE_MAX, OUTAGE_PAUSE_MIN, State, Step, WriteInFlight, WriterAction,
    WriterEvent,
};
use crate::outcome::{Refusal, RefusalReason};
use crate::platform::{ObjectVersion, Precondition};
use crate::submission::key::SubmissionKey;
use crate::submission::record::{
    LedgerEntry, LedgerObject, OBJECT_MAX_BYTES, RecordedOutcome, SubmissionAttempt,
    bounded_receipt,
};
use crate::submission::refusals;
use crate::submission::request::{
    Attempt, CheckedSubmission, Stage, SubmissionResult, UnrecordedOutcome,
};
use crate::submission::sender::{SendOutcome, SubmissionDone};
use crate::upstream::SubmitRequest;

/// What the ledger's known content means for an attempt.
enum Finding {
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

    /// Starts reading the object.
    pub(super) fn start_read(&mut self, step: &mut Step) -> Outcome<State> {
        self.reads_started += 1;
        self.wake = None;
        step.actions.push(WriterAction::Read);
        Transition(State::reading())
    }

    /// Takes in the object's content as it was read.
    pub(super) fn loaded(
        &mut self,
        step: &mut Step,
        version: Option<ObjectVersion>,
        content: LedgerObject,
    ) -> Outcome<State> {
        let moved = self.version != version;
        self.version = version;
        self.known = content;
        self.outage_pause = OUTAGE_PAUSE_MIN;
        if moved {
            for attempt in self.attempts.values_mut() {
                attempt.in_doubt = false;
            }
        }
        self.drop_moot_outcomes(step);
        self.advance(step)
    }

    /// Does whatever is due while nothing is under way.
    pub(super) fn advance(&mut self, step: &mut Step) -> Outcome<State> {
        self.expire(step);
        let stale = self.examine(step);
        self.wake = None;
        if self.attempts.values().any(|attempt| attempt.stage == Stage::Recorded) {
            step.actions.push(WriterAction::ReadFloor);
            return Transition(State::checking_floor());
        }
        if stale && self.pause_end(step.now).is_none() {
            return self.start_read(step);
        }
        match self.next_write(step) {
            Some(due) if due <= step.now => self.start_write(step),
            due => {
                self.wake = due.or_else(|| self.pause_end(step.now).filter(|_| stale));
                Transition(State::settled())
            }
        }
    }

    /// Gives up whatever depends on the store, which failed.
    pub(super) fn fail(&mut self, step: &mut Step, detail: &str, next: State) -> Outcome<State> {
        let pause = self.outage_pause;
        self.outage_pause = (pause * 2).min(OUTAGE_PAUSE_MAX);
        self.outage_until = Some(step.now + pause);
        for key in self.keys_at(|stage| stage != Stage::Sent) {
            let refusal = refusals::store_unavailable(detail, pause);
            self.retire(step, &key, Err(refusal));
        }
        for outcome in self.outcomes.values_mut() {
            outcome.answer_waiters(step);
        }
        self.wake = (!self.is_idle()).then_some(step.now + pause);
        Transition(next)
    }

    /// Gives up whatever has not been sent, because the object's era is below the floor.
    pub(super) fn close(&mut self, step: &mut Step) {
        for key in self.keys_at(|stage| stage != Stage::Sent) {
            self.retire(step, &key, Err(refusals::no_longer_known(&key)));
        }
        for outcome in self.outcomes.values_mut() {
            outcome.answer_waiters(step);
        }
        self.outcomes.clear();
        self.known = LedgerObject::default();
        self.wake = None;
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

    /// Moves every claimed attempt to `stage`.
    pub(super) fn move_claims(&mut self, stage: Stage) {
        for attempt in self.attempts.values_mut().filter(|it| it.stage == Stage::Claimed) {
            attempt.stage = stage;
        }
    }

    /// Moves every claimed attempt back, though the write may have been accepted.
    pub(super) fn doubt_claims(&mut self) {
        for attempt in self.attempts.values_mut().filter(|it| it.stage == Stage::Claimed) {
            attempt.stage = Stage::Waiting;
            attempt.in_doubt = true;
        }
    }

    /// Answers the callers that waited for this outcome to be recorded.
    pub(super) fn outcome_recorded(&mut self, step: &mut Step, attempt: SubmissionAttempt) {
        if let Some(mut outcome) = self.outcomes.remove(&attempt) {
            outcome.answer_waiters(step);
        }
    }

    /// Returns the end of the pause that the store asked for or forces.
    pub(super) fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paced_until.max(self.outage_until).filter(|end| *end > now)
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
    fn expire(&mut self, step: &mut Step) {
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
    fn examine(&mut self, step: &mut Step) -> bool {
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

    fn find(&self, attempt: &Attempt, unix_ms: u64) -> Finding {
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

    /// Takes an attempt as recorded that was found in the ledger after a lost answer.
    fn recognise(&mut self, key: &SubmissionKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.stage = Stage::Recorded;
            attempt.in_doubt = false;
        }
    }

    /// Answers the callers of an attempt that will not be sent, and forgets it.
    fn retire(&mut self, step: &mut Step, key: &SubmissionKey, result: SubmissionResult) {
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

    /// Drops outcomes of attempts that the ledger does not hold.
    fn drop_moot_outcomes(&mut self, step: &mut Step) {
        let known = &self.known;
        let moot = |attempt: &SubmissionAttempt, outcome: &UnrecordedOutcome| {
            let entry = known.entries.get(outcome.key.text());
            !entry.is_some_and(|entry| entry.attempt == *attempt && entry.outcome.is_none())
        };
        self.outcomes.retain(|attempt, outcome| {
            let moot = moot(attempt, outcome);
            if moot {
                outcome.answer_waiters(step);
            }
            !moot
        });
    }

    /// Returns when the next write is due.
    fn next_write(&self, step: &Step) -> Option<Instant> {
        let intents = self.attempts.values().filter(|it| it.stage == Stage::Waiting);
        let free = intents.filter(|it| matches!(self.find(it, step.unix_ms), Finding::Free));
        let intents = free.map(|it| it.since + self.pacing.group_wait);
        let outcomes = self.outcomes.values().map(|it| match it.waiters.is_empty() {
            true => it.since + self.pacing.outcome_wait,
            false => it.since + self.pacing.group_wait,
        });
        let wanted = intents.chain(outcomes).min()?;
        let paced = self.last_write.map(|start| start + self.pacing.write_interval);
        [Some(wanted), paced, self.pause_end(step.now)].into_iter().flatten().max()
    }

    /// Starts a write with every intent and outcome at hand.
    fn start_write(&mut self, step: &mut Step) -> Outcome<State> {
        let mut candidate = self.known.clone();
        for (attempt, outcome) in &self.outcomes {
            candidate.settle(outcome.key.text(), *attempt, &outcome.outcome);
        }
        let settling: Vec<_> = self.outcomes.keys().copied().collect();
        self.claim(step, &mut candidate);
        if candidate == self.known {
            for attempt in settling {
                self.outcome_recorded(step, attempt);
            }
            self.wake = self.pause_end(step.now);
            return Transition(State::settled());
        }
        let precondition = self.version.map_or(Precondition::Absent, Precondition::Version);
        step.actions.push(WriterAction::Write(precondition, candidate.clone()));
        self.last_write = Some(step.now);
        Transition(State::writing(WriteInFlight { candidate, settling }))
    }

    /// Enters the intents of all free attempts into `candidate`, as far as its size allows.
    fn claim(&mut self, step: &mut Step, candidate: &mut LedgerObject) {
        let mut bytes = candidate.bytes_max();
        for key in self.keys_at(|stage| stage == Stage::Waiting) {
            let attempt = &self.attempts[&key];
            if !matches!(self.find(attempt, step.unix_ms), Finding::Free) {
                continue;
            }
            let remaining = attempt.deadline().map(|end| end.saturating_duration_since(step.now));
            let entry = LedgerEntry {
                attempt: attempt.submission.attempt,
                body: attempt.submission.digest.clone(),
                until_unix_ms: step.unix_ms + milliseconds(remaining.unwrap_or_default()),
                outcome: None,
            };
            bytes += entry.bytes_max(key.text());
            if bytes > OBJECT_MAX_BYTES {
                self.retire(step, &key, Err(refusals::object_full()));
                continue;
            }
            candidate.entries.insert(key.text().to_owned(), entry);
            if let Some(attempt) = self.attempts.get_mut(&key) {
                attempt.stage = Stage::Claimed;
            }
        }
    }

    fn keys_at(&self, wanted: impl Fn(Stage) -> bool) -> Vec<SubmissionKey> {
        self.attempts.values().filter(|it| wanted(it.stage)).map(key_of).collect()
    }
}

impl UnrecordedOutcome {
    fn answer_waiters(&mut self, step: &mut Step) {
        let waiters = std::mem::take(&mut self.waiters);
        let answer: Option<Refusal> = self.answer.clone();
        if let Some(answer) = answer {
            step.refuse(&waiters, answer);
        }
    }
}

fn key_of(attempt: &Attempt) -> SubmissionKey {
    attempt.submission.key.clone()
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
