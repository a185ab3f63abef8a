//! A simulation of several VMs, a platform and an upstream, in which the test chooses every step.

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};
use serde_json::json;

use super::checker::{Checker, ProcessId, Request};
use super::store::Objects;
use crate::outcome::RefusalReason;
use crate::platform::{Object, ObjectName, ObjectVersion, PlatformError, Precondition};
use crate::settings::SubmissionSettings;
use crate::submission::coordinator::{
    Coordinator, CoordinatorAction, CoordinatorAnswer, CoordinatorCall, CoordinatorInput, StepTime,
};
use crate::submission::prune_pass::{PruneAnswer, PruneCall, PrunePass, PruneStep};
use crate::submission::record::{LedgerObject, RecordedOutcome, SubmissionAttempt};
use crate::submission::request::WaiterId;
use crate::submission::sender::{SendOutcome, Submission};
use crate::upstream::SubmitRequest;

pub(super) const START_UNIX_MS: u64 = 1_700_000_000_000;
const SERVICE: &str = "filings";

/// A bug injected into the simulated platform, which disables one safeguard of the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InjectedBug {
    /// No bug.
    None,
    /// Updates of ledger objects are accepted whatever their precondition.
    UnconditionalUpdates,
    /// Entries without a receipt are read as "not run", so that their submissions are retried.
    RetryAfterUnknown,
    /// Reads of the ledger floor find none.
    IgnoredFloor,
}

/// A fault of a platform call or of sending a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InjectedFault {
    /// The call succeeds.
    NoFault,
    /// The call is refused and has no effect.
    Refused,
    /// The answer is lost and the call has no effect.
    LostBefore,
    /// The answer is lost after the call took effect.
    LostAfter,
    /// The answer is lost and the call takes effect later.
    Delayed,
}

pub(super) const FAULTS: [InjectedFault; 5] = [
    InjectedFault::NoFault,
    InjectedFault::Refused,
    InjectedFault::LostBefore,
    InjectedFault::LostAfter,
    InjectedFault::Delayed,
];

/// The effect of a call with [`InjectedFault::Delayed`].
enum DelayedEffect {
    Update(ObjectName, Precondition, serde_json::Value),
    Execution(ProcessId, SubmissionAttempt, SubmitRequest),
}

/// A VM: its coordinator, with the inputs and actions that are still to be handled.
pub(super) struct Vm {
    coordinator: Coordinator,
    process: ProcessId,
    pub(super) clock_offset_ms: i64,
    paused_at: Option<Duration>,
    /// How far the VM's clocks lag because they stood still while it was paused.
    clock_lag: Duration,
    pub(super) inbox: Vec<CoordinatorInput>,
    pub(super) actions: Vec<CoordinatorAction>,
    prune: Option<(PrunePass, PruneCall)>,
}

impl Vm {
    /// Returns when the VM's next tick is due, in simulated time.
    fn next_wake(&self) -> Option<Instant> {
        self.coordinator.next_wake().map(|wake| wake + self.clock_lag)
    }

    pub(super) fn is_paused(&self) -> bool {
        self.paused_at.is_some()
    }

    pub(super) fn runs(&self, process: ProcessId) -> bool {
        self.process == process
    }
}

/// A random number generator that counts up, so that the checker can match attempts to requests.
struct SequentialAttemptIds<'a>(&'a mut u64);

impl RngCore for SequentialAttemptIds<'_> {
    fn next_u32(&mut self) -> u32 {
        u32::try_from(self.next_u64()).unwrap()
    }

    fn next_u64(&mut self) -> u64 {
        *self.0 += 1;
        *self.0
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        for byte in bytes {
            *byte = self.next_u64().to_le_bytes()[0];
        }
    }
}

pub(super) struct Simulation {
    pub(super) random: SmallRng,
    start: Instant,
    elapsed: Duration,
    pub(super) objects: Objects,
    pub(super) outage: bool,
    /// The probability that a call gets one of [`FAULTS`].
    pub(super) fault_share: f64,
    bug: InjectedBug,
    delayed: Vec<DelayedEffect>,
    pub(super) vms: Vec<Vm>,
    pub(super) checker: Checker,
    settings: SubmissionSettings,
    attempts: u64,
    processes: u64,
    /// The number of objects that pruning deleted.
    pub(super) deletions: u64,
}

