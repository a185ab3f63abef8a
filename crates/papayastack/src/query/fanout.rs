//! The machine of one query: attempts per shard, hedges, retries, coverage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;

use super::attempt::{AttemptOutcome, FailureReason, NotRunReason};
use super::progress::{Attempt, Progress, ShardState};
use super::quantile::QuantileTracker;
use super::spec::{Command, FanoutContext, FanoutCounts, FanoutSpec};
use crate::ids::AttemptId;
use crate::outcome::{Answer, Coverage, MissingReason, Partial};
use crate::routing::UpstreamIndex;
use crate::settings::RoutingPolicy;

/// The first pause before a shard whose replicas all failed is tried again.
const RETRY_PAUSE_INITIAL: Duration = Duration::from_millis(4);
/// The longest pause before a shard whose replicas all failed is tried again.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(250);
/// The hedge delay before latencies are known.
const HEDGE_DELAY_INITIAL: Duration = Duration::from_millis(100);
/// How many times the mean latency an attempt must take before it is hedged.
const HEDGE_MEAN_FACTOR: u32 = 2;
/// The shortest hedge delay.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(1);

/// The state of one query.
#[derive(Debug)]
pub struct Fanout {
    spec: FanoutSpec,
    progress: Vec<Progress>,
    attempts: Vec<Attempt>,
    timers: BTreeSet<(Instant, usize)>,
    open_shards: usize,
    counts: FanoutCounts,
}

impl Fanout {
    /// Starts a query: one attempt for each shard.
    pub fn start<R: Rng>(
        spec: FanoutSpec,
        context: &mut FanoutContext<'_, R>,
    ) -> (Self, Vec<Command>) {
        let shards = spec.shards.len();
        context.latencies.resize_with(shards.max(context.latencies.len()), QuantileTracker::new);
        context.budgets.earn(shards as u64, &spec.routing);
        let mut fanout = Self {
            progress: (0..shards).map(|_| Progress::new()).collect(),
            attempts: Vec::with_capacity(shards + shards / 8),
            timers: BTreeSet::new(),
            open_shards: shards,
            counts: FanoutCounts { needed: shards as u64, ..FanoutCounts::default() },
            spec,
        };
        let mut commands = Vec::with_capacity(shards);
        for shard in 0..shards {
            fanout.first_attempt(shard, context, &mut commands);
        }
        fanout.finish_if_done(&mut commands);
        (fanout, commands)
    }

