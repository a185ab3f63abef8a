//! The machine that takes a VM's submissions: checks, layouts, one writer for each ledger object.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngCore;
use statig::blocking::StateMachine;
use statig::prelude::*;

use super::key::{SubmissionKey, SubmissionKeyError};
use super::layout::{Era, EraLayout, LedgerFloor, era_of, floor_name, layout_name};
use super::record::{SubmissionAttempt, body_digest};
use super::refusals;
use super::request::{CheckedSubmission, SubmissionResult, Ticket, Waiter};
use super::sender::{SendOutcome, Submission};
use super::writer::{LedgerWriter, Step, WritePacing, WriterAction, WriterEvent};
use crate::outcome::Refusal;
use crate::platform::{Object, ObjectName, ObjectVersion, PlatformError, Precondition};
use crate::settings::SubmissionSettings;
use crate::upstream::SubmitRequest;

/// Numbers a call to the platform.
pub(crate) type CallId = u64;

/// How long a writer without work is kept, so that its object need not be read again.
const WRITER_IDLE: Duration = Duration::from_secs(60);
/// When to come back after a layout could not be read or written.
const LAYOUT_RETRY: Duration = Duration::from_millis(500);

/// The time of one step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Moment {
    /// The time inside the VM.
    pub(crate) now: Instant,
    /// The VM's clock in unix milliseconds.
    pub(crate) unix_ms: u64,
}

/// A call to the platform.
#[derive(Debug, Clone)]
pub(crate) enum DeskCall {
    /// Read an object.
    Read(ObjectName),
    /// Write an object.
    Update(ObjectName, Precondition, serde_json::Value),
}

/// The platform's answer to a [`DeskCall`].
#[derive(Debug, Clone)]
pub(crate) enum DeskAnswer {
    /// The answer to a read.
    Read(Result<Object, PlatformError>),
    /// The answer to an update.
    Updated(Result<ObjectVersion, PlatformError>),
}

/// What happens to a desk.
#[derive(Debug)]
pub(crate) enum DeskInput {
    /// A caller's request arrived.
    Submit { ticket: Ticket, submission: Submission, deadline: Instant },
    /// The platform answered a call.
    Answered(CallId, DeskAnswer),
    /// A sending ended.
    Sent { object: ObjectName, attempt: SubmissionAttempt, outcome: SendOutcome },
    /// New settings are in force.
    Settings(SubmissionSettings),
    /// Time passed.
    Tick,
}

/// What a desk asks for.
#[derive(Debug)]
pub(crate) enum DeskAction {
    /// Call the platform.
    Call(CallId, DeskCall),
    /// Hand an attempt to the sender.
    Send { object: ObjectName, attempt: SubmissionAttempt, request: SubmitRequest },
    /// Answer a caller's request.
    Reply(Ticket, SubmissionResult),
}

/// Why a call was made.
#[derive(Debug)]
enum CallPurpose {
    Layout(Era),
    NewLayout(Era, EraLayout),
    Object(ObjectName),
    Floor(ObjectName),
}

/// What is known of an era's layout.
#[derive(Debug)]
enum LayoutState {
    Known(EraLayout),
    Asked(Vec<CheckedSubmission>),
}

struct WriterSlot {
    machine: StateMachine<LedgerWriter>,
    busy_at: Instant,
    wake: Option<Instant>,
}

/// All submissions of one VM.
pub(crate) struct Desk {
    settings: SubmissionSettings,
    layouts: BTreeMap<Era, LayoutState>,
    writers: BTreeMap<ObjectName, WriterSlot>,
    calls: BTreeMap<CallId, CallPurpose>,
    next_call: CallId,
    actions: Vec<DeskAction>,
}

impl Desk {
    /// Starts without knowing anything of the ledger.
    pub(crate) fn new(settings: SubmissionSettings) -> Self {
        Self {
            settings,
            layouts: BTreeMap::new(),
            writers: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            actions: Vec::new(),
        }
    }

