//! The machine that reads and writes one ledger object for one VM.
//!
//! It records intents by conditional updates, many in one write, and hands an attempt to the sender
//! only when its intent was recorded, the ledger's floor was read afterwards and lies below the
//! object, and the attempt's deadline has not passed. Outcomes follow in later writes.

mod attempts;
mod finding;
mod object;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use statig::prelude::*;

use super::key::SubmissionKey;
use super::layout::{Era, LedgerFloor};
use super::record::{LedgerObject, SubmissionAttempt};
use super::request::{
    Attempt, CheckedSubmission, Stage, SubmissionResult, Ticket, UnrecordedOutcome, Waiter,
};
use super::sender::SendOutcome;
use crate::outcome::Refusal;
use crate::platform::{Object, ObjectVersion, PlatformError, Precondition};
use crate::settings::SubmissionSettings;
use crate::upstream::SubmitRequest;

/// The first pause after the store failed.
const OUTAGE_PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause after the store failed repeatedly.
const OUTAGE_PAUSE_MAX: Duration = Duration::from_secs(5);

/// What happens to a ledger object's machine.
#[derive(Debug)]
pub(crate) enum WriterEvent {
    /// A submission of the object arrived.
    Submit(CheckedSubmission),
    /// The object was read.
    Read(Result<Object, PlatformError>),
    /// The object was written.
    Written(Result<ObjectVersion, PlatformError>),
    /// The ledger's floor was read.
    Floor(Result<LedgerFloor, PlatformError>),
    /// A sending ended.
    Sent(SubmissionAttempt, SendOutcome),
    /// Time passed.
    Tick,
}

/// What a ledger object's machine asks for.
#[derive(Debug)]
pub(crate) enum WriterAction {
    /// Read the object.
    Read,
    /// Write the object.
    Write(Precondition, LedgerObject),
    /// Read the ledger's floor.
    ReadFloor,
    /// Hand an attempt to the sender.
    Send(SubmissionAttempt, SubmitRequest),
    /// Answer a caller's request.
    Reply(Ticket, SubmissionResult),
}

/// The time of one step, and what the step asks for.
#[derive(Debug)]
pub(crate) struct Step {
    /// The time inside the VM.
    pub(crate) now: Instant,
    /// The VM's clock in unix milliseconds.
    pub(crate) unix_ms: u64,
    /// What the step asks for, in order.
    pub(crate) actions: Vec<WriterAction>,
}

impl Step {
    fn reply(&mut self, waiters: &[Waiter], result: &SubmissionResult) {
        for waiter in waiters {
            self.actions.push(WriterAction::Reply(waiter.ticket, result.clone()));
        }
    }

    fn refuse(&mut self, waiters: &[Waiter], refusal: Refusal) {
        self.reply(waiters, &Err(refusal));
    }
}

/// How writes of one object are paced.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WritePacing {
    group_wait: Duration,
    write_interval: Duration,
    outcome_wait: Duration,
}

impl WritePacing {
    pub(crate) fn new(settings: &SubmissionSettings) -> Self {
        Self {
            group_wait: Duration::from_millis(settings.group_wait_ms),
            write_interval: Duration::from_millis(settings.write_interval_ms),
            outcome_wait: Duration::from_millis(settings.outcome_wait_ms),
        }
    }
}

/// A write that the platform has not answered.
#[derive(Debug)]
pub(crate) struct WriteInFlight {
    candidate: LedgerObject,
    /// The attempts whose outcomes are in the candidate.
    settling: Vec<SubmissionAttempt>,
}

/// What one VM knows of one ledger object.
#[derive(Debug)]
pub(crate) struct LedgerWriter {
    era: Era,
    pacing: WritePacing,
    attempts: BTreeMap<SubmissionKey, Attempt>,
    outcomes: BTreeMap<SubmissionAttempt, UnrecordedOutcome>,
    known: LedgerObject,
    version: Option<ObjectVersion>,
    reads_started: u64,
    last_write: Option<Instant>,
    /// The platform asked for a pause; requests wait for its end.
    paced_until: Option<Instant>,
    /// The store failed; requests are refused until then.
    outage_until: Option<Instant>,
    outage_pause: Duration,
    wake: Option<Instant>,
}

impl LedgerWriter {
    /// Starts without knowing anything of the object.
    pub(crate) fn new(era: Era, pacing: WritePacing) -> Self {
        Self {
            era,
            pacing,
            attempts: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            known: LedgerObject::default(),
            version: None,
            reads_started: 0,
            last_write: None,
            paced_until: None,
            outage_until: None,
            outage_pause: OUTAGE_PAUSE_MIN,
            wake: None,
        }
    }

