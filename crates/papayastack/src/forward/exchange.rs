//! One request in flight: drives the request's [`Gather`] with connections and timers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_util::future::{AbortHandle, Abortable, Aborted, BoxFuture, abortable};
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde::Serialize;
use tokio::sync::watch;

use super::attempt::{Attempt, AttemptEnd, CallerRequest, UpstreamReply};
use super::links::LinkSign;
use super::registry::UpstreamSet;
use super::route::{PinnedRoute, RequestKind, RouteTarget};
use super::state::ForwardState;
use crate::ids::{AttemptId, ServiceName, UpstreamId};
use crate::observe::DecisionEvent;
use crate::query::{
    AttemptOutcome, AttemptTrace, Command, FailureReason, Gather, GatherSpec, GatheredPart,
    NoRetryReason, NotRunReason,
};
use crate::routing::UpstreamIndex;
use crate::settings::QueryClass;

/// How long attempts may run on after the request was answered without them, so that their
/// connections can be reused and their latencies are observed.
const UNNEEDED_ATTEMPT_GRACE: Duration = Duration::from_millis(400);

/// The number of shards of a slow request whose attempts are logged.
const SLOW_SHARDS_LOGGED_MAX: usize = 2;

/// How long the links must be lost before an exchange ends; replies may be waiting to be read after
/// a pause of this process.
const LINKS_LOST_CONFIRMATION: Duration = Duration::from_millis(10);

/// Why a request that outlasts the departure of its VM has no answer of an upstream.
pub(crate) const STOPPED_DETAIL: &str = "this VM stops before the request ends";

/// The request of an exchange, its route and the state that the exchange works with.
pub(crate) struct ExchangeTask {
    pub(crate) state: Arc<ForwardState>,
    pub(crate) upstreams: Arc<UpstreamSet>,
    pub(crate) route: PinnedRoute,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) class: QueryClass,
    /// Whether the exchange ends once this VM has lost its links, so that another VM can serve.
    pub(crate) ends_if_links_lost: bool,
}

/// An attempt that ended without being cancelled.
type EndedAttempt = (AttemptId, UpstreamIndex, AttemptEnd);
type RunningAttempt = BoxFuture<'static, EndedAttempt>;

/// An attempt at one of the slowest shards of a request, as it is logged.
#[derive(Debug, Serialize)]
pub(crate) struct SlowAttempt {
    service: ServiceName,
    upstream: UpstreamId,
    /// The time from the start of the exchange to sending the attempt.
    sent_ms: u64,
    /// The time from the start of the exchange to the reply; `None` if there was no reply.
    ended_ms: Option<u64>,
    hedge: bool,
}

/// How an exchange ended.
pub(crate) struct ExchangeEnd {
    /// The reply of each shard, or why it is missing.
    pub(crate) parts: Vec<GatheredPart<UpstreamReply>>,
    /// The newest reply in which an upstream reported an error of its own.
    pub(crate) failure: Option<UpstreamReply>,
    /// The number of attempts that may have run at an upstream without an answer.
    pub(crate) unresolved: u64,
    /// The most attempts that were sent for one shard.
    pub(crate) attempts_used: u32,
    /// A readable description of the last failure of an attempt; empty if none failed.
    pub(crate) last_problem: String,
    /// How many shards were given up, by the reason why no further attempt was made.
    pub(crate) given_up: BTreeMap<NoRetryReason, u32>,
    /// The attempts at the slowest shards, if the request was slow or lacks shards.
    pub(crate) slow_attempts: Vec<SlowAttempt>,
}

/// A request in flight; dropping it cancels the attempts that still run.
pub(crate) struct Exchange {
    task: ExchangeTask,
    started: Instant,
    deadline: Instant,
    gather: Gather<UpstreamReply>,
    attempts: FuturesUnordered<Abortable<RunningAttempt>>,
    /// The abort handles of the attempts, indexed by [`AttemptId`].
    handles: Vec<AbortHandle>,
    failure: Option<UpstreamReply>,
    last_problem: String,
    /// Whether the request may have been sent to an upstream.
    sent: Arc<AtomicBool>,
}

impl Exchange {
    /// Starts the fan-out and sends its first attempts.
    pub(crate) fn start(task: ExchangeTask, spec: GatherSpec) -> Self {
        let (started, deadline) = (Instant::now(), spec.deadline);
        let (gather, commands) = {
            let mut decisions = task.state.decisions();
            Gather::start(spec, &mut decisions.context(&task.route.name, started))
        };
        let mut exchange = Self {
            task,
            started,
            deadline,
            gather,
            attempts: FuturesUnordered::new(),
            handles: Vec::new(),
            failure: None,
            last_problem: String::new(),
            sent: Arc::default(),
        };
        exchange.perform(commands);
        exchange
    }

