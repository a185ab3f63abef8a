//! The state machine that reads and writes one ledger object for one VM.
//!
//! It records intents by conditional updates, many in one write. An attempt is sent to an upstream
//! only after its intent was recorded, if the ledger floor read afterwards is not above the
//! object's era and the attempt's deadline has not passed. Outcomes are recorded by later writes.

mod attempts;
mod key_status;
mod object;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use statig::prelude::*;

use super::key::SubmissionKey;
use super::layout::{Era, LedgerFloor};
use super::record::{LedgerObject, SubmissionAttempt};
use super::request::{
    Attempt, CheckedSubmission, Stage, SubmissionResult, UnrecordedOutcome, Waiter, WaiterId,
};
use super::sender::SendOutcome;
use crate::outcome::Refusal;
use crate::platform::{Object, ObjectVersion, PlatformError, Precondition};
use crate::settings::SubmissionSettings;
use crate::upstream::SubmitRequest;

/// The backoff after the first failed call to the platform's store.
const OUTAGE_BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The maximum backoff after repeated failures of the store.
const OUTAGE_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// An event that a [`LedgerWriter`] handles.
#[derive(Debug)]
pub(crate) enum WriterEvent {
    /// A submission arrived whose key belongs to the object.
    Submit(CheckedSubmission),
    /// The object was read.
    Read(Result<Object, PlatformError>),
    /// The object was written.
    Written(Result<ObjectVersion, PlatformError>),
    /// The ledger floor was read.
    Floor(Result<LedgerFloor, PlatformError>),
    /// The store came back from an older copy.
    StoreReset,
    /// Sending an attempt to an upstream ended.
    Sent(SubmissionAttempt, SendOutcome),
    /// The time of [`LedgerWriter::next_wake`] was reached.
    Tick,
}

/// An action that a [`LedgerWriter`] requests.
#[derive(Debug)]
pub(crate) enum WriterAction {
    /// Read the object.
    Read,
    /// Write the object.
    Write(Precondition, LedgerObject),
    /// Read the ledger floor.
    ReadFloor,
    /// Send an attempt to an upstream.
    Send(SubmissionAttempt, SubmitRequest),
    /// Answer a caller's request.
    Reply(WaiterId, SubmissionResult),
}

/// The time at which an event is handled, and the actions that it leads to.
#[derive(Debug)]
pub(crate) struct StepContext {
    /// The time of the VM's monotonic clock.
    pub(crate) now: Instant,
    /// The time of the VM's wall clock in unix milliseconds.
    pub(crate) unix_ms: u64,
    /// The requested actions in order.
    pub(crate) actions: Vec<WriterAction>,
}

impl StepContext {
    fn reply(&mut self, waiters: &[Waiter], result: &SubmissionResult) {
        for waiter in waiters {
            self.actions.push(WriterAction::Reply(waiter.waiter_id, result.clone()));
        }
    }

    fn refuse(&mut self, waiters: &[Waiter], refusal: Refusal) {
        self.reply(waiters, &Err(refusal));
    }
}

/// The delays that limit how often one object is written.
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
    /// The attempts whose outcomes the write records.
    outcome_attempts: Vec<SubmissionAttempt>,
}

/// One VM's view of one ledger object, with its attempts and unrecorded outcomes.
#[derive(Debug)]
pub(crate) struct LedgerWriter {
    era: Era,
    pacing: WritePacing,
    attempts: BTreeMap<SubmissionKey, Attempt>,
    outcomes: BTreeMap<SubmissionAttempt, UnrecordedOutcome>,
    /// The content as last read or written.
    last_known: LedgerObject,
    version: Option<ObjectVersion>,
    /// Whether the store may have lost entries of `last_known`, which are then recorded again.
    records_again: bool,
    /// Whether the object must be read because the store came back from an older copy.
    reads_again: bool,
    reads_started: u64,
    last_write: Option<Instant>,
    /// The end of the backoff that the platform's rate limit demands; requests wait until then.
    rate_limited_until: Option<Instant>,
    /// The end of the backoff after the store failed; requests that need the store are refused.
    outage_until: Option<Instant>,
    outage_backoff: Duration,
    wake: Option<Instant>,
}

impl LedgerWriter {
    /// Creates a writer that has not read its object.
    pub(crate) fn new(era: Era, pacing: WritePacing) -> Self {
        Self {
            era,
            pacing,
            attempts: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            last_known: LedgerObject::default(),
            version: None,
            records_again: false,
            reads_again: false,
            reads_started: 0,
            last_write: None,
            rate_limited_until: None,
            outage_until: None,
            outage_backoff: OUTAGE_BACKOFF_MIN,
            wake: None,
        }
    }

