//! The asynchronous driver of a VM's submissions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use super::desk::{CallId, Desk, DeskAction, DeskAnswer, DeskCall, DeskInput, Moment};
use super::key::SubmissionKey;
use super::record::SubmissionAttempt;
use super::refusals;
use super::request::{SubmissionResult, Ticket};
use super::sender::{SendOutcome, Submission, SubmissionDone, SubmissionSender};
use crate::outcome::{Refusal, RefusalReason};
use crate::platform::{ObjectName, Platform, PlatformError};
use crate::settings::SubmissionSettings;
use crate::upstream::SubmitRequest;

/// Requests that one VM's desk holds at once.
const IN_FLIGHT_MAX: usize = 16_384;
/// When to come back after [`IN_FLIGHT_MAX`] was reached.
const OVERLOAD_RETRY: Duration = Duration::from_millis(200);
/// How long the platform may take to answer one call before its answer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an outcome is awaited after the deadline, so that it can still be recorded.
const LATE_OUTCOME_WAIT: Duration = Duration::from_secs(30);

/// Returns a clock's unix milliseconds.
pub type WallClock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// The running desk of a VM, which runs submissions at most once.
///
/// Any number of desks may work on the same keys: the ledger's conditional updates decide. After
/// the last clone is dropped, the desk goes on until everything is recorded.
#[derive(Clone)]
pub struct SubmissionDesk {
    shared: Arc<Shared>,
}

struct Shared {
    inputs: mpsc::UnboundedSender<DriverInput>,
    permits: Arc<Semaphore>,
    tickets: AtomicU64,
}

impl Drop for Shared {
    fn drop(&mut self) {
        // The driver may have stopped with its runtime.
        let _ = self.inputs.send(DriverInput::Close);
    }
}

impl SubmissionDesk {
    /// Spawns the desk on the current runtime.
    pub fn spawn(
        platform: Arc<dyn Platform>,
        settings: SubmissionSettings,
        sender: Arc<dyn SubmissionSender>,
    ) -> Self {
        Self::spawn_with_clock(platform, settings, sender, Arc::new(system_unix_ms))
    }

    /// Spawns the desk with another clock than the system's, for virtual time.
    pub fn spawn_with_clock(
        platform: Arc<dyn Platform>,
        settings: SubmissionSettings,
        sender: Arc<dyn SubmissionSender>,
        clock: WallClock,
    ) -> Self {
        let (inputs, received) = mpsc::unbounded_channel();
        let driver = Driver {
            desk: Desk::new(settings),
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
        Self { shared: Arc::new(Shared { inputs, permits, tickets: AtomicU64::default() }) }
    }

    /// Runs `submission` unless its key already ran; answers by `deadline`.
    pub async fn submit(
        &self,
        submission: Submission,
        deadline: Instant,
    ) -> Result<SubmissionDone, Refusal> {
        let Ok(permit) = Arc::clone(&self.shared.permits).try_acquire_owned() else {
            let detail = "too many submissions are in flight at this VM; retry with the same key";
            let retry = Some(OVERLOAD_RETRY);
            return Err(refusals::not_run(RefusalReason::Overloaded, detail, retry));
        };
        let ticket = self.shared.tickets.fetch_add(1, Ordering::Relaxed);
        let (reply, replied) = oneshot::channel();
        let request =
            Request { ticket, submission, deadline, reply: Reply { reply, _permit: permit } };
        if self.shared.inputs.send(DriverInput::Request(request)).is_err() {
            let detail = "this VM is leaving; retry at another VM with the same key";
            return Err(refusals::not_run(RefusalReason::Leaving, detail, Some(Duration::ZERO)));
        }
        replied.await.unwrap_or_else(|_| {
            let detail =
                "this VM stopped while it held the submission; ask again with the same key";
            Err(refusals::sent(RefusalReason::Leaving, detail))
        })
    }

    /// Puts new settings in force; the number of buckets counts from the next unopened era.
    pub fn configure(&self, settings: SubmissionSettings) {
        // A desk that has stopped needs no settings.
        let _ = self.shared.inputs.send(DriverInput::Desk(DeskInput::Settings(settings)));
    }

    /// Returns the bucket of `key`, by which submissions are routed to one VM.
    pub async fn bucket_of(&self, key: SubmissionKey) -> Option<u32> {
        let (reply, replied) = oneshot::channel();
        self.shared.inputs.send(DriverInput::Bucket(key, reply)).ok()?;
        replied.await.ok()
    }

    /// Waits up to `wait` until no request waits, nothing runs and every outcome is recorded, as
    /// a VM does before it leaves; returns whether that came true.
    pub async fn drained(&self, wait: Duration) -> bool {
        let (reply, replied) = oneshot::channel();
        if self.shared.inputs.send(DriverInput::Drained(reply)).is_err() {
            return true;
        }
        // A driver that has stopped holds nothing.
        tokio::time::timeout(wait, replied).await.is_ok()
    }
}

/// What the driver's task receives.
enum DriverInput {
    Request(Request),
    Desk(DeskInput),
    Bucket(SubmissionKey, oneshot::Sender<u32>),
    Drained(oneshot::Sender<()>),
    Close,
}

struct Request {
    ticket: Ticket,
    submission: Submission,
    deadline: Instant,
    reply: Reply,
}

struct Reply {
    reply: oneshot::Sender<SubmissionResult>,
    _permit: OwnedSemaphorePermit,
}

struct Driver {
    desk: Desk,
    random: StdRng,
    platform: Arc<dyn Platform>,
    sender: Arc<dyn SubmissionSender>,
    clock: WallClock,
    completions: mpsc::UnboundedSender<DriverInput>,
    replies: BTreeMap<Ticket, Reply>,
    drained: Vec<oneshot::Sender<()>>,
    closing: bool,
}

impl Driver {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<DriverInput>) {
        loop {
            // Inputs may never cease; what is due must not wait for them.
            let wake = self.desk.next_wake();
            if wake.is_some_and(|wake| wake <= tokio::time::Instant::now().into_std()) {
                self.handle(DeskInput::Tick);
            }
            if self.desk.is_idle() {
                self.tell_drained();
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
                () = sleep_until(self.desk.next_wake()) => {}
            }
        }
    }