    /// Takes one input and returns what it asks for, in order.
    pub(crate) fn handle(
        &mut self,
        moment: Moment,
        random: &mut dyn RngCore,
        input: DeskInput,
    ) -> Vec<DeskAction> {
        match input {
            DeskInput::Submit { ticket, submission, deadline } => {
                let waiter = Waiter { ticket, deadline };
                match self.check(moment, random, submission, waiter) {
                    Ok(checked) => self.route(moment, checked),
                    Err(refusal) => self.reply(ticket, refusal),
                }
            }
            DeskInput::Answered(call, answer) => self.answered(moment, call, answer),
            DeskInput::Sent { object, attempt, outcome } => {
                self.step(moment, &object, &WriterEvent::Sent(attempt, outcome));
            }
            DeskInput::Settings(settings) => self.settings = settings,
            DeskInput::Tick => self.tick(moment),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when the desk wants its next [`DeskInput::Tick`].
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let writers = self.writers.values().filter_map(|slot| slot.wake);
        let asked = self.layouts.values().flat_map(|layout| match layout {
            LayoutState::Known(_) => &[],
            LayoutState::Asked(waiting) => waiting.as_slice(),
        });
        writers.chain(asked.map(|it| it.waiter.deadline)).min()
    }

    /// Returns whether no request waits, nothing runs and every outcome is recorded.
    pub(crate) fn is_idle(&self) -> bool {
        let asked = |layout: &LayoutState| matches!(layout, LayoutState::Asked(_));
        let busy = |slot: &WriterSlot| !slot.machine.inner().is_idle();
        !self.layouts.values().any(asked) && !self.writers.values().any(busy)
    }

    /// Returns the bucket of `key`: by its era's layout where known, else by the settings.
    pub(crate) fn bucket_of(&self, key: &SubmissionKey) -> u32 {
        match self.layouts.get(&era_of(key.issued_unix_ms())) {
            Some(LayoutState::Known(layout)) => layout.bucket_of(key),
            Some(LayoutState::Asked(_)) | None => {
                EraLayout::proposed(&self.settings).bucket_of(key)
            }
        }
    }

    fn check(
        &self,
        moment: Moment,
        random: &mut dyn RngCore,
        submission: Submission,
        waiter: Waiter,
    ) -> Result<CheckedSubmission, Refusal> {
        let text = submission.key.ok_or_else(|| refusals::bad_key(&SubmissionKeyError::Missing))?;
        let key = SubmissionKey::parse(&text).map_err(|error| refusals::bad_key(&error))?;
        let body_bytes = submission.body.to_string().len() as u64;
        if body_bytes > self.settings.body_max_bytes {
            return Err(refusals::body_too_large(body_bytes, self.settings.body_max_bytes));
        }
        let ahead_ms = key.issued_unix_ms().saturating_sub(moment.unix_ms);
        if ahead_ms > self.settings.clock_skew_max_ms {
            return Err(refusals::too_far_ahead(ahead_ms, self.settings.clock_skew_max_ms));
        }
        let age_ms = moment.unix_ms.saturating_sub(key.issued_unix_ms());
        if age_ms > self.settings.retention_ms {
            return Err(refusals::no_longer_known(&key));
        }
        if waiter.deadline <= moment.now {
            return Err(refusals::deadline_before_sending());
        }
        let digest = body_digest(&submission.service, &submission.body);
        let Submission { service, body, .. } = submission;
        Ok(CheckedSubmission { key, service, body, digest, attempt: random.next_u64(), waiter })
    }

    fn route(&mut self, moment: Moment, submission: CheckedSubmission) {
        let era = era_of(submission.key.issued_unix_ms());
        match self.layouts.get_mut(&era) {
            Some(LayoutState::Known(layout)) => {
                let object = layout.object_of(&submission.key);
                self.step(moment, &object, &WriterEvent::Submit(submission));
            }
            Some(LayoutState::Asked(waiting)) => waiting.push(submission),
            None => {
                self.layouts.insert(era, LayoutState::Asked(vec![submission]));
                self.call(CallPurpose::Layout(era), DeskCall::Read(layout_name(era)));
            }
        }
    }

    fn answered(&mut self, moment: Moment, call: CallId, answer: DeskAnswer) {
        match (self.calls.remove(&call), answer) {
            (Some(CallPurpose::Layout(era)), DeskAnswer::Read(result)) => {
                self.layout_read(moment, era, result);
            }
            (Some(CallPurpose::NewLayout(era, layout)), DeskAnswer::Updated(result)) => {
                self.layout_written(moment, era, layout, result);
            }
            (Some(CallPurpose::Object(object)), DeskAnswer::Read(result)) => {
                self.step(moment, &object, &WriterEvent::Read(result));
            }
            (Some(CallPurpose::Object(object)), DeskAnswer::Updated(result)) => {
                self.step(moment, &object, &WriterEvent::Written(result));
            }
            (Some(CallPurpose::Floor(object)), DeskAnswer::Read(result)) => {
                self.step(moment, &object, &WriterEvent::Floor(LedgerFloor::from_read(result)));
            }
            (Some(_), _) | (None, _) => {}
        }
    }

    fn layout_read(&mut self, moment: Moment, era: Era, result: Result<Object, PlatformError>) {
        match result.map(|object| EraLayout::read(&object)) {
            Ok(Some(layout)) => self.layout_known(moment, era, layout),
            Ok(None) => self.layout_failed(era, "the ledger's layout cannot be read"),
            Err(PlatformError::NotFound) => {
                let layout = EraLayout::proposed(&self.settings);
                let value = serde_json::to_value(&layout).expect("a layout is plain JSON");
                let update = DeskCall::Update(layout_name(era), Precondition::Absent, value);
                self.call(CallPurpose::NewLayout(era, layout), update);
            }
            Err(error) => self.layout_failed(era, &error.to_string()),
        }
    }

    fn layout_written(
        &mut self,
        moment: Moment,
        era: Era,
        layout: EraLayout,
        result: Result<ObjectVersion, PlatformError>,
    ) {
        match result {
            Ok(_) => self.layout_known(moment, era, layout),
            Err(PlatformError::Conflict | PlatformError::AnswerLost) => {
                self.call(CallPurpose::Layout(era), DeskCall::Read(layout_name(era)));
            }
            Err(error) => self.layout_failed(era, &error.to_string()),
        }
    }

    fn layout_known(&mut self, moment: Moment, era: Era, layout: EraLayout) {
        let earlier = self.layouts.insert(era, LayoutState::Known(layout));
        if let Some(LayoutState::Asked(waiting)) = earlier {
            for submission in waiting {
                self.route(moment, submission);
            }
        }
    }

    fn layout_failed(&mut self, era: Era, detail: &str) {
        if let Some(LayoutState::Asked(waiting)) = self.layouts.remove(&era) {
            for submission in waiting {
                let refusal = refusals::store_unavailable(detail, LAYOUT_RETRY);
                self.reply(submission.waiter.ticket, refusal);
            }
        }
    }

    fn tick(&mut self, moment: Moment) {
        self.expire_asked(moment.now);
        let due = |slot: &WriterSlot| slot.wake.is_some_and(|wake| wake <= moment.now);
        let writers = self.writers.iter().filter(|(_, slot)| due(slot));
        let objects: Vec<_> = writers.map(|(object, _)| object.clone()).collect();
        for object in objects {
            self.step(moment, &object, &WriterEvent::Tick);
        }
        self.writers.retain(|_, slot| {
            !slot.machine.inner().is_idle() || slot.busy_at + WRITER_IDLE > moment.now
        });
        let oldest = era_of(moment.unix_ms.saturating_sub(self.settings.retention_ms));
        self.layouts
            .retain(|era, layout| matches!(layout, LayoutState::Asked(_)) || *era >= oldest);
    }

    fn expire_asked(&mut self, now: Instant) {
        let mut late = Vec::new();
        for layout in self.layouts.values_mut() {
            if let LayoutState::Asked(waiting) = layout {
                late.extend(waiting.extract_if(.., |it| it.waiter.deadline <= now));
            }
        }
        for submission in late {
            self.reply(submission.waiter.ticket, refusals::deadline_before_sending());
        }
    }

    /// Lets the writer of `object` take one event.
    fn step(&mut self, moment: Moment, object: &ObjectName, event: &WriterEvent) {
        if let WriterEvent::Submit(submission) = event {
            let era = era_of(submission.key.issued_unix_ms());
            let pacing = WritePacing::new(&self.settings);
            self.writers.entry(object.clone()).or_insert_with(|| WriterSlot {
                machine: LedgerWriter::new(era, pacing).state_machine(),
                busy_at: moment.now,
                wake: None,
            });
        }
        let Some(slot) = self.writers.get_mut(object) else { return };
        let mut step = Step { now: moment.now, unix_ms: moment.unix_ms, actions: Vec::new() };
        slot.machine.handle_with_context(event, &mut step);
        slot.busy_at = moment.now;
        slot.wake = slot.machine.inner().next_wake();
        for action in step.actions {
            self.act(object, action);
        }
    }

    fn act(&mut self, object: &ObjectName, action: WriterAction) {
        let own = CallPurpose::Object(object.clone());
        match action {
            WriterAction::Read => self.call(own, DeskCall::Read(object.clone())),
            WriterAction::Write(precondition, content) => {
                let value = serde_json::to_value(&content).expect("a ledger object is plain JSON");
                self.call(own, DeskCall::Update(object.clone(), precondition, value));
            }
            WriterAction::ReadFloor => {
                self.call(CallPurpose::Floor(object.clone()), DeskCall::Read(floor_name()));
            }
            WriterAction::Send(attempt, request) => {
                self.actions.push(DeskAction::Send { object: object.clone(), attempt, request });
            }
            WriterAction::Reply(ticket, result) => {
                self.actions.push(DeskAction::Reply(ticket, result));
            }
        }
    }

    fn call(&mut self, purpose: CallPurpose, call: DeskCall) {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, purpose);
        self.actions.push(DeskAction::Call(id, call));
    }

    fn reply(&mut self, ticket: Ticket, refusal: Refusal) {
        self.actions.push(DeskAction::Reply(ticket, Err(refusal)));
    }
}
