//! Several desks, a platform and an upstream whose every step is chosen from outside.

use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};
use serde_json::json;

use super::checker::{Checker, Process, Request};
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

/// A ledger that is broken on purpose, by a platform that undoes one of its protections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sabotage {
    /// Nothing is broken.
    None,
    /// Updates are accepted whatever their precondition.
    NoFence,
    /// An attempt without a proven outcome reads as "not run".
    RetryAfterUnknown,
    /// The floor is never seen.
    NoFloor,
}

/// How a platform call or a sending ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// As it should.
    Works,
    /// Refused; nothing happened.
    Refused,
    /// The answer is lost and nothing happened.
    LostBefore,
    /// The answer is lost, though it happened.
    LostAfter,
    /// The answer is lost, and it happens later.
    LostLate,
}

pub(super) const ENDINGS: [Ending; 5] =
    [Ending::Works, Ending::Refused, Ending::LostBefore, Ending::LostAfter, Ending::LostLate];

/// Something whose answer was lost and that happens later.
enum Late {
    Update(ObjectName, Precondition, serde_json::Value),
    Execution(Process, SubmissionAttempt, SubmitRequest),
}

/// One VM: a coordinator, and what its process has not yet done or taken in.
pub(super) struct Vm {
    coordinator: Coordinator,
    process: Process,
    pub(super) clock_offset_ms: i64,
    paused_at: Option<Duration>,
    /// How far the VM's clocks lag because they stood still while it was paused.
    lag: Duration,
    pub(super) inbox: Vec<CoordinatorInput>,
    pub(super) actions: Vec<CoordinatorAction>,
    prune: Option<(PrunePass, PruneCall)>,
}

impl Vm {
    /// Returns when the VM wants to wake, by the true time.
    fn wake(&self) -> Option<Instant> {
        self.coordinator.next_wake().map(|wake| wake + self.lag)
    }

    pub(super) fn is_paused(&self) -> bool {
        self.paused_at.is_some()
    }

    pub(super) fn runs(&self, process: Process) -> bool {
        self.process == process
    }
}

/// Numbers attempts, so that the checker knows whose they are.
struct AttemptNumbers<'a>(&'a mut u64);

impl RngCore for AttemptNumbers<'_> {
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

pub(super) struct World {
    pub(super) random: SmallRng,
    start: Instant,
    elapsed: Duration,
    pub(super) objects: Objects,
    pub(super) outage: bool,
    /// The share of calls and sendings that end other than they should.
    pub(super) fault_share: f64,
    sabotage: Sabotage,
    late: Vec<Late>,
    pub(super) vms: Vec<Vm>,
    pub(super) checker: Checker,
    settings: SubmissionSettings,
    attempts: u64,
    processes: u64,
    /// Ledger objects that pruning deleted.
    pub(super) deletions: u64,
}