impl Simulation {
    pub(super) fn new(seed: u64, vms: usize, bug: InjectedBug) -> Self {
        let settings = SubmissionSettings {
            buckets: 1,
            retention_ms: 2 * 3_600_000,
            slot_ms: 3_600_000,
            ..SubmissionSettings::default()
        };
        let mut simulation = Self {
            random: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            objects: Objects::default(),
            outage: false,
            fault_share: 0.0,
            bug,
            delayed: Vec::new(),
            vms: Vec::new(),
            checker: Checker::default(),
            settings,
            attempts: 0,
            processes: 0,
            deletions: 0,
        };
        for _ in 0..vms {
            let vm = simulation.new_vm();
            simulation.vms.push(vm);
        }
        simulation
    }

    /// Replaces the VM's process by a new one, which loses all state in memory.
    pub(super) fn restart(&mut self, vm: usize) {
        let clock_offset_ms = self.vms[vm].clock_offset_ms;
        self.vms[vm] = Vm { clock_offset_ms, ..self.new_vm() };
    }

    /// Pauses the VM's process.
    pub(super) fn pause(&mut self, vm: usize) {
        self.vms[vm].paused_at.get_or_insert(self.elapsed);
    }

    /// Resumes the VM, whose clocks may have stood still during the pause.
    pub(super) fn resume(&mut self, vm: usize, clocks_stood_still: bool) {
        let paused_at = self.vms[vm].paused_at.take();
        if let Some(paused_at) = paused_at.filter(|_| clocks_stood_still) {
            self.vms[vm].clock_lag += self.elapsed - paused_at;
        }
    }

    pub(super) fn unix_ms(&self) -> u64 {
        START_UNIX_MS + u64::try_from(self.elapsed.as_millis()).unwrap()
    }

    pub(super) fn pass_time(&mut self, time: Duration) {
        self.elapsed += time;
    }

    pub(super) fn submit(&mut self, vm: usize, key: &str, body: u64, wait: Duration) -> WaiterId {
        let waiter_id = self.checker.requests.len() as u64;
        let process = self.vms[vm].process;
        let request = Request { key: key.to_owned(), body, process, attempt: None, answer: None };
        self.checker.requests.insert(waiter_id, request);
        let submission =
            Submission { service: SERVICE.into(), key: Some(key.to_owned()), body: json!(body) };
        let deadline = self.step_time(vm).now + wait;
        self.vms[vm].inbox.push(CoordinatorInput::Submit { waiter_id, submission, deadline });
        waiter_id
    }

    /// Passes one input to the VM's coordinator.
    pub(super) fn handle_input(&mut self, vm: usize, input: CoordinatorInput) {
        let time = self.step_time(vm);
        let waiter_id = match &input {
            CoordinatorInput::Submit { waiter_id, .. } => Some(*waiter_id),
            _ => None,
        };
        let before = self.attempts;
        let mut numbers = SequentialAttemptIds(&mut self.attempts);
        let actions = self.vms[vm].coordinator.handle(time, &mut numbers, input);
        self.vms[vm].actions.extend(actions);
        if let Some(waiter_id) = waiter_id.filter(|_| self.attempts > before) {
            let request = self.checker.requests.get_mut(&waiter_id).unwrap();
            request.attempt = Some(self.attempts);
        }
    }

    /// Passes a tick to the VM's coordinator if one is due.
    pub(super) fn tick(&mut self, vm: usize) {
        let now = self.step_time(vm).now;
        if self.vms[vm].coordinator.next_wake().is_some_and(|wake| wake <= now) {
            self.handle_input(vm, CoordinatorInput::Tick);
        }
    }

    /// Performs an action of the VM; a platform call or sending gets `fault`.
    pub(super) fn perform(&mut self, vm: usize, action: CoordinatorAction, fault: InjectedFault) {
        match action {
            CoordinatorAction::Reply(id, result) => self.checker.record_answer(id, result),
            CoordinatorAction::Call(id, call) => {
                let answer = match call {
                    CoordinatorCall::Read(name) => {
                        let read = self.read(&name, fault);
                        CoordinatorAnswer::Read(self.with_injected_bug(&name, read))
                    }
                    CoordinatorCall::Update(name, precondition, value) => {
                        CoordinatorAnswer::Updated(self.update(name, precondition, value, fault))
                    }
                };
                self.vms[vm].inbox.push(CoordinatorInput::Answered(id, answer));
            }
            CoordinatorAction::Send { object, attempt, request } => {
                let outcome = self.send(self.vms[vm].process, attempt, request, fault);
                self.vms[vm].inbox.push(CoordinatorInput::Sent { object, attempt, outcome });
            }
        }
    }