    /// Runs until the caller can be answered, at the latest until the deadline.
    pub(crate) async fn run(mut self) -> ExchangeEnd {
        let state = Arc::clone(&self.task.state);
        let mut links_lost = state.links_lost.subscribe();
        let mut answers_due = std::pin::pin!(state.departure.answers_are_due());
        while !self.gather.is_finished() {
            let may_end = self.may_end_if_links_lost();
            let wake = tokio::time::Instant::from_std(self.gather.next_wake());
            tokio::select! {
                biased;
                Some(ended) = self.attempts.next(), if !self.attempts.is_empty() => {
                    self.on_attempt_end(ended);
                }
                () = tokio::time::sleep_until(wake) => self.on_tick(),
                () = wait_until_lost(&mut links_lost), if may_end => {
                    // An attempt may have been sent while this waited.
                    if self.may_end_if_links_lost() {
                        return self.end_early("this VM has lost its links to the upstreams");
                    }
                }
                () = &mut answers_due => return self.end_early(STOPPED_DETAIL),
            }
        }
        let slow_attempts = self.slow_attempts();
        let counts = self.gather.counts();
        self.task.state.metrics.repeats(counts);
        let end = ExchangeEnd {
            unresolved: counts.unresolved + self.gather.running() as u64,
            attempts_used: self.gather.attempts_used(),
            parts: self.gather.take_parts(),
            failure: self.failure.take(),
            last_problem: std::mem::take(&mut self.last_problem),
            given_up: self.gather.given_up().clone(),
            slow_attempts,
        };
        if self.gather.running() > 0 {
            tokio::spawn(self.finish_unneeded_attempts());
        }
        end
    }

    /// Tells whether another VM may serve the request if this one has lost its links.
    fn may_end_if_links_lost(&self) -> bool {
        let repeatable = self.task.route.kind == RequestKind::Safe;
        self.task.ends_if_links_lost && (repeatable || !self.sent.load(Ordering::Acquire))
    }

    /// Ends the exchange and its attempts, none of which can be answered any more.
    fn end_early(mut self, detail: &str) -> ExchangeEnd {
        let counts = self.gather.counts();
        self.task.state.metrics.repeats(counts);
        let was_sent = self.sent.load(Ordering::Acquire);
        let running = self.gather.running() as u64;
        ExchangeEnd {
            unresolved: if was_sent { counts.unresolved + running } else { 0 },
            attempts_used: if was_sent { self.gather.attempts_used() } else { 0 },
            parts: self.gather.take_parts(),
            failure: None,
            last_problem: detail.to_owned(),
            given_up: self.gather.given_up().clone(),
            slow_attempts: Vec::new(),
        }
    }

    /// Returns the attempts at the slowest shards; none if all shards answered within the goal.
    fn slow_attempts(&self) -> Vec<SlowAttempt> {
        let is_late = self.started.elapsed() > self.task.route.goal;
        if !is_late && self.gather.is_complete() {
            return Vec::new();
        }
        let since_start = |at: Instant| {
            u64::try_from(at.saturating_duration_since(self.started).as_millis())
                .unwrap_or(u64::MAX)
        };
        let traces = self.gather.slowest(SLOW_SHARDS_LOGGED_MAX);
        let named = |trace: AttemptTrace| {
            let target = self.task.upstreams.by_index.get(&trace.upstream)?;
            Some(SlowAttempt {
                service: target.service.clone(),
                upstream: target.id.clone(),
                sent_ms: since_start(trace.sent_at),
                ended_ms: trace.ended_at.map(since_start),
                hedge: trace.hedge,
            })
        };
        traces.into_iter().filter_map(named).collect()
    }

    /// Lets the remaining attempts run on for a short time after the caller was answered.
    async fn finish_unneeded_attempts(mut self) {
        let until = (Instant::now() + UNNEEDED_ATTEMPT_GRACE).min(self.deadline);
        let all = async {
            while let Some(ended) = self.attempts.next().await {
                self.on_attempt_end(ended);
            }
        };
        // Attempts that still run after the grace period are cancelled with `self`.
        let _ = tokio::time::timeout_at(until.into(), all).await;
    }