    fn tell_drained(&mut self) {
        for asker in self.drained.drain(..) {
            // The asker may have gone.
            let _ = asker.send(());
        }
    }

    fn receive(&mut self, input: DriverInput) {
        match input {
            DriverInput::Request(Request { ticket, submission, deadline, reply }) => {
                self.replies.insert(ticket, reply);
                self.handle(DeskInput::Submit { ticket, submission, deadline });
            }
            DriverInput::Desk(input) => self.handle(input),
            // The asker may have gone.
            DriverInput::Bucket(key, reply) => drop(reply.send(self.desk.bucket_of(&key))),
            DriverInput::Drained(reply) => self.drained.push(reply),
            DriverInput::Close => self.closing = true,
        }
    }

    fn handle(&mut self, input: DeskInput) {
        let now = tokio::time::Instant::now().into_std();
        let moment = Moment { now, unix_ms: (self.clock)() };
        for action in self.desk.handle(moment, &mut self.random, input) {
            self.act(action);
        }
    }

    fn act(&mut self, action: DeskAction) {
        match action {
            DeskAction::Call(id, call) => self.call(id, call),
            DeskAction::Send { object, attempt, request } => self.send(object, attempt, request),
            DeskAction::Reply(ticket, result) => {
                if let Some(waiting) = self.replies.remove(&ticket) {
                    // The caller may have gone.
                    let _ = waiting.reply.send(result);
                }
            }
        }
    }

    fn call(&self, id: CallId, call: DeskCall) {
        let platform = Arc::clone(&self.platform);
        self.complete(async move {
            let answer = match call {
                DeskCall::Read(name) => DeskAnswer::Read(bounded(platform.read(&name)).await),
                DeskCall::Update(name, precondition, value) => {
                    let update = platform.update(&name, precondition, value);
                    DeskAnswer::Updated(bounded(update).await)
                }
            };
            DeskInput::Answered(id, answer)
        });
    }

    fn send(&self, object: ObjectName, attempt: SubmissionAttempt, request: SubmitRequest) {
        let sender = Arc::clone(&self.sender);
        let wait = Duration::from_millis(request.remaining_ms) + LATE_OUTCOME_WAIT;
        let sending = tokio::spawn(async move { sender.send(request).await });
        self.complete(async move {
            let outcome = match tokio::time::timeout(wait, sending).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) => unknown("the sending broke off"),
                Err(_) => unknown("the upstream did not answer"),
            };
            DeskInput::Sent { object, attempt, outcome }
        });
    }

    /// Runs `work` beside the driver and hands it the result.
    fn complete(&self, work: impl Future<Output = DeskInput> + Send + 'static) {
        let completions = self.completions.clone();
        tokio::spawn(async move {
            // The driver may have stopped with its runtime.
            let _ = completions.send(DriverInput::Desk(work.await));
        });
    }
}

/// Makes a call to the platform; an answer later than [`CALL_TIMEOUT`] counts as lost.
pub(crate) async fn bounded<T>(
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Result<T, PlatformError> {
    tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(PlatformError::AnswerLost))
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
