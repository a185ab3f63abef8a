//! Reading and writing the object of a [`LedgerWriter`].

use std::time::Instant;

use statig::prelude::*;

use super::attempts::milliseconds;
use super::finding::Finding;
use super::{
    LedgerWriter, OUTAGE_PAUSE_MAX, OUTAGE_PAUSE_MIN, State, Step, WriteInFlight, WriterAction,
};
use crate::platform::{ObjectVersion, Precondition};
use crate::submission::record::{LedgerEntry, LedgerObject, OBJECT_MAX_BYTES, SubmissionAttempt};
use crate::submission::refusals;
use crate::submission::request::{Stage, UnrecordedOutcome};

impl LedgerWriter {
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

    /// Returns the end of the pause that the store asked for or forces.
    pub(super) fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paced_until.max(self.outage_until).filter(|end| *end > now)
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
}
