//! One running query: connects the fan-out state machine to dispatcher, links and clock.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::dispatcher::LOCAL_SOURCE;
use super::pending::QueryEvent;
use super::shared::Shared;
use crate::ids::{AttemptId, QueryId, ShardId, VmAddress};
use crate::link::{LinkRequest, SearchBatch, SearchItem, SearchResult};
use crate::observe::TraceContext;
use crate::outcome::Answer;
use crate::query::{
    AttemptOutcome, Command, FailureReason, Fanout, FanoutCounts, FanoutSpec, NotRunReason,
};
use crate::routing::{Directory, UpstreamIndex};
use crate::settings::{QueryClass, RoutingPolicy};
use crate::upstream::Selection;

/// The parameters of a query that each of its search batches carries.
#[derive(Debug, Clone)]
pub(crate) struct QueryTask {
    pub(crate) query: QueryId,
    pub(crate) class: QueryClass,
    pub(crate) selection: Selection,
    pub(crate) trace: TraceContext,
}

/// The outcome of running a fan-out.
pub(crate) enum RunOutcome {
    /// Every shard was answered or given up.
    Finished {
        /// The answer; `None` if the shard map is empty.
        answer: Option<Answer>,
        /// How many sub-requests the query needed and sent, for the metrics.
        counts: FanoutCounts,
    },
    /// The upstreams no longer hold the pinned snapshot.
    SnapshotGone,
}

/// Where an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Target {
    Local,
    Peer(VmAddress),
}

/// A query in flight; dropping it cancels its unfinished attempts.
pub(crate) struct QueryRun<'a> {
    shared: &'a Shared,
    task: QueryTask,
    spec: FanoutSpec,
    directory: Arc<Directory>,
    events: mpsc::UnboundedReceiver<QueryEvent>,
    fanout: Fanout,
    targets: BTreeMap<AttemptId, Target>,
    undelivered: VecDeque<AttemptId>,
    snapshot_gone: bool,
}

impl<'a> QueryRun<'a> {
    /// Starts the first attempts of the query.
    pub(crate) fn start(
        shared: &'a Shared,
        task: QueryTask,
        spec: FanoutSpec,
        directory: Arc<Directory>,
    ) -> Self {
        let events = shared.pending.register(task.query);
        let (fanout, commands) = {
            let mut decisions = shared.decisions();
            let mut context = decisions.context(&spec.service, task.class, Instant::now());
            Fanout::start(spec.clone(), &mut context)
        };
        let mut run = Self {
            shared,
            task,
            spec,
            directory,
            events,
            fanout,
            targets: BTreeMap::new(),
            undelivered: VecDeque::new(),
            snapshot_gone: false,
        };
        run.perform(commands);
        run
    }