impl World {
    pub(super) fn new(seed: u64, vms: usize, sabotage: Sabotage) -> Self {
        let settings = SubmissionSettings {
            buckets: 1,
            retention_ms: 2 * 3_600_000,
            slot_ms: 3_600_000,
            ..SubmissionSettings::default()
        };
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            objects: Objects::default(),
            outage: false,
            fault_share: 0.0,
            sabotage,
            late: Vec::new(),
            vms: Vec::new(),
            checker: Checker::default(),
            settings,
            attempts: 0,
            processes: 0,
            deletions: 0,
        };
        for _ in 0..vms {
            let vm = world.new_vm();
            world.vms.push(vm);
        }
        world
    }

    /// Kills the VM's process and starts another one.
    pub(super) fn restart(&mut self, vm: usize) {
        let clock_offset_ms = self.vms[vm].clock_offset_ms;
        self.vms[vm] = Vm { clock_offset_ms, ..self.new_vm() };
    }

    /// Stops the VM between two of its steps.
    pub(super) fn pause(&mut self, vm: usize) {
        self.vms[vm].paused_at.get_or_insert(self.elapsed);
    }

    /// Lets the VM go on; its clocks may have stood still.
    pub(super) fn wake(&mut self, vm: usize, clocks_stood_still: bool) {
        let paused_at = self.vms[vm].paused_at.take();
        if let Some(paused_at) = paused_at.filter(|_| clocks_stood_still) {
            self.vms[vm].lag += self.elapsed - paused_at;
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
        let request = Request { key: key.to_owned(), body, process, attempt: None, told: None };
        self.checker.requests.insert(waiter_id, request);
        let submission =
            Submission { service: SERVICE.into(), key: Some(key.to_owned()), body: json!(body) };
        let deadline = self.moment(vm).now + wait;
        self.vms[vm].inbox.push(CoordinatorInput::Submit { waiter_id, submission, deadline });
        waiter_id
    }

    /// Lets the VM take one input.
    pub(super) fn take(&mut self, vm: usize, input: CoordinatorInput) {
        let moment = self.moment(vm);
        let waiter_id = match &input {
            CoordinatorInput::Submit { waiter_id, .. } => Some(*waiter_id),
            _ => None,
        };
        let before = self.attempts;
        let mut numbers = AttemptNumbers(&mut self.attempts);
        let actions = self.vms[vm].coordinator.handle(moment, &mut numbers, input);
        self.vms[vm].actions.extend(actions);
        if let Some(waiter_id) = waiter_id.filter(|_| self.attempts > before) {
            let request = self.checker.requests.get_mut(&waiter_id).unwrap();
            request.attempt = Some(self.attempts);
        }
    }

    /// Lets the VM notice that time has passed, if it wants to.
    pub(super) fn tick(&mut self, vm: usize) {
        let now = self.moment(vm).now;
        if self.vms[vm].coordinator.next_wake().is_some_and(|wake| wake <= now) {
            self.take(vm, CoordinatorInput::Tick);
        }
    }

    /// Does what the VM asked for.
    pub(super) fn perform(&mut self, vm: usize, action: CoordinatorAction, ending: Ending) {
        match action {
            CoordinatorAction::Reply(waiter_id, result) => self.checker.told(waiter_id, result),
            CoordinatorAction::Call(id, call) => {
                let answer = match call {
                    CoordinatorCall::Read(name) => {
                        let read = self.read(&name, ending);
                        CoordinatorAnswer::Read(self.sabotaged(&name, read))
                    }
                    CoordinatorCall::Update(name, precondition, value) => {
                        CoordinatorAnswer::Updated(self.update(name, precondition, value, ending))
                    }
                };
                self.vms[vm].inbox.push(CoordinatorInput::Answered(id, answer));
            }
            CoordinatorAction::Send { object, attempt, request } => {
                let outcome = self.send(self.vms[vm].process, attempt, request, ending);
                self.vms[vm].inbox.push(CoordinatorInput::Sent { object, attempt, outcome });
            }
        }
    }

    /// Lets one thing happen whose answer was lost.
    pub(super) fn happen_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.late.len());
        match self.late.swap_remove(index) {
            Late::Update(name, precondition, value) => {
                // Nobody hears whether it was accepted.
                let _ = self.accept(&name, &precondition, value);
            }
            Late::Execution(process, attempt, request) => {
                self.execute(process, attempt, &request);
            }
        }
    }

    /// Makes the VM's next pruning call.
    pub(super) fn prune(&mut self, vm: usize, ending: Ending) {
        let unix_ms = self.moment(vm).unix_ms;
        let begun = self.vms[vm].prune.take();
        let (mut pass, call) = begun.unwrap_or_else(|| PrunePass::start(&self.settings, unix_ms));
        let answer = match call {
            PruneCall::Read(name) => PruneAnswer::Read(self.read(&name, ending)),
            PruneCall::ListLayouts(kind) => {
                let names = self.objects.objects.keys().filter(|name| name.kind == kind);
                PruneAnswer::Listed(Ok(names.cloned().collect()))
            }
            PruneCall::Update(name, precondition, value) => {
                PruneAnswer::Updated(self.update(name, precondition, value, ending))
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

    /// Puts other settings in force at the VM.
    pub(super) fn configure(&mut self, vm: usize, buckets: u32) {
        let settings = SubmissionSettings { buckets, ..self.settings.clone() };
        self.take(vm, CoordinatorInput::Settings(settings));
    }

    /// Lets everything go on without faults until nothing is left to do.
    pub(super) fn settle(&mut self) {
        self.outage = false;
        for vm in 0..self.vms.len() {
            self.wake(vm, false);
        }
        let vms = 0..self.vms.len();
        loop {
            let ready = vms.clone().filter(|vm| self.run_ready(*vm)).count();
            if ready == 0 && !self.wake_first(vms.clone()) {
                return;
            }
        }
    }

    /// Lets one VM go on without faults until it asks for something `wanted`, which is held back;
    /// `None` where it finishes first.
    pub(super) fn run_until(
        &mut self,
        vm: usize,
        wanted: impl Fn(&CoordinatorAction) -> bool,
    ) -> Option<CoordinatorAction> {
        loop {
            if let Some(index) = self.vms[vm].actions.iter().position(&wanted) {
                return Some(self.vms[vm].actions.remove(index));
            }
            if !self.run_ready(vm) && !self.wake_first(vm..vm + 1) {
                return None;
            }
        }
    }

    /// Lets one VM go on without faults until it finishes.
    pub(super) fn run(&mut self, vm: usize) {
        self.run_until(vm, |_| false);
    }

    /// Does everything that is ready at the VM, without faults.
    fn run_ready(&mut self, vm: usize) -> bool {
        let actions = std::mem::take(&mut self.vms[vm].actions);
        let inbox = std::mem::take(&mut self.vms[vm].inbox);
        let any = !actions.is_empty() || !inbox.is_empty();
        for action in actions {
            self.perform(vm, action, Ending::Works);
        }
        for input in inbox {
            self.take(vm, input);
        }
        any
    }

    /// Passes time until the first of the VMs wants to wake, and wakes it.
    fn wake_first(&mut self, vms: Range<usize>) -> bool {
        let wakes = vms.filter_map(|vm| Some((self.vms[vm].wake()?, vm)));
        let Some((wake, vm)) = wakes.min() else { return false };
        self.elapsed = self.elapsed.max(wake.saturating_duration_since(self.start));
        self.take(vm, CoordinatorInput::Tick);
        true
    }

    fn new_vm(&mut self) -> Vm {
        self.processes += 1;
        Vm {
            coordinator: Coordinator::new(self.settings.clone()),
            process: self.processes,
            clock_offset_ms: 0,
            paused_at: None,
            lag: Duration::ZERO,
            inbox: Vec::new(),
            actions: Vec::new(),
            prune: None,
        }
    }

    fn moment(&self, vm: usize) -> StepTime {
        let Vm { clock_offset_ms, lag, .. } = self.vms[vm];
        let lag_ms = u64::try_from(lag.as_millis()).unwrap();
        let unix_ms = self.unix_ms().saturating_add_signed(clock_offset_ms) - lag_ms;
        StepTime { now: self.start + self.elapsed - lag, unix_ms }
    }

    fn read(&mut self, name: &ObjectName, ending: Ending) -> Result<Object, PlatformError> {
        if self.outage || ending == Ending::Refused {
            return Err(PlatformError::Unavailable);
        }
        if ending != Ending::Works {
            return Err(PlatformError::AnswerLost);
        }
        self.objects.read(name)
    }

    fn sabotaged(
        &self,
        name: &ObjectName,
        read: Result<Object, PlatformError>,
    ) -> Result<Object, PlatformError> {
        match (self.sabotage, name.kind.as_str()) {
            (Sabotage::NoFloor, "ledger-floor") => Err(PlatformError::NotFound),
            (Sabotage::RetryAfterUnknown, "ledger") => read.map(|object| Object {
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
        ending: Ending,
    ) -> Result<ObjectVersion, PlatformError> {
        if self.outage {
            return Err(PlatformError::Unavailable);
        }
        match ending {
            Ending::Works => self.accept(&name, &precondition, value),
            Ending::Refused => {
                Err(PlatformError::RateLimited { retry_after: Duration::from_millis(50) })
            }
            Ending::LostBefore => Err(PlatformError::AnswerLost),
            Ending::LostAfter => {
                // Nobody hears whether it was accepted.
                let _ = self.accept(&name, &precondition, value);
                Err(PlatformError::AnswerLost)
            }
            Ending::LostLate => {
                self.late.push(Late::Update(name, precondition, value));
                Err(PlatformError::AnswerLost)
            }
        }
    }

    fn accept(
        &mut self,
        name: &ObjectName,
        precondition: &Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        let fenced = self.sabotage != Sabotage::NoFence || name.kind != "ledger";
        let current = self.objects.objects.get(name).map(|object| object.version);
        let free = current.map_or(Precondition::Absent, Precondition::Version);
        self.objects.update(name, if fenced { precondition } else { &free }, value)
    }

    fn send(
        &mut self,
        process: Process,
        attempt: SubmissionAttempt,
        request: SubmitRequest,
        ending: Ending,
    ) -> SendOutcome {
        let unknown = SendOutcome::Unknown { detail: "connection reset".into() };
        match ending {
            Ending::Works => {
                SendOutcome::Done { receipt: self.execute(process, attempt, &request) }
            }
            Ending::Refused => SendOutcome::NotRun {
                reason: RefusalReason::Overloaded,
                detail: "no slot is free".into(),
                retry_after: Some(Duration::from_millis(50)),
            },
            Ending::LostBefore => unknown,
            Ending::LostAfter => {
                self.execute(process, attempt, &request);
                unknown
            }
            Ending::LostLate => {
                self.late.push(Late::Execution(process, attempt, request));
                unknown
            }
        }
    }

    fn execute(
        &mut self,
        process: Process,
        attempt: SubmissionAttempt,
        request: &SubmitRequest,
    ) -> String {
        let body = request.body.as_u64().unwrap();
        self.checker.executed(process, attempt, &request.key, body)
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