    /// Applies one random delayed effect.
    pub(super) fn apply_delayed_effect(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.delayed.len());
        match self.delayed.swap_remove(index) {
            DelayedEffect::Update(name, precondition, value) => {
                // The caller no longer waits for the result.
                let _ = self.apply_update(&name, &precondition, value);
            }
            DelayedEffect::Execution(process, attempt, request) => {
                self.execute(process, attempt, &request);
            }
        }
    }

    /// Makes the VM's next pruning call.
    pub(super) fn prune(&mut self, vm: usize, fault: InjectedFault) {
        let unix_ms = self.step_time(vm).unix_ms;
        let begun = self.vms[vm].prune.take();
        let (mut pass, call) = begun.unwrap_or_else(|| PrunePass::start(&self.settings, unix_ms));
        let answer = match call {
            PruneCall::Read(name) => PruneAnswer::Read(self.read(&name, fault)),
            PruneCall::ListLayouts(kind) => {
                let names = self.objects.objects.keys().filter(|name| name.kind == kind);
                PruneAnswer::Listed(Ok(names.cloned().collect()))
            }
            PruneCall::Update(name, precondition, value) => {
                PruneAnswer::Updated(self.update(name, precondition, value, fault))
            }
            PruneCall::Delete(name, version) => {
                let deleted = self.objects.delete(&name, version);
                self.deletions += u64::from(deleted.is_ok());
                PruneAnswer::Deleted(deleted)
            }
        };
        if let PruneStep::Call(next) = pass.answered(answer) {
            self.vms[vm].prune = Some((pass, next));
        }
    }

    /// Changes the number of buckets in the VM's settings.
    pub(super) fn configure(&mut self, vm: usize, buckets: u32) {
        let settings = SubmissionSettings { buckets, ..self.settings.clone() };
        self.handle_input(vm, CoordinatorInput::Settings(settings));
    }

    /// Resumes all VMs and runs them without faults until none has anything left to do.
    pub(super) fn run_to_completion(&mut self) {
        self.outage = false;
        for vm in 0..self.vms.len() {
            self.resume(vm, false);
        }
        let vms = 0..self.vms.len();
        loop {
            let ready = vms.clone().filter(|vm| self.run_ready(*vm)).count();
            if ready == 0 && !self.advance_to_next_wake(vms.clone()) {
                return;
            }
        }
    }

    /// Runs one VM without faults until it requests an action that is `wanted`, which is returned
    /// unperformed; `None` if the VM finishes first.
    pub(super) fn run_until(
        &mut self,
        vm: usize,
        wanted: impl Fn(&CoordinatorAction) -> bool,
    ) -> Option<CoordinatorAction> {
        loop {
            if let Some(index) = self.vms[vm].actions.iter().position(&wanted) {
                return Some(self.vms[vm].actions.remove(index));
            }
            if !self.run_ready(vm) && !self.advance_to_next_wake(vm..vm + 1) {
                return None;
            }
        }
    }

    /// Runs one VM without faults until it has nothing left to do.
    pub(super) fn run(&mut self, vm: usize) {
        self.run_until(vm, |_| false);
    }

    /// Performs all pending actions and handles all pending inputs of the VM, without faults.
    fn run_ready(&mut self, vm: usize) -> bool {
        let actions = std::mem::take(&mut self.vms[vm].actions);
        let inbox = std::mem::take(&mut self.vms[vm].inbox);
        let any = !actions.is_empty() || !inbox.is_empty();
        for action in actions {
            self.perform(vm, action, InjectedFault::NoFault);
        }
        for input in inbox {
            self.handle_input(vm, input);
        }
        any
    }

    /// Advances the time to the first tick that is due at one of `vms`, and passes it.
    fn advance_to_next_wake(&mut self, vms: Range<usize>) -> bool {
        let wakes = vms.filter_map(|vm| Some((self.vms[vm].next_wake()?, vm)));
        let Some((wake, vm)) = wakes.min() else { return false };
        self.elapsed = self.elapsed.max(wake.saturating_duration_since(self.start));
        self.handle_input(vm, CoordinatorInput::Tick);
        true
    }

    fn new_vm(&mut self) -> Vm {
        self.processes += 1;
        Vm {
            coordinator: Coordinator::new(self.settings.clone()),
            process: self.processes,
            clock_offset_ms: 0,
            paused_at: None,
            clock_lag: Duration::ZERO,
            inbox: Vec::new(),
            actions: Vec::new(),
            prune: None,
        }
    }

    fn step_time(&self, vm: usize) -> StepTime {
        let Vm { clock_offset_ms, clock_lag, .. } = self.vms[vm];
        let clock_lag_ms = u64::try_from(clock_lag.as_millis()).unwrap();
        let unix_ms = self.unix_ms().saturating_add_signed(clock_offset_ms) - clock_lag_ms;
        StepTime { now: self.start + self.elapsed - clock_lag, unix_ms }
    }

    fn read(&mut self, name: &ObjectName, fault: InjectedFault) -> Result<Object, PlatformError> {
        if self.outage || fault == InjectedFault::Refused {
            return Err(PlatformError::Unavailable);
        }
        if fault != InjectedFault::NoFault {
            return Err(PlatformError::AnswerLost);
        }
        self.objects.read(name)
    }

    fn with_injected_bug(
        &self,
        name: &ObjectName,
        read: Result<Object, PlatformError>,
    ) -> Result<Object, PlatformError> {
        match (self.bug, name.kind.as_str()) {
            (InjectedBug::IgnoredFloor, "ledger-floor") => Err(PlatformError::NotFound),
            (InjectedBug::RetryAfterUnknown, "ledger") => read.map(|object| Object {
                version: object.version,
                value: unknown_as_not_run(object.value),
            }),
            _ => read,
        }
    }

    fn update(
        &mut self,
        name: ObjectName,
        precondition: Precondition,
        value: serde_json::Value,
        fault: InjectedFault,
    ) -> Result<ObjectVersion, PlatformError> {
        if self.outage {
            return Err(PlatformError::Unavailable);
        }
        match fault {
            InjectedFault::NoFault => self.apply_update(&name, &precondition, value),
            InjectedFault::Refused => {
                Err(PlatformError::RateLimited { retry_after: Duration::from_millis(50) })
            }
            InjectedFault::LostBefore => Err(PlatformError::AnswerLost),
            InjectedFault::LostAfter => {
                // The update may be accepted, but its result is lost.
                let _ = self.apply_update(&name, &precondition, value);
                Err(PlatformError::AnswerLost)
            }
            InjectedFault::Delayed => {
                self.delayed.push(DelayedEffect::Update(name, precondition, value));
                Err(PlatformError::AnswerLost)
            }
        }
    }

    fn apply_update(
        &mut self,
        name: &ObjectName,
        precondition: &Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        let conditional = self.bug != InjectedBug::UnconditionalUpdates || name.kind != "ledger";
        let current = self.objects.objects.get(name).map(|object| object.version);
        let current_precondition = current.map_or(Precondition::Absent, Precondition::Version);
        self.objects.update(
            name,
            if conditional { precondition } else { &current_precondition },
            value,
        )
    }

    fn send(
        &mut self,
        process: ProcessId,
        attempt: SubmissionAttempt,
        request: SubmitRequest,
        fault: InjectedFault,
    ) -> SendOutcome {
        let unknown = SendOutcome::Unknown { detail: "connection reset".into() };
        match fault {
            InjectedFault::NoFault => {
                SendOutcome::Done { receipt: self.execute(process, attempt, &request) }
            }
            InjectedFault::Refused => SendOutcome::NotRun {
                reason: RefusalReason::Overloaded,
                detail: "no slot is free".into(),
                retry_after: Some(Duration::from_millis(50)),
            },
            InjectedFault::LostBefore => unknown,
            InjectedFault::LostAfter => {
                self.execute(process, attempt, &request);
                unknown
            }
            InjectedFault::Delayed => {
                self.delayed.push(DelayedEffect::Execution(process, attempt, request));
                unknown
            }
        }
    }

    fn execute(
        &mut self,
        process: ProcessId,
        attempt: SubmissionAttempt,
        request: &SubmitRequest,
    ) -> String {
        let body = request.body.as_u64().unwrap();
        self.checker.record_execution(process, attempt, &request.key, body)
    }
}

fn unknown_as_not_run(value: serde_json::Value) -> serde_json::Value {
    let mut content: LedgerObject = serde_json::from_value(value).unwrap();
    for entry in content.entries.values_mut() {
        if !matches!(entry.outcome, Some(RecordedOutcome::Done { .. })) {
            entry.outcome = Some(RecordedOutcome::NotRun);
        }
    }
    serde_json::to_value(content).unwrap()
}