    /// Runs until every shard has answered or is given up, at the deadline at the latest.
    pub(crate) async fn run(mut self, may_restart: bool) -> RunOutcome {
        while !self.fanout.is_finished() {
            let wake = tokio::time::Instant::from_std(self.fanout.next_wake());
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => break,
                },
                () = tokio::time::sleep_until(wake) => self.on_tick(),
            }
            if self.snapshot_gone && may_restart && self.newer_snapshot_is_known() {
                return RunOutcome::SnapshotGone;
            }
        }
        self.cancel_unfinished();
        RunOutcome::Finished { answer: self.fanout.take_answer(), counts: self.fanout.counts() }
    }

    fn newer_snapshot_is_known(&self) -> bool {
        let directory = self.shared.directory.borrow();
        let newest = directory.upstreams.newest.get(&self.spec.service);
        newest.is_some_and(|(snapshot, _)| *snapshot > self.spec.snapshot)
    }

    fn on_event(&mut self, event: QueryEvent) {
        match event {
            QueryEvent::Result(result) => self.on_result(result),
            QueryEvent::PeerLost(peer) => self.on_peer_lost(peer),
        }
        while let Some(attempt) = self.undelivered.pop_front() {
            self.on_outcome(attempt, AttemptOutcome::NotRun(NotRunReason::QueueFull));
        }
    }

    fn on_result(&mut self, result: SearchResult) {
        self.targets.remove(&result.attempt);
        self.on_outcome(result.attempt, result.outcome);
    }

    fn on_peer_lost(&mut self, peer: VmAddress) {
        let lost = Target::Peer(peer);
        let attempts: Vec<AttemptId> =
            self.targets.iter().filter(|(_, target)| **target == lost).map(|(id, _)| *id).collect();
        for attempt in attempts {
            self.targets.remove(&attempt);
            self.on_outcome(attempt, AttemptOutcome::Failed(FailureReason::OwnerLost));
        }
    }

    fn on_outcome(&mut self, attempt: AttemptId, outcome: AttemptOutcome) {
        let commands = {
            let mut decisions = self.shared.decisions();
            let now = Instant::now();
            let mut context = decisions.context(&self.spec.service, self.task.class, now);
            self.fanout.on_reply(attempt, outcome, &mut context)
        };
        self.perform(commands);
    }

    fn on_tick(&mut self) {
        let commands = {
            let mut decisions = self.shared.decisions();
            let now = Instant::now();
            let mut context = decisions.context(&self.spec.service, self.task.class, now);
            self.fanout.on_tick(&mut context)
        };
        self.perform(commands);
        while let Some(attempt) = self.undelivered.pop_front() {
            self.on_outcome(attempt, AttemptOutcome::NotRun(NotRunReason::QueueFull));
        }
    }

    fn perform(&mut self, commands: Vec<Command>) {
        let mut sends: BTreeMap<Target, Vec<SearchItem>> = BTreeMap::new();
        let mut cancels: BTreeMap<Target, Vec<AttemptId>> = BTreeMap::new();
        for command in commands {
            match command {
                Command::Send { attempt, shard, upstream } => {
                    self.plan_send(attempt, shard, upstream, &mut sends);
                }
                Command::Cancel { attempt, .. } => {
                    if let Some(target) = self.targets.get(&attempt) {
                        cancels.entry(*target).or_default().push(attempt);
                    }
                }
                Command::SnapshotGone => self.snapshot_gone = true,
                Command::Finished => {}
            }
        }
        for (target, items) in sends {
            self.send(target, items);
        }
        for (target, attempts) in cancels {
            self.cancel(target, attempts);
        }
    }

    fn plan_send(
        &mut self,
        attempt: AttemptId,
        shard: ShardId,
        upstream: UpstreamIndex,
        sends: &mut BTreeMap<Target, Vec<SearchItem>>,
    ) {
        let target = self.target_of(upstream);
        let Some(resolved) = self.directory.upstreams.by_index.get(&upstream) else {
            self.undelivered.push_back(attempt);
            return;
        };
        let item = SearchItem { attempt, shard, upstream: resolved.id.to_string() };
        self.targets.insert(attempt, target);
        sends.entry(target).or_default().push(item);
    }

    /// Returns the first owner that is not known to be down; this VM if there is none, or if the
    /// policy routes without owners.
    fn target_of(&self, upstream: UpstreamIndex) -> Target {
        if self.spec.routing.policy != RoutingPolicy::Owner {
            return Target::Local;
        }
        let Some(resolved) = self.directory.upstreams.by_index.get(&upstream) else {
            return Target::Local;
        };
        let now = Instant::now();
        let owner = self
            .directory
            .owners_of(resolved)
            .find(|owner| *owner == self.shared.address || !self.shared.hub.is_down(owner, now));
        match owner {
            Some(owner) if owner != self.shared.address => Target::Peer(owner),
            _ => Target::Local,
        }
    }

    fn send(&mut self, target: Target, items: Vec<SearchItem>) {
        let left = self.spec.deadline.saturating_duration_since(Instant::now());
        let attempts: Vec<AttemptId> = items.iter().map(|item| item.attempt).collect();
        let batch = SearchBatch {
            query: self.task.query,
            service: self.spec.service.clone(),
            snapshot: self.spec.snapshot,
            class: self.task.class,
            selection: self.task.selection.clone(),
            hits_limit: u32::try_from(self.spec.hits_limit).unwrap_or(u32::MAX),
            remaining_ms: u64::try_from(self.remaining_at(target, left).as_millis())
                .unwrap_or(u64::MAX),
            traceparent: self.task.trace.traceparent(),
            items,
        };
        match target {
            Target::Local => {
                let live_vms = self.shared.members.borrow().live().count();
                self.shared.dispatcher.search(LOCAL_SOURCE, batch, &self.spec.routing, live_vms);
            }
            Target::Peer(peer) => {
                if !self.shared.hub.send(peer, LinkRequest::Search(batch)) {
                    for attempt in attempts {
                        self.targets.remove(&attempt);
                        self.undelivered.push_back(attempt);
                    }
                }
            }
        }
    }

    /// Returns the time that `target` has to reply: `left`, less the hop margin for a peer.
    fn remaining_at(&self, target: Target, left: Duration) -> Duration {
        match target {
            Target::Local => left,
            Target::Peer(_) => {
                left.saturating_sub(Duration::from_millis(self.spec.routing.hop_margin_ms))
            }
        }
    }

    fn cancel(&self, target: Target, attempts: Vec<AttemptId>) {
        let query = self.task.query;
        match target {
            Target::Local => self.shared.dispatcher.cancel(LOCAL_SOURCE, query, &attempts),
            Target::Peer(peer) => {
                // A cancellation lost to a full queue only lets the search run to its end.
                let _ = self.shared.hub.send(peer, LinkRequest::Cancel { query, attempts });
            }
        }
    }

    /// Cancels the unfinished attempts and releases their state.
    fn cancel_unfinished(&mut self) {
        let released = {
            let mut decisions = self.shared.decisions();
            let now = Instant::now();
            let mut context = decisions.context(&self.spec.service, self.task.class, now);
            self.fanout.abandon(&mut context)
        };
        let mut cancels: BTreeMap<Target, Vec<AttemptId>> = BTreeMap::new();
        for (attempt, _) in released {
            if let Some(target) = self.targets.remove(&attempt) {
                cancels.entry(target).or_default().push(attempt);
            }
        }
        for (target, attempts) in cancels {
            self.cancel(target, attempts);
        }
    }
}

impl Drop for QueryRun<'_> {
    fn drop(&mut self) {
        self.cancel_unfinished();
        self.shared.pending.unregister(self.task.query);
    }
}
