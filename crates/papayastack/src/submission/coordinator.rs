//! The state machine of a VM's submissions.
//!
//! It validates requests, loads the layouts of eras and runs one [`LedgerWriter`] for each ledger
//! object. It performs no I/O: calls and replies are returned as actions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::RngCore;
use statig::blocking::StateMachine;
use statig::prelude::*;

use super::key::{SubmissionKey, SubmissionKeyError};
use super::layout::{Era, EraLayout, LedgerFloor, era_of, floor_name, layout_name};
use super::record::{SubmissionAttempt, body_digest};
use super::refusals;
use super::request::{CheckedSubmission, SubmissionResult, Waiter, WaiterId};
use super::sender::{SendOutcome, Submission};
use super::writer::{LedgerWriter, StepContext, WritePacing, WriterAction, WriterEvent};
use crate::outcome::Refusal;
use crate::platform::{Object, ObjectName, ObjectVersion, PlatformError, Precondition};
use crate::settings::SubmissionSettings;
use crate::upstream::SubmitRequest;

/// The id of a call to the platform.
pub(crate) type CallId = u64;

/// How long an idle writer is kept, which saves reading its object again.
const WRITER_IDLE_MAX: Duration = Duration::from_secs(60);
/// When a caller should retry after a layout could not be read or written.
const LAYOUT_RETRY: Duration = Duration::from_millis(500);
/// How long after the store came back from an older copy no submission runs whose key was issued
/// before: another VM may still have to record again that it ran.
const RECORD_AGAIN_WAIT: Duration = Duration::from_secs(5);

/// The time at which an input is handled.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepTime {
    /// The time of the VM's monotonic clock.
    pub(crate) now: Instant,
    /// The time of the VM's wall clock in unix milliseconds.
    pub(crate) unix_ms: u64,
}

/// A call to the platform.
#[derive(Debug, Clone)]
pub(crate) enum CoordinatorCall {
    /// Read an object.
    Read(ObjectName),
    /// Write an object.
    Update(ObjectName, Precondition, serde_json::Value),
}

/// The platform's answer to a [`CoordinatorCall`].
#[derive(Debug, Clone)]
pub(crate) enum CoordinatorAnswer {
    /// The answer to a read.
    Read(Result<Object, PlatformError>),
    /// The answer to an update.
    Updated(Result<ObjectVersion, PlatformError>),
}

/// An event that a coordinator handles.
#[derive(Debug)]
pub(crate) enum CoordinatorInput {
    /// A caller's request arrived.
    Submit { waiter_id: WaiterId, submission: Submission, deadline: Instant },
    /// The platform answered a call.
    Answered(CallId, CoordinatorAnswer),
    /// Sending an attempt to an upstream ended.
    Sent { object: ObjectName, attempt: SubmissionAttempt, outcome: SendOutcome },
    /// The store came back from an older copy.
    StoreReset,
    /// The settings changed.
    Settings(SubmissionSettings),
    /// The time of [`Coordinator::next_wake`] was reached.
    Tick,
}

/// An action that a coordinator requests.
#[derive(Debug)]
pub(crate) enum CoordinatorAction {
    /// Call the platform.
    Call(CallId, CoordinatorCall),
    /// Send an attempt to an upstream.
    Send { object: ObjectName, attempt: SubmissionAttempt, request: SubmitRequest },
    /// Answer a caller's request.
    Reply(WaiterId, SubmissionResult),
}

/// The purpose of a call under way, which decides how its answer is handled.
#[derive(Debug)]
enum CallPurpose {
    Layout(Era),
    NewLayout(Era, EraLayout),
    Object(ObjectName),
    Floor(ObjectName),
}

/// The state of an era's layout at this VM.
#[derive(Debug)]
enum LayoutState {
    Known(EraLayout),
    Loading(Vec<CheckedSubmission>),
}

struct WriterSlot {
    machine: StateMachine<LedgerWriter>,
    last_event_at: Instant,
    wake: Option<Instant>,
}