    /// Returns whether nothing is left to do or to remember.
    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.outcomes.is_empty()
    }

    /// Returns when the machine wants its next [`WriterEvent::Tick`].
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let attempts = self.attempts.values().flat_map(|attempt| &attempt.waiters);
        let outcomes = self.outcomes.values().flat_map(|outcome| &outcome.waiters);
        let deadlines = attempts.chain(outcomes).map(|waiter| waiter.deadline);
        deadlines.chain(self.wake).min()
    }
}

#[state_machine(initial = "State::unread()", state(derive(Debug)), visibility = "pub(crate)")]
impl LedgerWriter {
    /// The object has not been read, or the last read failed.
    #[state(superstate = "open")]
    fn unread(&mut self, context: &mut Step, event: &WriterEvent) -> Outcome<State> {
        self.absorb(context, event);
        self.wake = None;
        if self.is_idle() {
            return Handled;
        }
        match self.pause_end(context.now) {
            Some(end) => {
                self.wake = Some(end);
                Handled
            }
            None => self.start_read(context),
        }
    }

    /// A read is under way.
    #[state(superstate = "open")]
    fn reading(&mut self, context: &mut Step, event: &WriterEvent) -> Outcome<State> {
        let WriterEvent::Read(result) = event else { return Super };
        match result {
            Ok(object) => match serde_json::from_value(object.value.clone()) {
                Ok(content) => self.loaded(context, Some(object.version), content),
                Err(_) => self.fail(context, "the ledger object cannot be read", State::unread()),
            },
            Err(PlatformError::NotFound) => self.loaded(context, None, LedgerObject::default()),
            Err(PlatformError::RateLimited { retry_after }) => {
                self.paced_until = Some(context.now + *retry_after);
                self.wake = self.paced_until;
                Transition(State::unread())
            }
            Err(error) => self.fail(context, &error.to_string(), State::unread()),
        }
    }

    /// The object's content was known at some time, and nothing is under way.
    #[state(superstate = "open")]
    fn settled(&mut self, context: &mut Step, event: &WriterEvent) -> Outcome<State> {
        self.absorb(context, event);
        self.advance(context)
    }

    /// A write is under way.
    #[state(superstate = "open")]
    fn writing(
        &mut self,
        write: &mut WriteInFlight,
        context: &mut Step,
        event: &WriterEvent,
    ) -> Outcome<State> {
        let WriterEvent::Written(result) = event else { return Super };
        match result {
            Ok(version) => {
                self.known = std::mem::take(&mut write.candidate);
                self.version = Some(*version);
                self.outage_pause = OUTAGE_PAUSE_MIN;
                for attempt in std::mem::take(&mut write.settling) {
                    self.outcome_recorded(context, attempt);
                }
                self.move_claims(Stage::Recorded);
                self.advance(context)
            }
            Err(PlatformError::Conflict | PlatformError::NotFound) => {
                self.move_claims(Stage::Waiting);
                self.start_read(context)
            }
            Err(PlatformError::AnswerLost) => {
                self.doubt_claims();
                self.start_read(context)
            }
            Err(PlatformError::RateLimited { retry_after }) => {
                self.move_claims(Stage::Waiting);
                self.paced_until = Some(context.now + *retry_after);
                self.advance(context)
            }
            Err(error) => {
                self.move_claims(Stage::Waiting);
                self.fail(context, &error.to_string(), State::settled())
            }
        }
    }

    /// Intents are recorded, and the floor is being read.
    #[state(superstate = "open")]
    fn checking_floor(&mut self, context: &mut Step, event: &WriterEvent) -> Outcome<State> {
        let WriterEvent::Floor(result) = event else { return Super };
        match result {
            Ok(floor) if self.era < floor.first_open => {
                self.close(context);
                Transition(State::pruned())
            }
            Ok(_) => {
                self.send_recorded(context);
                self.advance(context)
            }
            Err(error) => self.fail(context, &error.to_string(), State::settled()),
        }
    }

    /// The object's era is below the floor; none of its keys may run.
    #[state]
    fn pruned(&mut self, context: &mut Step, event: &WriterEvent) -> Outcome<State> {
        self.absorb(context, event);
        self.close(context);
        Handled
    }

    /// Something other than the awaited answer happened.
    #[superstate]
    fn open(&mut self, context: &mut Step, event: &WriterEvent) -> Outcome<State> {
        self.absorb(context, event);
        self.wake = None;
        Handled
    }
}
