//! The asynchronous task that drives a VM's [`Coordinator`] with calls, timers and requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};

use super::coordinator::{
    CallId, Coordinator, CoordinatorAction, CoordinatorAnswer, CoordinatorCall, CoordinatorInput,
    StepTime,
};
use super::key::SubmissionKey;
use super::record::SubmissionAttempt;
use super::refusals;
use super::request::{SubmissionResult, WaiterId};
use super::sender::{SendOutcome, Submission, SubmissionDone, SubmissionSender};
use crate::outcome::{Refusal, RefusalReason};
use crate::platform::{ObjectName, Platform, PlatformError, StoreEra};
use crate::settings::SubmissionSettings;
use crate::upstream::SubmitRequest;

/// The maximum number of requests that one VM's coordinator holds at once.
const IN_FLIGHT_MAX: usize = 16_384;
/// When a caller should retry after a refusal because of [`IN_FLIGHT_MAX`].
const OVERLOAD_RETRY: Duration = Duration::from_millis(200);
/// The time after which a platform call without an answer is treated as
/// [`PlatformError::AnswerLost`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after its deadline a sent submission's outcome is awaited, so that it can be recorded.
const LATE_OUTCOME_WAIT: Duration = Duration::from_secs(30);

/// A function that returns the current time in unix milliseconds.
pub type WallClock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// The submission coordinator of a VM, a background task that runs submissions at most once.
///
/// Any number of coordinators may work on the same keys: the ledger's conditional updates decide.
/// After the last clone is dropped, the coordinator runs on until every outcome is recorded.
#[derive(Clone)]
pub struct SubmissionCoordinator {
    shared: Arc<Shared>,
}

struct Shared {
    inputs: mpsc::UnboundedSender<DriverInput>,
    permits: Arc<Semaphore>,
    next_waiter_id: AtomicU64,
}

impl Drop for Shared {
    fn drop(&mut self) {
        // The send fails only if the driver stopped with its runtime.
        let _ = self.inputs.send(DriverInput::Close);
    }
}

impl SubmissionCoordinator {
    /// Spawns the coordinator as a task of the current runtime.
    pub fn spawn(
        platform: Arc<dyn Platform>,
        settings: SubmissionSettings,
        sender: Arc<dyn SubmissionSender>,
    ) -> Self {
        Self::spawn_with_clock(platform, settings, sender, Arc::new(system_unix_ms))
    }

    /// Spawns the coordinator with a custom clock, for virtual time.
    pub fn spawn_with_clock(
        platform: Arc<dyn Platform>,
        settings: SubmissionSettings,
        sender: Arc<dyn SubmissionSender>,
        clock: WallClock,
    ) -> Self {
        let (inputs, received) = mpsc::unbounded_channel();
        let driver = Driver {
            coordinator: Coordinator::new(settings),
            random: StdRng::from_os_rng(),
            platform,
            sender,
            clock,
            completions: inputs.clone(),
            replies: BTreeMap::new(),
            drained: Vec::new(),
            closing: false,
        };
        tokio::spawn(driver.run(received));
        let permits = Arc::new(Semaphore::new(IN_FLIGHT_MAX));
        Self { shared: Arc::new(Shared { inputs, permits, next_waiter_id: AtomicU64::default() }) }
    }

    /// Runs `submission` unless its key already ran; answers by `deadline`.
    pub async fn submit(
        &self,
        submission: Submission,
        deadline: Instant,
    ) -> Result<SubmissionDone, Refusal> {
        let Ok(permit) = Arc::clone(&self.shared.permits).try_acquire_owned() else {
            let detail =
                "this VM has reached its limit of submissions in flight; retry with the same key";
            let retry = Some(OVERLOAD_RETRY);
            return Err(refusals::not_run(RefusalReason::Overloaded, detail, retry));
        };
        let waiter_id = self.shared.next_waiter_id.fetch_add(1, Ordering::Relaxed);
        let (reply, replied) = oneshot::channel();
        let request =
            Request { waiter_id, submission, deadline, reply: Reply { reply, _permit: permit } };
        if self.shared.inputs.send(DriverInput::Request(request)).is_err() {
            let detail = "this VM is leaving; retry at another VM with the same key";
            return Err(refusals::not_run(RefusalReason::Leaving, detail, Some(Duration::ZERO)));
        }
        replied.await.unwrap_or_else(|_| {
            let detail =
                "this VM stopped before the submission finished; ask again with the same key";
            Err(refusals::may_have_run(RefusalReason::Leaving, detail))
        })
    }

    /// Applies new settings; layout settings take effect from the next era that has no layout yet.
    pub fn configure(&self, settings: SubmissionSettings) {
        // The send fails only if the task has stopped, which needs no settings.
        let _ =
            self.shared.inputs.send(DriverInput::Coordinator(CoordinatorInput::Settings(settings)));
    }

    /// Returns the bucket of `key`, by which submissions are routed to one VM; `None` if the task
    /// has stopped.
    pub async fn bucket_of(&self, key: SubmissionKey) -> Option<u32> {
        let (reply, replied) = oneshot::channel();
        self.shared.inputs.send(DriverInput::Bucket(key, reply)).ok()?;
        replied.await.ok()
    }

    /// Waits up to `wait` until no request or attempt is open and every outcome is recorded;
    /// returns whether that state was reached. A VM waits for it before it leaves.
    pub async fn wait_until_drained(&self, wait: Duration) -> bool {
        let (reply, replied) = oneshot::channel();
        if self.shared.inputs.send(DriverInput::Drained(reply)).is_err() {
            return true;
        }
        // A dropped sender means that the task has stopped and holds nothing.
        tokio::time::timeout(wait, replied).await.is_ok()
    }
}

