//! Reading and writing the object of a [`LedgerWriter`].

use std::time::Instant;

use statig::prelude::*;

use super::attempts::milliseconds;
use super::key_status::KeyStatus;
use super::{
    LedgerWriter, OUTAGE_BACKOFF_MAX, OUTAGE_BACKOFF_MIN, State, StepContext, WriteInFlight,
    WriterAction,
};
use crate::platform::{ObjectVersion, Precondition, version_era};
use crate::submission::record::{LedgerEntry, LedgerObject, OBJECT_MAX_BYTES, SubmissionAttempt};
use crate::submission::refusals;
use crate::submission::request::{Stage, UnrecordedOutcome};

impl LedgerWriter {
    /// Starts reading the object.
    pub(super) fn start_read(&mut self, context: &mut StepContext) -> Outcome<State> {
        self.reads_started += 1;
        self.reads_again = false;
        self.wake = None;
        context.actions.push(WriterAction::Read);
        Transition(State::reading())
    }

    /// Stores the content that was read.
    pub(super) fn object_loaded(
        &mut self,
        context: &mut StepContext,
        version: Option<ObjectVersion>,
        content: LedgerObject,
    ) -> Outcome<State> {
        let version_changed = self.version != version;
        let is_older_copy = self
            .version
            .is_some_and(|known| version.is_none_or(|read| version_era(read) > version_era(known)));
        self.version = version;
        let earlier = std::mem::replace(&mut self.last_known, content);
        if is_older_copy || self.records_again {
            self.records_again = self.last_known.restore_entries(earlier);
        }
        self.outage_backoff = OUTAGE_BACKOFF_MIN;
        if version_changed {
            for attempt in self.attempts.values_mut() {
                attempt.in_doubt = false;
            }
        }
        self.drop_obsolete_outcomes(context);
        self.advance(context)
    }

    /// Answers requests that the content decides, then starts the next call that is due.
    pub(super) fn advance(&mut self, context: &mut StepContext) -> Outcome<State> {
        self.expire_waiters(context);
        let needs_read = self.resolve_waiting(context);
        self.wake = None;
        if self.attempts.values().any(|attempt| attempt.stage == Stage::Recorded) {
            context.actions.push(WriterAction::ReadFloor);
            return Transition(State::checking_floor());
        }
        let needs_read = needs_read || self.reads_again;
        if needs_read && self.backoff_end(context.now).is_none() {
            return self.start_read(context);
        }
        match self.next_write_due(context) {
            Some(due) if due <= context.now => self.start_write(context),
            due => {
                self.wake = due.or_else(|| self.backoff_end(context.now).filter(|_| needs_read));
                Transition(State::ready())
            }
        }
    }

    /// Starts a backoff after a store failure and refuses every request that depends on the store.
    pub(super) fn handle_store_failure(
        &mut self,
        context: &mut StepContext,
        detail: &str,
        next: State,
    ) -> Outcome<State> {
        let backoff = self.outage_backoff;
        self.outage_backoff = (backoff * 2).min(OUTAGE_BACKOFF_MAX);
        self.outage_until = Some(context.now + backoff);
        for key in self.keys_in_stage(|stage| stage != Stage::Sent) {
            let refusal = refusals::store_unavailable(detail, backoff);
            self.answer_unsent(context, &key, Err(refusal));
        }
        for outcome in self.outcomes.values_mut() {
            outcome.answer_waiters(context);
        }
        self.wake = (!self.is_idle()).then_some(context.now + backoff);
        Transition(next)
    }

    /// Refuses every unsent attempt and drops the outcomes, because the era is below the floor.
    pub(super) fn abandon_pruned(&mut self, context: &mut StepContext) {
        for key in self.keys_in_stage(|stage| stage != Stage::Sent) {
            self.answer_unsent(context, &key, Err(refusals::no_longer_known(&key)));
        }
        for outcome in self.outcomes.values_mut() {
            outcome.answer_waiters(context);
        }
        self.outcomes.clear();
        self.last_known = LedgerObject::default();
        self.wake = None;
    }

    /// Returns the end of the current backoff, after a rate limit or a store failure.
    pub(super) fn backoff_end(&self, now: Instant) -> Option<Instant> {
        self.rate_limited_until.max(self.outage_until).filter(|end| *end > now)
    }

    /// Sets the stage of every claimed attempt.
    pub(super) fn set_claimed_stage(&mut self, stage: Stage) {
        for attempt in self.attempts.values_mut().filter(|it| it.stage == Stage::Claimed) {
            attempt.stage = stage;
        }
    }