    /// Returns whether no attempt is open and every outcome is recorded.
    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
            && self.outcomes.is_empty()
            && !self.records_again
            && !self.reads_again
    }

    /// Returns when the next [`WriterEvent::Tick`] is due.
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
    #[state(superstate = "not_pruned")]
    fn unread(&mut self, context: &mut StepContext, event: &WriterEvent) -> Outcome<State> {
        self.handle_common_event(context, event);
        self.wake = None;
        if self.is_idle() {
            return Handled;
        }
        match self.backoff_end(context.now) {
            Some(end) => {
                self.wake = Some(end);
                Handled
            }
            None => self.start_read(context),
        }
    }

    /// A read of the object is under way.
    #[state(superstate = "not_pruned")]
    fn reading(&mut self, context: &mut StepContext, event: &WriterEvent) -> Outcome<State> {
        let WriterEvent::Read(result) = event else { return Super };
        match result {
            Ok(object) => match serde_json::from_value(object.value.clone()) {
                Ok(content) => self.object_loaded(context, Some(object.version), content),
                Err(_) => self.handle_store_failure(
                    context,
                    "the ledger object is malformed",
                    State::unread(),
                ),
            },
            Err(PlatformError::NotFound) => {
                self.object_loaded(context, None, LedgerObject::default())
            }
            Err(PlatformError::RateLimited { retry_after }) => {
                self.rate_limited_until = Some(context.now + *retry_after);
                self.wake = self.rate_limited_until;
                Transition(State::unread())
            }
            Err(error) => self.handle_store_failure(context, &error.to_string(), State::unread()),
        }
    }

    /// The object was read before, and no call is under way.
    #[state(superstate = "not_pruned")]
    fn ready(&mut self, context: &mut StepContext, event: &WriterEvent) -> Outcome<State> {
        self.handle_common_event(context, event);
        self.advance(context)
    }

    /// A write of the object is under way.
    #[state(superstate = "not_pruned")]
    fn writing(
        &mut self,
        write: &mut WriteInFlight,
        context: &mut StepContext,
        event: &WriterEvent,
    ) -> Outcome<State> {
        let WriterEvent::Written(result) = event else { return Super };
        match result {
            Ok(version) => {
                self.last_known = std::mem::take(&mut write.candidate);
                self.version = Some(*version);
                self.records_again = false;
                self.outage_backoff = OUTAGE_BACKOFF_MIN;
                for attempt in std::mem::take(&mut write.outcome_attempts) {
                    self.outcome_recorded(context, attempt);
                }
                self.set_claimed_stage(Stage::Recorded);
                self.advance(context)
            }
            Err(PlatformError::Conflict | PlatformError::NotFound) => {
                self.set_claimed_stage(Stage::Waiting);
                self.start_read(context)
            }
            Err(PlatformError::AnswerLost) => {
                self.mark_claims_in_doubt();
                self.start_read(context)
            }
            Err(PlatformError::RateLimited { retry_after }) => {
                self.set_claimed_stage(Stage::Waiting);
                self.rate_limited_until = Some(context.now + *retry_after);
                self.advance(context)
            }
            Err(error) => {
                self.set_claimed_stage(Stage::Waiting);
                self.handle_store_failure(context, &error.to_string(), State::ready())
            }
        }
    }

    /// Intents are recorded, and a read of the ledger floor is under way.
    #[state(superstate = "not_pruned")]
    fn checking_floor(&mut self, context: &mut StepContext, event: &WriterEvent) -> Outcome<State> {
        let WriterEvent::Floor(result) = event else { return Super };
        match result {
            Ok(floor) if self.era < floor.first_open => {
                self.abandon_pruned(context);
                Transition(State::pruned())
            }
            Ok(_) => {
                self.send_recorded(context);
                self.advance(context)
            }
            Err(error) => self.handle_store_failure(context, &error.to_string(), State::ready()),
        }
    }

    /// The object's era is below the ledger floor, so none of its keys may run.
    #[state]
    fn pruned(&mut self, context: &mut StepContext, event: &WriterEvent) -> Outcome<State> {
        self.handle_common_event(context, event);
        self.abandon_pruned(context);
        Handled
    }

    /// Handles events other than the answer that the current state waits for.
    #[superstate]
    fn not_pruned(&mut self, context: &mut StepContext, event: &WriterEvent) -> Outcome<State> {
        self.handle_common_event(context, event);
        self.wake = None;
        Handled
    }
}