    fn on_attempt_end(&mut self, ended: Result<EndedAttempt, Aborted>) {
        // An aborted attempt needs no handling: `cancel` has already reported it to the fan-out.
        let Ok((id, upstream, end)) = ended else { return };
        let AttemptEnd { outcome, failure, load, detail } = end;
        let now = Instant::now();
        if !matches!(outcome, AttemptOutcome::Answered(_)) {
            self.log_problem(upstream, &outcome, &detail);
            self.last_problem = detail;
        }
        self.task.state.metrics.attempt_ended(&outcome);
        self.failure = failure.or(self.failure.take());
        let commands = {
            let mut decisions = self.task.state.decisions();
            if let Some(load) = load {
                decisions.record_load(upstream, load, now);
            }
            let mut context = decisions.context(&self.task.route.name, now);
            self.gather.on_reply(id, outcome, &mut context)
        };
        self.perform(commands);
    }

    fn on_tick(&mut self) {
        let silent;
        let commands = {
            let mut decisions = self.task.state.decisions();
            let mut context = decisions.context(&self.task.route.name, Instant::now());
            let commands = self.gather.on_tick(&mut context);
            silent = decisions.take_newly_silent();
            if decisions.has_unreported_silent() {
                self.task.state.silence_found.notify_one();
            }
            commands
        };
        for target in silent.iter().filter_map(|index| self.task.upstreams.by_index.get(index)) {
            // Where owners send for this VM, their silence says nothing about its own links.
            let document = self.task.route.document();
            if self.task.state.upstream_access(target, document).connections_max > 0 {
                self.task.state.record_link_sign(target, LinkSign::Silent);
            }
        }
        self.perform(commands);
    }

    fn perform(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { attempt, upstream, .. } => self.send(attempt, upstream),
                Command::Cancel { attempt, .. } => self.cancel(attempt),
                Command::SnapshotGone | Command::Finished => {}
            }
        }
    }

    fn send(&mut self, id: AttemptId, upstream: UpstreamIndex) {
        let target = self.task.upstreams.by_index.get(&upstream).cloned();
        // Retries and hedges come later than the set of upstreams that the request started with.
        let Some(target) = target.filter(|target| self.task.state.is_current(target)) else {
            let gone = AttemptOutcome::NotRun(NotRunReason::UnknownUpstream);
            let end = AttemptEnd::new(gone, "the upstream is no longer used");
            self.run_attempt(Box::pin(async move { (id, upstream, end) }));
            return;
        };
        let access = self.task.state.upstream_access(&target, self.task.route.document());
        let state = Arc::clone(&self.task.state);
        let request = Arc::clone(&self.task.request);
        let sent = Arc::clone(&self.sent);
        let (deadline, class, chosen_at) = (self.deadline, self.task.class, Instant::now());
        let is_part = matches!(self.task.route.target, RouteTarget::Shards(_));
        self.run_attempt(Box::pin(async move {
            let attempt = Attempt {
                state: &state,
                request: &request,
                target: &target,
                access: &access,
                deadline,
                class,
                chosen_at,
                is_part,
                sent: &sent,
            };
            (id, upstream, attempt.run().await)
        }));
    }

    fn run_attempt(&mut self, attempt: RunningAttempt) {
        let (attempt, handle) = abortable(attempt);
        self.handles.push(handle);
        self.attempts.push(attempt);
    }

    /// Cancels an attempt that is no longer needed and so closes its connection.
    fn cancel(&mut self, id: AttemptId) {
        if let Some(handle) = usize::try_from(id).ok().and_then(|id| self.handles.get(id)) {
            handle.abort();
        }
        let mut decisions = self.task.state.decisions();
        let mut context = decisions.context(&self.task.route.name, Instant::now());
        let cancelled = AttemptOutcome::Failed(FailureReason::Cancelled);
        // `on_reply` returns no commands here: the shard has its answer or was given up.
        self.gather.on_reply(id, cancelled, &mut context);
    }

    fn log_problem(
        &self,
        upstream: UpstreamIndex,
        outcome: &AttemptOutcome<UpstreamReply>,
        detail: &str,
    ) {
        let id = self.task.upstreams.by_index.get(&upstream).map(|target| target.id.as_str());
        self.task.state.log.write(DecisionEvent::AttemptFailed, || {
            serde_json::json!({
                "request": self.task.request.request_id.to_str().unwrap_or(""),
                "route": self.task.route.name,
                "upstream": id,
                "outcome": crate::observe::attempt_name(outcome),
                "detail": detail,
            })
        });
    }
}

/// Returns once the links are lost and stay so for a moment.
async fn wait_until_lost(links_lost: &mut watch::Receiver<bool>) {
    loop {
        if links_lost.wait_for(|lost| *lost).await.is_err() {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(LINKS_LOST_CONFIRMATION).await;
        if *links_lost.borrow() {
            return;
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let mut decisions = self.task.state.decisions();
        let mut context = decisions.context(&self.task.route.name, Instant::now());
        self.gather.abandon(&mut context);
    }
}
