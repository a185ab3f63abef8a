//! One request in flight: the gathering wired to connections and clock.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};

use super::attempt::{AttemptEnd, CallerRequest, UpstreamReply, attempt};
use super::registry::{UpstreamSet, UpstreamTarget};
use super::route::{Route, RouteTable};
use super::state::ForwardState;
use crate::ids::AttemptId;
use crate::observe::DecisionEvent;
use crate::query::{AttemptOutcome, Command, Gather, GatherSpec, GatheredPart, NotRunReason};
use crate::routing::UpstreamIndex;

/// How long attempts that the answer did not wait for may go on, so that their connections can be
/// kept and what they show of their upstreams is learnt.
const LOSER_GRACE: Duration = Duration::from_millis(400);

/// What an exchange needs to know beside the gathering.
pub(crate) struct ExchangeTask {
    pub(crate) state: Arc<ForwardState>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) upstreams: Arc<UpstreamSet>,
    pub(crate) route: Route,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) vms: u32,
}

/// How an exchange ended.
pub(crate) struct ExchangeEnd {
    /// What became of each shard.
    pub(crate) parts: Vec<GatheredPart<UpstreamReply>>,
    /// The newest failure that an upstream answered by its own word.
    pub(crate) failure: Option<UpstreamReply>,
    /// Attempts that may have run without giving an answer.
    pub(crate) unresolved: u64,
    /// The last thing that went wrong, for a person.
    pub(crate) last_problem: String,
}

/// A request in flight; dropped, it breaks off what still runs.
pub(crate) struct Exchange {
    task: ExchangeTask,
    deadline: Instant,
    gather: Gather<UpstreamReply>,
    attempts: FuturesUnordered<BoxFuture<'static, (AttemptId, UpstreamIndex, AttemptEnd)>>,
    failure: Option<UpstreamReply>,
    last_problem: String,
}

impl Exchange {
    /// Starts the first attempts.
    pub(crate) fn start(task: ExchangeTask, spec: GatherSpec) -> Self {
        let deadline = spec.deadline;
        let (gather, commands) = {
            let mut decisions = task.state.decisions();
            Gather::start(spec, &mut decisions.context(&task.route.name, Instant::now()))
        };
        let mut exchange = Self {
            task,
            deadline,
            gather,
            attempts: FuturesUnordered::new(),
            failure: None,
            last_problem: String::new(),
        };
        exchange.perform(commands);
        exchange
    }

    /// Runs until an answer or a refusal can be given, at the deadline at the latest.
    pub(crate) async fn run(mut self) -> ExchangeEnd {
        while !self.gather.is_finished() {
            let wake = tokio::time::Instant::from_std(self.gather.next_wake());
            tokio::select! {
                biased;
                Some((id, upstream, end)) = self.attempts.next(), if !self.attempts.is_empty() => {
                    self.on_end(id, upstream, end);
                }
                () = tokio::time::sleep_until(wake) => self.on_tick(),
            }
        }
        let counts = self.gather.counts();
        self.task.state.metrics.repeats(counts);
        let end = ExchangeEnd {
            unresolved: counts.unresolved + self.gather.running() as u64,
            parts: self.gather.take_parts(),
            failure: self.failure.take(),
            last_problem: std::mem::take(&mut self.last_problem),
        };
        if self.gather.running() > 0 {
            tokio::spawn(self.finish_losers());
        }
        end
    }

    /// Lets the attempts that the answer did not wait for end by themselves for a while.
    async fn finish_losers(mut self) {
        let until = (Instant::now() + LOSER_GRACE).min(self.deadline);
        let all = async {
            while let Some((id, upstream, end)) = self.attempts.next().await {
                self.on_end(id, upstream, end);
            }
        };
        // What goes on for longer is broken off.
        let _ = tokio::time::timeout_at(until.into(), all).await;
    }

    fn on_end(&mut self, id: AttemptId, upstream: UpstreamIndex, end: AttemptEnd) {
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
                decisions.load_told(upstream, load, now);
            }
            let mut context = decisions.context(&self.task.route.name, now);
            self.gather.on_reply(id, outcome, &mut context)
        };
        self.perform(commands);
    }

    fn on_tick(&mut self) {
        let commands = {
            let mut decisions = self.task.state.decisions();
            let mut context = decisions.context(&self.task.route.name, Instant::now());
            self.gather.on_tick(&mut context)
        };
        self.perform(commands);
    }

    fn perform(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { attempt, upstream, .. } => self.send(attempt, upstream),
                // Losers go on for a while, and are broken off when the exchange is dropped.
                Command::Cancel { .. } | Command::SnapshotGone | Command::Finished => {}
            }
        }
    }

    fn send(&mut self, id: AttemptId, upstream: UpstreamIndex) {
        let Some(target) = self.task.upstreams.by_index.get(&upstream).cloned() else {
            let gone = AttemptOutcome::NotRun(NotRunReason::UnknownUpstream);
            let end = AttemptEnd {
                outcome: gone,
                failure: None,
                load: None,
                detail: "the upstream is not known".to_owned(),
            };
            self.attempts.push(Box::pin(async move { (id, upstream, end) }));
            return;
        };
        let connections_max = self.connections_max(&target);
        let state = Arc::clone(&self.task.state);
        let request = Arc::clone(&self.task.request);
        let deadline = self.deadline;
        self.attempts.push(Box::pin(async move {
            let pool = state.pool.clone();
            let names = state.format.headers();
            let end = attempt(pool, names, &request, &target, connections_max, deadline).await;
            (id, upstream, end)
        }));
    }

    /// Returns this VM's equal share of the connections that an upstream takes.
    fn connections_max(&self, target: &UpstreamTarget) -> u32 {
        let services = &self.task.table.document().services;
        let taken = services.get(&target.service).map_or(u32::MAX, |entry| entry.connections_max);
        (taken / self.task.vms.max(1)).max(1)
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

impl Drop for Exchange {
    fn drop(&mut self) {
        let mut decisions = self.task.state.decisions();
        let mut context = decisions.context(&self.task.route.name, Instant::now());
        self.gather.abandon(&mut context);
    }
}