/// A message to the driver's task.
enum DriverInput {
    Request(Request),
    Coordinator(CoordinatorInput),
    Bucket(SubmissionKey, oneshot::Sender<u32>),
    Drained(oneshot::Sender<()>),
    Close,
}

struct Request {
    waiter_id: WaiterId,
    submission: Submission,
    deadline: Instant,
    reply: Reply,
}

struct Reply {
    reply: oneshot::Sender<SubmissionResult>,
    _permit: OwnedSemaphorePermit,
}

struct Driver {
    coordinator: Coordinator,
    random: StdRng,
    platform: Arc<dyn Platform>,
    sender: Arc<dyn SubmissionSender>,
    clock: WallClock,
    completions: mpsc::UnboundedSender<DriverInput>,
    replies: BTreeMap<WaiterId, Reply>,
    drained: Vec<oneshot::Sender<()>>,
    closing: bool,
}

impl Driver {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<DriverInput>) {
        let mut eras = self.platform.eras();
        let mut known_era = eras.as_mut().and_then(|eras| *eras.borrow_and_update());
        loop {
            // Handles a due tick first, because the select below prefers inputs: under constant
            // load it would never get to its timer.
            let wake = self.coordinator.next_wake();
            if wake.is_some_and(|wake| wake <= tokio::time::Instant::now().into_std()) {
                self.handle(CoordinatorInput::Tick);
            }
            if self.coordinator.is_idle() {
                self.notify_drained();
                if self.closing {
                    return;
                }
            }
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.receive(input),
                    None => return,
                },
                era = next_era(eras.as_mut()) => {
                    // The first answer only names the era that the store is in.
                    if known_era.replace(era).is_some() {
                        self.handle(CoordinatorInput::StoreReset);
                    }
                }
                () = sleep_until(self.coordinator.next_wake()) => {}
            }
        }
    }

    fn notify_drained(&mut self) {
        for waiter in self.drained.drain(..) {
            // The send fails only if the waiting call was cancelled.
            let _ = waiter.send(());
        }
    }

    fn receive(&mut self, input: DriverInput) {
        match input {
            DriverInput::Request(Request { waiter_id, submission, deadline, reply }) => {
                self.replies.insert(waiter_id, reply);
                self.handle(CoordinatorInput::Submit { waiter_id, submission, deadline });
            }
            DriverInput::Coordinator(input) => self.handle(input),
            // The send fails only if the waiting call was cancelled.
            DriverInput::Bucket(key, reply) => drop(reply.send(self.coordinator.bucket_of(&key))),
            DriverInput::Drained(reply) => self.drained.push(reply),
            DriverInput::Close => self.closing = true,
        }
    }

    fn handle(&mut self, input: CoordinatorInput) {
        let now = tokio::time::Instant::now().into_std();
        let time = StepTime { now, unix_ms: (self.clock)() };
        for action in self.coordinator.handle(time, &mut self.random, input) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Call(id, call) => self.call(id, call),
            CoordinatorAction::Send { object, attempt, request } => {
                self.send(object, attempt, request)
            }
            CoordinatorAction::Reply(waiter_id, result) => {
                if let Some(waiting) = self.replies.remove(&waiter_id) {
                    // The send fails only if the caller's request was cancelled.
                    let _ = waiting.reply.send(result);
                }
            }
        }
    }

    fn call(&self, id: CallId, call: CoordinatorCall) {
        let platform = Arc::clone(&self.platform);
        self.spawn_completion(async move {
            let answer = match call {
                CoordinatorCall::Read(name) => {
                    CoordinatorAnswer::Read(with_call_timeout(platform.read(&name)).await)
                }
                CoordinatorCall::Update(name, precondition, value) => {
                    let update = platform.update(&name, precondition, value);
                    CoordinatorAnswer::Updated(with_call_timeout(update).await)
                }
            };
            CoordinatorInput::Answered(id, answer)
        });
    }

    fn send(&self, object: ObjectName, attempt: SubmissionAttempt, request: SubmitRequest) {
        let sender = Arc::clone(&self.sender);
        let wait = Duration::from_millis(request.remaining_ms) + LATE_OUTCOME_WAIT;
        let send_task = tokio::spawn(async move { sender.send(request).await });
        self.spawn_completion(async move {
            let outcome = match tokio::time::timeout(wait, send_task).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) => unknown("the task that sent the submission to the upstream failed"),
                Err(_) => {
                    unknown(&format!("the upstream did not answer within {} ms", wait.as_millis()))
                }
            };
            CoordinatorInput::Sent { object, attempt, outcome }
        });
    }

    /// Spawns `work` as a task of its own and passes its result to the driver.
    fn spawn_completion(&self, work: impl Future<Output = CoordinatorInput> + Send + 'static) {
        let completions = self.completions.clone();
        tokio::spawn(async move {
            // The send fails only if the driver stopped with its runtime.
            let _ = completions.send(DriverInput::Coordinator(work.await));
        });
    }
}

/// Makes a call to the platform with [`CALL_TIMEOUT`].
pub(crate) async fn with_call_timeout<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(PlatformError::AnswerLost))
}

/// Returns the next era of the store once an answer names it.
async fn next_era(eras: Option<&mut watch::Receiver<Option<StoreEra>>>) -> StoreEra {
    if let Some(eras) = eras
        && eras.changed().await.is_ok()
        && let Some(era) = *eras.borrow_and_update()
    {
        return era;
    }
    std::future::pending().await
}

async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(wake.into()).await,
        None => std::future::pending().await,
    }
}

fn unknown(detail: &str) -> SendOutcome {
    SendOutcome::Unknown { detail: detail.to_owned() }
}

pub(crate) fn system_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