    /// Takes the reply to an attempt; a reply that nobody waits for is dropped and counted.
    pub fn on_reply<R: Rng>(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        context: &mut FanoutContext<'_, R>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some((shard, outcome)) = self.settle(attempt, outcome, context) else {
            self.counts.dropped += 1;
            return commands;
        };
        if matches!(self.progress[shard].state, ShardState::Open) {
            match outcome {
                AttemptOutcome::Answered(partial) => self.answered(shard, partial, &mut commands),
                problem => self.problem(shard, &problem, context, &mut commands),
            }
        }
        self.finish_if_done(&mut commands);
        commands
    }

    /// Hedges and retries whose time has come; gives up what the deadline leaves open.
    pub fn on_tick<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) -> Vec<Command> {
        let mut commands = Vec::new();
        if context.now >= self.spec.deadline {
            self.give_up_open_shards(&mut commands);
            return commands;
        }
        while let Some((due, shard)) = self.timers.first().copied() {
            if due > context.now {
                break;
            }
            self.timers.pop_first();
            self.progress[shard].wake = None;
            self.shard_due(shard, context, &mut commands);
        }
        self.finish_if_done(&mut commands);
        commands
    }

    /// Returns when [`Self::on_tick`] is needed next.
    pub fn next_wake(&self) -> Instant {
        let timer = self.timers.first().map(|(due, _)| *due);
        timer.map_or(self.spec.deadline, |due| due.min(self.spec.deadline))
    }

    /// Tells whether every shard has answered or is given up.
    pub fn is_finished(&self) -> bool {
        self.open_shards == 0
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> &FanoutCounts {
        &self.counts
    }

    /// Releases the attempts that still run and returns them, so that they can be cancelled.
    pub fn abandon<R: Rng>(
        &mut self,
        context: &mut FanoutContext<'_, R>,
    ) -> Vec<(AttemptId, UpstreamIndex)> {
        let ejection = Duration::from_millis(self.spec.routing.ejection_ms);
        let outcome = AttemptOutcome::Failed(FailureReason::Cancelled);
        let mut released = Vec::new();
        for (id, attempt) in self.attempts.iter_mut().enumerate().filter(|(_, a)| a.running) {
            attempt.running = false;
            self.counts.unresolved += 1;
            let latency = context.now.saturating_duration_since(attempt.sent_at);
            let upstream = attempt.upstream;
            context.observations.finished(upstream, &outcome, latency, ejection, context.now);
            released.push((id as AttemptId, upstream));
        }
        released
    }

    /// Ends the query with the answer that its partials support; `None` without any shard.
    ///
    /// The partials move into the answer, so a second call gives `None`.
    pub fn take_answer(&mut self) -> Option<Answer> {
        let mut partials = Vec::with_capacity(self.progress.len());
        let mut missing = BTreeMap::new();
        let progress = std::mem::take(&mut self.progress);
        for (progress, replicas) in progress.into_iter().zip(self.spec.shards.iter()) {
            match progress.state {
                ShardState::Answered(partial) => partials.push(partial),
                ShardState::Open | ShardState::GivenUp => {
                    missing.insert(replicas.shard, progress.last_problem);
                }
            }
        }
        let answered = partials.iter().map(|partial| partial.shard).collect();
        let coverage = Coverage::new(self.spec.snapshot, answered, missing).ok()?;
        let service = self.spec.service.clone();
        let answer = Answer::merge(service, coverage, &partials, self.spec.hits_limit);
        Some(answer.expect("settle admits only partials of the pinned snapshot and shard"))
    }

    fn first_attempt<R: Rng>(
        &mut self,
        shard: usize,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        if self.spec.shards[shard].replicas.is_empty() {
            self.progress[shard].last_problem = MissingReason::NoReplica;
            self.give_up(shard);
            return;
        }
        if self.spec.routing.policy == RoutingPolicy::Naive {
            let position = context.random.random_range(0..self.spec.shards[shard].replicas.len());
            self.send(shard, position, false, context, commands);
            return;
        }
        if !self.try_send(shard, false, context, commands) {
            self.schedule_retry(shard, context);
            return;
        }
        self.schedule_hedge(shard, context);
    }

    /// Checks a reply against its attempt and records it; `None` where it must be dropped.
    fn settle<R: Rng>(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        context: &mut FanoutContext<'_, R>,
    ) -> Option<(usize, AttemptOutcome)> {
        let record = usize::try_from(attempt).ok().and_then(|id| self.attempts.get_mut(id))?;
        if !record.running {
            return None;
        }
        record.running = false;
        let shard = record.shard;
        let outcome = match outcome {
            AttemptOutcome::Answered(partial)
                if partial.shard != self.spec.shards[shard].shard
                    || partial.snapshot != self.spec.snapshot =>
            {
                self.counts.dropped += 1;
                AttemptOutcome::Failed(FailureReason::Malformed)
            }
            other => other,
        };
        let latency = context.now.saturating_duration_since(record.sent_at);
        let ejection = Duration::from_millis(self.spec.routing.ejection_ms);
        let upstream = record.upstream;
        context.observations.finished(upstream, &outcome, latency, ejection, context.now);
        if matches!(outcome, AttemptOutcome::Answered(_)) {
            let quantile_permille = self.spec.class.hedge_quantile_permille;
            context.latencies[shard].record(latency, quantile_permille);
        }
        self.counts.unresolved += u64::from(matches!(outcome, AttemptOutcome::Failed(_)));
        context.budgets.observe(outcome.missing_reason() == MissingReason::Overloaded);
        self.forget_unsent(&outcome, attempt);
        self.progress[shard].running -= 1;
        Some((shard, outcome))
    }

    /// Takes attempts that provably reached no upstream out of the extra load.
    fn forget_unsent(&mut self, outcome: &AttemptOutcome, attempt: AttemptId) {
        let unsent = matches!(
            outcome,
            AttemptOutcome::NotRun(
                NotRunReason::ConnectFailed
                    | NotRunReason::QueueFull
                    | NotRunReason::WouldMissDeadline
                    | NotRunReason::UnknownUpstream
                    | NotRunReason::Cancelled
            )
        );
        if unsent {
            self.counts.sent -= 1;
            let hedge = self.attempts[attempt as usize].hedge;
            self.counts.hedges -= u64::from(hedge);
        }
    }

    fn answered(&mut self, shard: usize, partial: Partial, commands: &mut Vec<Command>) {
        self.progress[shard].state = ShardState::Answered(partial);
        self.close(shard);
        self.cancel_running(shard, commands);
    }

    fn problem<R: Rng>(
        &mut self,
        shard: usize,
        outcome: &AttemptOutcome,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        let progress = &mut self.progress[shard];
        progress.last_problem = outcome.missing_reason();
        if let AttemptOutcome::NotRun(NotRunReason::SnapshotRetired) = outcome {
            progress.retired_by += 1;
            if progress.retired_by >= self.spec.shards[shard].replicas.len() {
                self.give_up(shard);
                commands.push(Command::SnapshotGone);
                return;
            }
        }
        if progress.running > 0 {
            return;
        }
        if self.spec.routing.policy == RoutingPolicy::Naive {
            self.give_up(shard);
            return;
        }
        self.retry(shard, outcome, context, commands);
    }

    /// Tries the next replica at once where the budget allows, else after a pause.
    fn retry<R: Rng>(
        &mut self,
        shard: usize,
        outcome: &AttemptOutcome,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        let free = matches!(
            outcome,
            AttemptOutcome::NotRun(NotRunReason::ConnectFailed | NotRunReason::UnknownUpstream)
        );
        let paid = free || context.budgets.take_retry();
        if paid && self.try_send(shard, false, context, commands) {
            self.counts.retries += u64::from(!free);
            self.schedule_hedge(shard, context);
            return;
        }
        if paid && !free {
            context.budgets.refund_retry();
        }
        self.schedule_retry(shard, context);
    }

    /// Acts on a shard whose timer ran out: a hedge while an attempt runs, else a retry.
    fn shard_due<R: Rng>(
        &mut self,
        shard: usize,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        if !matches!(self.progress[shard].state, ShardState::Open) {
            return;
        }
        if self.progress[shard].running > 0 {
            self.hedge(shard, context, commands);
            return;
        }
        if !context.budgets.take_retry() {
            self.schedule_retry(shard, context);
            return;
        }
        self.progress[shard].tried = 0;
        if self.try_send(shard, false, context, commands) {
            self.counts.retries += 1;
            self.schedule_hedge(shard, context);
        } else {
            context.budgets.refund_retry();
            self.schedule_retry(shard, context);
        }
    }

    fn hedge<R: Rng>(
        &mut self,
        shard: usize,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        if self.progress[shard].hedged {
            return;
        }
        if !context.budgets.take_hedge() {
            self.schedule_hedge(shard, context);
            return;
        }
        if self.try_send(shard, true, context, commands) {
            self.progress[shard].hedged = true;
            self.counts.hedges += 1;
        }
    }

    /// Sends an attempt to the best untried replica; `false` where none may be asked.
    fn try_send<R: Rng>(
        &mut self,
        shard: usize,
        hedge: bool,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) -> bool {
        let replicas = &self.spec.shards[shard].replicas;
        let tried = self.progress[shard].tried;
        let chosen = context.observations.choose(replicas, tried, context.now, context.random);
        let Some(position) = chosen else {
            return false;
        };
        self.send(shard, position, hedge, context, commands);
        true
    }

    fn send<R: Rng>(
        &mut self,
        shard: usize,
        position: usize,
        hedge: bool,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        let replicas = &self.spec.shards[shard];
        let upstream = replicas.replicas[position];
        let attempt = self.attempts.len() as AttemptId;
        let sent_at = context.now;
        self.attempts.push(Attempt { shard, upstream, sent_at, hedge, running: true });
        let progress = &mut self.progress[shard];
        progress.tried |= 1 << position;
        progress.running += 1;
        progress.earlier_attempts.extend(progress.latest_attempt.replace(attempt));
        self.counts.sent += 1;
        context.observations.sent(upstream);
        commands.push(Command::Send { attempt, shard: replicas.shard, upstream });
    }

    fn schedule_hedge<R: Rng>(&mut self, shard: usize, context: &FanoutContext<'_, R>) {
        let more_replicas = self.spec.shards[shard].replicas.len() > 1;
        if !self.spec.class.hedge || !more_replicas || self.progress[shard].hedged {
            return;
        }
        self.set_timer(shard, context.now + hedge_delay(&context.latencies[shard]));
    }

    fn schedule_retry<R: Rng>(&mut self, shard: usize, context: &mut FanoutContext<'_, R>) {
        let exponent = self.progress[shard].retries.min(6);
        self.progress[shard].retries += 1;
        let pause = (RETRY_PAUSE_INITIAL * (1 << exponent)).min(RETRY_PAUSE_MAX);
        let jittered = pause.mul_f64(context.random.random_range(0.5..1.0));
        self.set_timer(shard, context.now + jittered);
    }

    fn set_timer(&mut self, shard: usize, due: Instant) {
        self.clear_timer(shard);
        self.progress[shard].wake = Some(due);
        self.timers.insert((due, shard));
    }

    fn clear_timer(&mut self, shard: usize) {
        if let Some(due) = self.progress[shard].wake.take() {
            self.timers.remove(&(due, shard));
        }
    }

    fn cancel_running(&mut self, shard: usize, commands: &mut Vec<Command>) {
        if self.progress[shard].running == 0 {
            return;
        }
        let progress = &self.progress[shard];
        for attempt in progress.earlier_attempts.iter().chain(&progress.latest_attempt).copied() {
            let record = &self.attempts[attempt as usize];
            if record.running {
                commands.push(Command::Cancel { attempt, upstream: record.upstream });
            }
        }
    }

    fn give_up_open_shards(&mut self, commands: &mut Vec<Command>) {
        for shard in 0..self.progress.len() {
            if matches!(self.progress[shard].state, ShardState::Open) {
                if self.progress[shard].running > 0 {
                    self.progress[shard].last_problem = MissingReason::DeadlineExceeded;
                }
                self.give_up(shard);
                self.cancel_running(shard, commands);
            }
        }
        self.finish_if_done(commands);
    }

    fn give_up(&mut self, shard: usize) {
        self.progress[shard].state = ShardState::GivenUp;
        self.close(shard);
    }

    fn close(&mut self, shard: usize) {
        self.clear_timer(shard);
        self.open_shards -= 1;
    }

    fn finish_if_done(&self, commands: &mut Vec<Command>) {
        if self.open_shards == 0 && commands.last() != Some(&Command::Finished) {
            commands.push(Command::Finished);
        }
    }
}

/// Returns when a shard counts as a straggler: past its quantile and well past its mean, so that
/// a narrow distribution is not hedged for being on time.
fn hedge_delay(latency: &QuantileTracker) -> Duration {
    let quantile = latency.estimate().unwrap_or(HEDGE_DELAY_INITIAL);
    let mean = latency.mean().unwrap_or_default();
    quantile.max(mean * HEDGE_MEAN_FACTOR).max(HEDGE_DELAY_MIN)
}