/// Coordinates all submissions of one VM.
pub(crate) struct Coordinator {
    settings: SubmissionSettings,
    reset: Option<StepTime>,
    layouts: BTreeMap<Era, LayoutState>,
    writers: BTreeMap<ObjectName, WriterSlot>,
    calls: BTreeMap<CallId, CallPurpose>,
    next_call: CallId,
    actions: Vec<CoordinatorAction>,
}

impl Coordinator {
    /// Creates a coordinator that has read nothing of the ledger.
    pub(crate) fn new(settings: SubmissionSettings) -> Self {
        Self {
            settings,
            reset: None,
            layouts: BTreeMap::new(),
            writers: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            actions: Vec::new(),
        }
    }

    /// Handles one input and returns the requested actions in order.
    pub(crate) fn handle(
        &mut self,
        time: StepTime,
        random: &mut dyn RngCore,
        input: CoordinatorInput,
    ) -> Vec<CoordinatorAction> {
        match input {
            CoordinatorInput::Submit { waiter_id, submission, deadline } => {
                let waiter = Waiter { waiter_id, deadline };
                match self.check(time, random, submission, waiter) {
                    Ok(checked) => self.route(time, checked),
                    Err(refusal) => self.reply(waiter_id, refusal),
                }
            }
            CoordinatorInput::Answered(call, answer) => self.answered(time, call, answer),
            CoordinatorInput::Sent { object, attempt, outcome } => {
                self.step_writer(time, &object, &WriterEvent::Sent(attempt, outcome));
            }
            CoordinatorInput::StoreReset => self.store_reset(time),
            CoordinatorInput::Settings(settings) => self.settings = settings,
            CoordinatorInput::Tick => self.tick(time),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when the next [`CoordinatorInput::Tick`] is due.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let writers = self.writers.values().filter_map(|slot| slot.wake);
        let loading = self.layouts.values().flat_map(|layout| match layout {
            LayoutState::Known(_) => &[],
            LayoutState::Loading(waiting) => waiting.as_slice(),
        });
        writers.chain(loading.map(|it| it.waiter.deadline)).min()
    }

    /// Returns whether no request or attempt is open and every outcome is recorded.
    pub(crate) fn is_idle(&self) -> bool {
        let loading = |layout: &LayoutState| matches!(layout, LayoutState::Loading(_));
        let busy = |slot: &WriterSlot| !slot.machine.inner().is_idle();
        !self.layouts.values().any(loading) && !self.writers.values().any(busy)
    }

    /// Returns the bucket of `key` by its era's layout, or by the settings if that is not loaded.
    pub(crate) fn bucket_of(&self, key: &SubmissionKey) -> u32 {
        match self.layouts.get(&era_of(key.issued_unix_ms())) {
            Some(LayoutState::Known(layout)) => layout.bucket_of(key),
            Some(LayoutState::Loading(_)) | None => {
                EraLayout::proposed(&self.settings).bucket_of(key)
            }
        }
    }

    fn check(
        &self,
        time: StepTime,
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
        let ahead_ms = key.issued_unix_ms().saturating_sub(time.unix_ms);
        if ahead_ms > self.settings.clock_skew_max_ms {
            return Err(refusals::issued_too_far_ahead(ahead_ms, self.settings.clock_skew_max_ms));
        }
        let age_ms = time.unix_ms.saturating_sub(key.issued_unix_ms());
        if age_ms > self.settings.retention_ms {
            return Err(refusals::no_longer_known(&key));
        }
        if let Some(wait) = self.record_again_wait(time, &key) {
            return Err(refusals::store_unavailable(
                "the store came back from an older copy, and VMs still record what ran",
                wait,
            ));
        }
        if waiter.deadline <= time.now {
            return Err(refusals::deadline_before_sending());
        }
        let digest = body_digest(&submission.service, &submission.body);
        let Submission { service, body, .. } = submission;
        Ok(CheckedSubmission { key, service, body, digest, attempt: random.next_u64(), waiter })
    }

    /// Writes again what the store may have lost: the layouts and the entries of all ledger objects
    /// that this VM knows.
    fn store_reset(&mut self, time: StepTime) {
        self.reset = Some(time);
        let known = self.layouts.iter().filter_map(|(era, layout)| match layout {
            LayoutState::Known(layout) => Some((*era, layout.clone())),
            LayoutState::Loading(_) => None,
        });
        for (era, layout) in known.collect::<Vec<_>>() {
            self.write_layout(era, layout);
        }
        let objects: Vec<ObjectName> = self.writers.keys().cloned().collect();
        for object in objects {
            self.step_writer(time, &object, &WriterEvent::StoreReset);
        }
    }

    /// Returns how long a submission must wait because its key was issued before the store came back
    /// from an older copy; `None` if it may run.
    fn record_again_wait(&self, time: StepTime, key: &SubmissionKey) -> Option<Duration> {
        let reset = self.reset?;
        let newest_ms = reset.unix_ms + self.settings.clock_skew_max_ms;
        let elapsed = time.now.saturating_duration_since(reset.now);
        let wait = RECORD_AGAIN_WAIT.checked_sub(elapsed).filter(|wait| !wait.is_zero())?;
        (key.issued_unix_ms() <= newest_ms).then_some(wait)
    }

    fn write_layout(&mut self, era: Era, layout: EraLayout) {
        let value = serde_json::to_value(&layout).expect("a layout is plain JSON");
        let update = CoordinatorCall::Update(layout_name(era), Precondition::Absent, value);
        self.call(CallPurpose::NewLayout(era, layout), update);
    }

    fn route(&mut self, time: StepTime, submission: CheckedSubmission) {
        let era = era_of(submission.key.issued_unix_ms());
        match self.layouts.get_mut(&era) {
            Some(LayoutState::Known(layout)) => {
                let object = layout.object_of(&submission.key);
                self.step_writer(time, &object, &WriterEvent::Submit(submission));
            }
            Some(LayoutState::Loading(waiting)) => waiting.push(submission),
            None => {
                self.layouts.insert(era, LayoutState::Loading(vec![submission]));
                self.call(CallPurpose::Layout(era), CoordinatorCall::Read(layout_name(era)));
            }
        }
    }

    fn answered(&mut self, time: StepTime, call: CallId, answer: CoordinatorAnswer) {
        match (self.calls.remove(&call), answer) {
            (Some(CallPurpose::Layout(era)), CoordinatorAnswer::Read(result)) => {
                self.layout_read(time, era, result);
            }
            (Some(CallPurpose::NewLayout(era, layout)), CoordinatorAnswer::Updated(result)) => {
                self.layout_written(time, era, layout, result);
            }
            (Some(CallPurpose::Object(object)), CoordinatorAnswer::Read(result)) => {
                self.step_writer(time, &object, &WriterEvent::Read(result));
            }
            (Some(CallPurpose::Object(object)), CoordinatorAnswer::Updated(result)) => {
                self.step_writer(time, &object, &WriterEvent::Written(result));
            }
            (Some(CallPurpose::Floor(object)), CoordinatorAnswer::Read(result)) => {
                self.step_writer(
                    time,
                    &object,
                    &WriterEvent::Floor(LedgerFloor::from_read(result)),
                );
            }
            (Some(_), _) | (None, _) => {}
        }
    }

    fn layout_read(&mut self, time: StepTime, era: Era, result: Result<Object, PlatformError>) {
        match result.map(|object| EraLayout::read(&object)) {
            Ok(Some(layout)) => self.layout_known(time, era, layout),
            Ok(None) => self.layout_failed(era, "the era's layout object is malformed"),
            Err(PlatformError::NotFound) => {
                self.write_layout(era, EraLayout::proposed(&self.settings));
            }
            Err(error) => self.layout_failed(era, &error.to_string()),
        }
    }

    fn layout_written(
        &mut self,
        time: StepTime,
        era: Era,
        layout: EraLayout,
        result: Result<ObjectVersion, PlatformError>,
    ) {
        match result {
            Ok(_) => self.layout_known(time, era, layout),
            Err(PlatformError::Conflict | PlatformError::AnswerLost) => {
                self.call(CallPurpose::Layout(era), CoordinatorCall::Read(layout_name(era)));
            }
            Err(error) => self.layout_failed(era, &error.to_string()),
        }
    }

    fn layout_known(&mut self, time: StepTime, era: Era, layout: EraLayout) {
        let earlier = self.layouts.insert(era, LayoutState::Known(layout));
        if let Some(LayoutState::Loading(waiting)) = earlier {
            for submission in waiting {
                self.route(time, submission);
            }
        }
    }

    fn layout_failed(&mut self, era: Era, detail: &str) {
        if let Some(LayoutState::Loading(waiting)) = self.layouts.remove(&era) {
            for submission in waiting {
                let refusal = refusals::store_unavailable(detail, LAYOUT_RETRY);
                self.reply(submission.waiter.waiter_id, refusal);
            }
        }
    }

    fn tick(&mut self, time: StepTime) {
        self.expire_loading(time.now);
        let due = |slot: &WriterSlot| slot.wake.is_some_and(|wake| wake <= time.now);
        let writers = self.writers.iter().filter(|(_, slot)| due(slot));
        let objects: Vec<_> = writers.map(|(object, _)| object.clone()).collect();
        for object in objects {
            self.step_writer(time, &object, &WriterEvent::Tick);
        }
        self.writers.retain(|_, slot| {
            !slot.machine.inner().is_idle() || slot.last_event_at + WRITER_IDLE_MAX > time.now
        });
        let oldest = era_of(time.unix_ms.saturating_sub(self.settings.retention_ms));
        self.layouts
            .retain(|era, layout| matches!(layout, LayoutState::Loading(_)) || *era >= oldest);
    }

    fn expire_loading(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for layout in self.layouts.values_mut() {
            if let LayoutState::Loading(waiting) = layout {
                expired.extend(waiting.extract_if(.., |it| it.waiter.deadline <= now));
            }
        }
        for submission in expired {
            self.reply(submission.waiter.waiter_id, refusals::deadline_before_sending());
        }
    }

    /// Passes one event to the writer of `object` and performs the actions that it requests.
    fn step_writer(&mut self, time: StepTime, object: &ObjectName, event: &WriterEvent) {
        if let WriterEvent::Submit(submission) = event {
            let era = era_of(submission.key.issued_unix_ms());
            let pacing = WritePacing::new(&self.settings);
            self.writers.entry(object.clone()).or_insert_with(|| WriterSlot {
                machine: LedgerWriter::new(era, pacing).state_machine(),
                last_event_at: time.now,
                wake: None,
            });
        }
        let Some(slot) = self.writers.get_mut(object) else { return };
        let mut context = StepContext { now: time.now, unix_ms: time.unix_ms, actions: Vec::new() };
        slot.machine.handle_with_context(event, &mut context);
        slot.last_event_at = time.now;
        slot.wake = slot.machine.inner().next_wake();
        for action in context.actions {
            self.perform(object, action);
        }
    }

    fn perform(&mut self, object: &ObjectName, action: WriterAction) {
        let purpose = CallPurpose::Object(object.clone());
        match action {
            WriterAction::Read => self.call(purpose, CoordinatorCall::Read(object.clone())),
            WriterAction::Write(precondition, content) => {
                let value = serde_json::to_value(&content).expect("a ledger object is plain JSON");
                self.call(purpose, CoordinatorCall::Update(object.clone(), precondition, value));
            }
            WriterAction::ReadFloor => {
                self.call(CallPurpose::Floor(object.clone()), CoordinatorCall::Read(floor_name()));
            }
            WriterAction::Send(attempt, request) => {
                self.actions.push(CoordinatorAction::Send {
                    object: object.clone(),
                    attempt,
                    request,
                });
            }
            WriterAction::Reply(waiter_id, result) => {
                self.actions.push(CoordinatorAction::Reply(waiter_id, result));
            }
        }
    }

    fn call(&mut self, purpose: CallPurpose, call: CoordinatorCall) {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, purpose);
        self.actions.push(CoordinatorAction::Call(id, call));
    }

    fn reply(&mut self, waiter_id: WaiterId, refusal: Refusal) {
        self.actions.push(CoordinatorAction::Reply(waiter_id, Err(refusal)));
    }
}