    /// Returns every claimed attempt to [`Stage::Waiting`] as in doubt, after a lost write answer.
    pub(super) fn mark_claims_in_doubt(&mut self) {
        for attempt in self.attempts.values_mut().filter(|it| it.stage == Stage::Claimed) {
            attempt.stage = Stage::Waiting;
            attempt.in_doubt = true;
        }
    }

    /// Removes a recorded outcome and answers the requests that waited for it.
    pub(super) fn outcome_recorded(
        &mut self,
        context: &mut StepContext,
        attempt: SubmissionAttempt,
    ) {
        if let Some(mut outcome) = self.outcomes.remove(&attempt) {
            outcome.answer_waiters(context);
        }
    }

    /// Drops outcomes that need not be recorded, because the object as last known lacks the attempt
    /// or already has its outcome.
    fn drop_obsolete_outcomes(&mut self, context: &mut StepContext) {
        let last_known = &self.last_known;
        let obsolete = |attempt: &SubmissionAttempt, outcome: &UnrecordedOutcome| {
            let entry = last_known.entries.get(outcome.key.text());
            !entry.is_some_and(|entry| entry.attempt == *attempt && entry.outcome.is_none())
        };
        self.outcomes.retain(|attempt, outcome| {
            let obsolete = obsolete(attempt, outcome);
            if obsolete {
                outcome.answer_waiters(context);
            }
            !obsolete
        });
    }

    /// Returns when the next write is due; `None` if there is nothing to write.
    fn next_write_due(&self, context: &StepContext) -> Option<Instant> {
        let waiting = self.attempts.values().filter(|it| it.stage == Stage::Waiting);
        let recordable = waiting
            .filter(|it| matches!(self.key_status(it, context.unix_ms), KeyStatus::MayRecord));
        let intents = recordable.map(|it| it.arrived_at + self.pacing.group_wait);
        let outcomes = self.outcomes.values().map(|it| match it.waiters.is_empty() {
            true => it.ended_at + self.pacing.outcome_wait,
            false => it.ended_at + self.pacing.group_wait,
        });
        let again = self.records_again.then_some(context.now);
        let wanted = intents.chain(outcomes).chain(again).min()?;
        let interval_end = self.last_write.map(|start| start + self.pacing.write_interval);
        [Some(wanted), interval_end, self.backoff_end(context.now)].into_iter().flatten().max()
    }

    /// Starts a write of all recordable intents and all unrecorded outcomes.
    fn start_write(&mut self, context: &mut StepContext) -> Outcome<State> {
        let mut candidate = self.last_known.clone();
        for (attempt, outcome) in &self.outcomes {
            candidate.record_outcome(outcome.key.text(), *attempt, &outcome.outcome);
        }
        let outcome_attempts: Vec<_> = self.outcomes.keys().copied().collect();
        self.claim_attempts(context, &mut candidate);
        if candidate == self.last_known && !self.records_again {
            for attempt in outcome_attempts {
                self.outcome_recorded(context, attempt);
            }
            self.wake = self.backoff_end(context.now);
            return Transition(State::ready());
        }
        let precondition = self.version.map_or(Precondition::Absent, Precondition::Version);
        context.actions.push(WriterAction::Write(precondition, candidate.clone()));
        self.last_write = Some(context.now);
        Transition(State::writing(WriteInFlight { candidate, outcome_attempts }))
    }

    /// Adds the intents of all recordable attempts to `candidate`; refuses those beyond
    /// [`OBJECT_MAX_BYTES`].
    fn claim_attempts(&mut self, context: &mut StepContext, candidate: &mut LedgerObject) {
        let mut bytes = candidate.bytes_max();
        for key in self.keys_in_stage(|stage| stage == Stage::Waiting) {
            let attempt = &self.attempts[&key];
            if !matches!(self.key_status(attempt, context.unix_ms), KeyStatus::MayRecord) {
                continue;
            }
            let remaining =
                attempt.deadline().map(|end| end.saturating_duration_since(context.now));
            let entry = LedgerEntry {
                attempt: attempt.submission.attempt,
                body: attempt.submission.digest.clone(),
                until_unix_ms: context.unix_ms + milliseconds(remaining.unwrap_or_default()),
                outcome: None,
            };
            bytes += entry.bytes_max(key.text());
            if bytes > OBJECT_MAX_BYTES {
                self.answer_unsent(context, &key, Err(refusals::object_full()));
                continue;
            }
            candidate.entries.insert(key.text().to_owned(), entry);
            if let Some(attempt) = self.attempts.get_mut(&key) {
                attempt.stage = Stage::Claimed;
            }
        }
    }
}
