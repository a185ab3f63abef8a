//! The state machine of one scatter-gather request: attempts, hedges and retries for each shard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::Rng;

use super::attempt::{AttemptOutcome, FailureReason, NotRunReason};
use super::health::LATENCY_UNIT;
use super::limits::Urgency;
use super::progress::{Attempt, ShardProgress, ShardState};
use super::quantile::QuantileTracker;
use super::spec::{
    AttemptTrace, Command, FanoutContext, FanoutCounts, GatherRules, GatherSpec, NoRetryReason,
    OnExhausted, RetryPolicy, UnneededAttempts,
};
use crate::ids::{AttemptId, ShardId};
use crate::outcome::MissingReason;
use crate::routing::UpstreamIndex;
use crate::settings::RoutingPolicy;

/// The first pause before a shard whose replicas all failed is tried again.
const RETRY_PAUSE_INITIAL: Duration = Duration::from_millis(4);
/// The longest pause before a shard whose replicas all failed is tried again.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(250);
/// The shortest hedge delay as a multiple of the mean latency.
const HEDGE_MEAN_FACTOR: u32 = 2;
/// The shortest hedge delay in absolute terms.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(1);

/// The result of one shard: its part, or the reason why it is missing.
pub type GatheredPart<P> = (ShardId, Result<P, MissingReason>);

/// The state of one request to many shards, or to a single service treated as one shard.
///
/// `P` is the type of the part that a shard answers with; its content is never inspected.
#[derive(Debug)]
pub struct Gather<P> {
    spec: GatherSpec,
    progress: Vec<ShardProgress<P>>,
    attempts: Vec<Attempt>,
    timers: BTreeSet<(Instant, usize)>,
    open_shards: usize,
    answered_shards: usize,
    early_finish_reached: bool,
    counts: FanoutCounts,
    given_up: BTreeMap<NoRetryReason, u32>,
}

impl<P> Gather<P> {
    /// Starts a request: one attempt for each shard.
    pub fn start<R: Rng>(
        spec: GatherSpec,
        context: &mut FanoutContext<'_, R>,
    ) -> (Self, Vec<Command>) {
        let shards = spec.shards.len();
        ensure_latency_trackers(context, shards);
        context.budgets.add_tokens(shards as u64, &spec.routing);
        for service in spec.rules.services.iter().flat_map(|services| services.iter()) {
            context.budgets.windows.count_request(service, context.now);
        }
        let mut gather = Self {
            progress: (0..shards).map(|_| ShardProgress::new()).collect(),
            attempts: Vec::with_capacity(shards + shards / 8),
            timers: BTreeSet::new(),
            open_shards: shards,
            answered_shards: 0,
            early_finish_reached: false,
            counts: FanoutCounts { needed: shards as u64, ..FanoutCounts::default() },
            given_up: BTreeMap::new(),
            spec,
        };
        let mut commands = Vec::with_capacity(shards);
        for shard in 0..shards {
            gather.first_attempt(shard, context, &mut commands);
        }
        gather.finish_if_done(&mut commands);
        (gather, commands)
    }

    /// Takes the reply to an attempt; an unknown, late or duplicate reply is dropped and counted.
    pub fn on_reply<R: Rng>(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome<P>,
        context: &mut FanoutContext<'_, R>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        ensure_latency_trackers(context, self.progress.len());
        let Some((shard, outcome)) = self.record_reply(attempt, outcome, context) else {
            self.counts.dropped += 1;
            return commands;
        };
        if matches!(self.progress[shard].state, ShardState::Open) {
            match outcome {
                AttemptOutcome::Answered(part) => {
                    self.on_answer(shard, part, context, &mut commands)
                }
                failure => self.on_failure(shard, &failure, context, &mut commands),
            }
            self.finish_early(context, &mut commands);
        }
        self.finish_if_done(&mut commands);
        commands
    }

    /// Sends the hedges and retries that are due; after the deadline, gives up the open shards.
    pub fn on_tick<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) -> Vec<Command> {
        let mut commands = Vec::new();
        ensure_latency_trackers(context, self.progress.len());
        if context.now >= self.spec.deadline {
            self.give_up_open_shards(context, &mut commands);
            return commands;
        }
        self.finish_early(context, &mut commands);
        while let Some((due, shard)) = self.timers.first().copied() {
            if due > context.now {
                break;
            }
            self.timers.pop_first();
            self.progress[shard].timer_due = None;
            self.shard_due(shard, context, &mut commands);
        }
        self.finish_if_done(&mut commands);
        commands
    }

    /// Returns when [`Self::on_tick`] is needed next.
    pub fn next_wake(&self) -> Instant {
        let timer = self.timers.first().map(|(due, _)| *due);
        let early_finish =
            self.spec.rules.early_finish.as_ref().map(|early_finish| early_finish.at);
        // After the time of the early finish, only a reply can finish the request early.
        let early_finish = early_finish.filter(|_| !self.early_finish_reached);
        timer.into_iter().chain(early_finish).fold(self.spec.deadline, Instant::min)
    }

    /// Tells whether an attempt still runs.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        self.attempt(attempt).is_some_and(|record| record.running)
    }

    /// Returns the shard that an attempt was sent for.
    pub fn shard_of(&self, attempt: AttemptId) -> Option<ShardId> {
        self.attempt(attempt).map(|record| self.spec.shards[record.shard].shard)
    }

    /// Tells whether every shard has answered or is given up.
    pub fn is_finished(&self) -> bool {
        self.open_shards == 0
    }

    /// Tells whether every shard has answered.
    pub fn is_complete(&self) -> bool {
        self.answered_shards == self.progress.len()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> &FanoutCounts {
        &self.counts
    }

    /// Returns how many shards were given up, by the reason why no further attempt was made.
    pub fn given_up(&self) -> &BTreeMap<NoRetryReason, u32> {
        &self.given_up
    }

    /// Marks the running attempts as cancelled and returns them for the caller to cancel.
    pub fn abandon<R: Rng>(
        &mut self,
        context: &mut FanoutContext<'_, R>,
    ) -> Vec<(AttemptId, UpstreamIndex)> {
        let ejection = Duration::from_millis(self.spec.routing.ejection_ms);
        let outcome = AttemptOutcome::<P>::Failed(FailureReason::Cancelled);
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

    /// Returns the most attempts that were sent for one shard.
    pub(crate) fn attempts_used(&self) -> u32 {
        self.progress.iter().map(|progress| progress.sends).max().unwrap_or(0)
    }

    /// Returns how many attempts run.
    pub fn running(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.running).count()
    }

    /// Returns the attempts for the `shards_max` slowest shards, unanswered shards first.
    pub fn slowest(&self, shards_max: usize) -> Vec<AttemptTrace> {
        let answered_at = |shard: usize| match self.progress[shard].state {
            ShardState::Answered(_) => self
                .attempts
                .iter()
                .filter(|attempt| attempt.shard == shard)
                .filter_map(|attempt| attempt.ended_at)
                .max(),
            ShardState::Open | ShardState::GivenUp => None,
        };
        let mut order: Vec<(Option<Instant>, usize)> =
            (0..self.progress.len()).map(|shard| (answered_at(shard), shard)).collect();
        order.sort_by_key(|(at, _)| (at.is_some(), std::cmp::Reverse(*at)));
        let attempts_for = |shard: usize| {
            self.attempts.iter().filter(move |attempt| attempt.shard == shard).map(move |attempt| {
                AttemptTrace {
                    shard: self.spec.shards[shard].shard,
                    upstream: attempt.upstream,
                    sent_at: attempt.sent_at,
                    ended_at: attempt.ended_at,
                    hedge: attempt.hedge,
                }
            })
        };
        order.iter().take(shards_max).flat_map(|(_, shard)| attempts_for(*shard)).collect()
    }

    /// Returns the result of each shard, in the order of the shard map.
    ///
    /// The parts are moved out, so a second call returns each shard as missing.
    pub fn take_parts(&mut self) -> Vec<GatheredPart<P>> {
        let shards = self.spec.shards.iter().map(|replicas| replicas.shard);
        let part = |progress: &mut ShardProgress<P>| match std::mem::replace(
            &mut progress.state,
            ShardState::GivenUp,
        ) {
            ShardState::Answered(part) => Ok(part),
            ShardState::Open | ShardState::GivenUp => Err(progress.missing_reason),
        };
        shards.zip(&mut self.progress).map(|(shard, progress)| (shard, part(progress))).collect()
    }

    fn attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        usize::try_from(attempt).ok().and_then(|id| self.attempts.get(id))
    }

    fn first_attempt<R: Rng>(
        &mut self,
        shard: usize,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        if self.spec.shards[shard].replicas.is_empty() {
            self.progress[shard].missing_reason = MissingReason::NoReplica;
            self.give_up(shard, NoRetryReason::NoReplica);
            return;
        }
        if self.spec.routing.policy == RoutingPolicy::Naive {
            let position = context.random.random_range(0..self.spec.shards[shard].replicas.len());
            self.send(shard, position, false, context, commands);
            return;
        }
        if self.try_send(shard, false, context, commands) {
            self.schedule_hedge(shard, context);
            return;
        }
        match self.spec.rules.on_exhausted {
            OnExhausted::PauseAndRetry => self.schedule_retry(shard, context),
            OnExhausted::GiveUp => {
                self.progress[shard].missing_reason = MissingReason::ReplicasUnavailable;
                self.give_up(shard, NoRetryReason::NoReplica);
            }
        }
    }

    /// Records a reply and returns its shard and outcome, or `None` if the reply must be dropped.
    fn record_reply<R: Rng>(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome<P>,
        context: &mut FanoutContext<'_, R>,
    ) -> Option<(usize, AttemptOutcome<P>)> {
        let record = usize::try_from(attempt).ok().and_then(|id| self.attempts.get_mut(id))?;
        if !record.running {
            return None;
        }
        record.running = false;
        record.ended_at = Some(context.now);
        let shard = record.shard;
        let latency = context.now.saturating_duration_since(record.sent_at);
        let ejection = Duration::from_millis(self.spec.routing.ejection_ms);
        let upstream = record.upstream;
        let scaled = scaled_latency(latency, &context.latencies[shard]);
        context.observations.finished(upstream, &outcome, scaled, ejection, context.now);
        if matches!(outcome, AttemptOutcome::Answered(_)) {
            let quantile_permille = self.spec.class.hedge_quantile_permille;
            context.latencies[shard].record(latency, quantile_permille);
        }
        self.counts.unresolved += u64::from(matches!(outcome, AttemptOutcome::Failed(_)));
        context.budgets.record_outcome(outcome.missing_reason() == MissingReason::Overloaded);
        self.uncount_unsent(&outcome, attempt, context);
        self.progress[shard].running -= 1;
        Some((shard, outcome))
    }

    /// Subtracts an attempt from the counts if it is known not to have reached an upstream.
    fn uncount_unsent<R: Rng>(
        &mut self,
        outcome: &AttemptOutcome<P>,
        attempt: AttemptId,
        context: &mut FanoutContext<'_, R>,
    ) {
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
            let record = &self.attempts[attempt as usize];
            self.counts.hedges -= u64::from(record.hedge);
            self.progress[record.shard].sends -= 1;
            context.observations.limits.refund(record.upstream, record.sent_at);
        }
    }

    fn on_answer<R: Rng>(
        &mut self,
        shard: usize,
        part: P,
        context: &FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        self.progress[shard].state = ShardState::Answered(part);
        self.answered_shards += 1;
        self.close_shard(shard);
        self.cancel_running(shard, context, commands);
    }

    fn on_failure<R: Rng>(
        &mut self,
        shard: usize,
        outcome: &AttemptOutcome<P>,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        let progress = &mut self.progress[shard];
        progress.missing_reason = outcome.missing_reason();
        if let AttemptOutcome::NotRun(NotRunReason::SnapshotRetired) = outcome {
            progress.retired_replicas += 1;
            if progress.retired_replicas >= self.spec.shards[shard].replicas.len() {
                self.give_up(shard, NoRetryReason::NoReplica);
                commands.push(Command::SnapshotGone);
                return;
            }
        }
        if progress.running > 0 {
            return;
        }
        let may_retry = match self.spec.rules.retry_policy {
            RetryPolicy::Freely => true,
            RetryPolicy::OnlyIfNotRun => matches!(outcome, AttemptOutcome::NotRun(_)),
        };
        let naive = self.spec.routing.policy == RoutingPolicy::Naive;
        if !may_retry {
            self.give_up(shard, NoRetryReason::MayHaveRun);
            return;
        }
        if naive || self.attempts_are_used_up(shard) {
            self.give_up(shard, NoRetryReason::AttemptsUsedUp);
            return;
        }
        self.retry(shard, outcome, context, commands);
    }

    /// Tries the next replica at once if the budget allows, else pauses or gives up the shard.
    fn retry<R: Rng>(
        &mut self,
        shard: usize,
        outcome: &AttemptOutcome<P>,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        let free = matches!(
            outcome,
            AttemptOutcome::NotRun(
                NotRunReason::ConnectFailed
                    | NotRunReason::UnknownUpstream
                    | NotRunReason::QueueFull
            )
        );
        let paid = free || self.take_retry(shard, context);
        if paid && self.try_send(shard, false, context, commands) {
            self.counts.retries += u64::from(!free);
            self.schedule_hedge(shard, context);
            return;
        }
        if paid && !free {
            self.refund_retry(shard, context);
        }
        match self.spec.rules.on_exhausted {
            OnExhausted::PauseAndRetry => self.schedule_retry(shard, context),
            OnExhausted::GiveUp if paid => self.give_up(shard, NoRetryReason::NoReplica),
            OnExhausted::GiveUp => self.give_up(shard, NoRetryReason::RepeatsUsedUp),
        }
    }

    /// Handles the timer of a shard: hedges if an attempt is running, else retries.
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
        if !self.take_retry(shard, context) {
            self.schedule_retry(shard, context);
            return;
        }
        self.progress[shard].tried.clear();
        if self.try_send(shard, false, context, commands) {
            self.counts.retries += 1;
            self.schedule_hedge(shard, context);
        } else {
            self.refund_retry(shard, context);
            self.schedule_retry(shard, context);
        }
    }

    fn hedge<R: Rng>(
        &mut self,
        shard: usize,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        if self.progress[shard].hedged || self.attempts_are_used_up(shard) {
            return;
        }
        self.record_silence(shard, context);
        if !self.take_hedge(shard, context) {
            self.schedule_hedge(shard, context);
            return;
        }
        if self.try_send(shard, true, context, commands) {
            self.progress[shard].hedged = true;
            self.counts.hedges += 1;
        } else if let Some(services) = &self.spec.rules.services {
            context.budgets.windows.refund(&services[shard]);
        }
    }

    /// Records that the newest attempt for a shard had no answer within the hedge delay.
    fn record_silence<R: Rng>(&self, shard: usize, context: &mut FanoutContext<'_, R>) {
        let newest = self.progress[shard].latest_attempt.and_then(|id| self.attempt(id));
        if let Some(attempt) = newest.filter(|attempt| attempt.running) {
            context.observations.record_silent(attempt.upstream, context.now);
        }
    }

    fn attempts_are_used_up(&self, shard: usize) -> bool {
        self.progress[shard].sends >= self.spec.rules.attempts_max
    }

    /// Takes a retry from the window of the shard's service, or else from the token budget.
    fn take_retry<R: Rng>(&self, shard: usize, context: &mut FanoutContext<'_, R>) -> bool {
        match &self.spec.rules.services {
            Some(services) => context.budgets.windows.take_retry(&services[shard], context.now),
            None => context.budgets.take_retry(),
        }
    }

    fn take_hedge<R: Rng>(&self, shard: usize, context: &mut FanoutContext<'_, R>) -> bool {
        match &self.spec.rules.services {
            Some(services) => context.budgets.windows.take_hedge(&services[shard], context.now),
            None => context.budgets.take_hedge(),
        }
    }

    fn refund_retry<R: Rng>(&self, shard: usize, context: &mut FanoutContext<'_, R>) {
        match &self.spec.rules.services {
            Some(services) => context.budgets.windows.refund(&services[shard]),
            None => context.budgets.refund_retry(),
        }
    }

    /// Sends an attempt to the best untried replica; returns `false` if no replica may be used.
    fn try_send<R: Rng>(
        &mut self,
        shard: usize,
        hedge: bool,
        context: &mut FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) -> bool {
        let replicas = &self.spec.shards[shard].replicas;
        let tried = &self.progress[shard].tried;
        // If the last allowed attempt fails, no retry is left, as if the budget were used up.
        let last = self.progress[shard].sends + 1 >= self.spec.rules.attempts_max;
        let scarcity = match &self.spec.rules.services {
            _ if last => 1.0,
            Some(services) => context.budgets.windows.used_share(&services[shard], context.now),
            None => context.budgets.retries_used_share(),
        };
        let FanoutContext { observations, random, now, .. } = context;
        let urgency = if hedge { Urgency::Hedge } else { Urgency::Class(self.spec.rules.urgency) };
        let mut excluded = observations.without_room(replicas, urgency, *now, random);
        excluded.extend(tried);
        let chosen = observations.choose(replicas, &excluded, scarcity, *now, random);
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
        let running = true;
        self.attempts.push(Attempt { shard, upstream, sent_at, ended_at: None, hedge, running });
        let progress = &mut self.progress[shard];
        progress.tried.push(position);
        progress.running += 1;
        progress.sends += 1;
        progress.earlier_attempts.extend(progress.latest_attempt.replace(attempt));
        self.counts.sent += 1;
        let delay = self.hedge_delay(&context.latencies[shard]);
        context.observations.sent(upstream, context.now, delay);
        commands.push(Command::Send { attempt, shard: replicas.shard, upstream });
    }

    fn schedule_hedge<R: Rng>(&mut self, shard: usize, context: &FanoutContext<'_, R>) {
        let more_replicas = self.spec.shards[shard].replicas.len() > 1;
        if !self.spec.class.hedge || !more_replicas || self.progress[shard].hedged {
            return;
        }
        self.set_timer(shard, context.now + self.hedge_delay(&context.latencies[shard]));
    }

    /// Returns the time after which an attempt counts as a straggler and is hedged.
    ///
    /// The delay is at least the quantile and a multiple of the mean: in a narrow distribution, the
    /// quantile is so close to the mean that it alone would hedge ordinary requests.
    fn hedge_delay(&self, latency: &QuantileTracker) -> Duration {
        let GatherRules { hedge_delay_initial, hedge_delay_max, .. } = self.spec.rules;
        let quantile = latency.estimate().unwrap_or(hedge_delay_initial);
        let mean = latency.mean().unwrap_or_default();
        quantile.max(mean * HEDGE_MEAN_FACTOR).min(hedge_delay_max).max(HEDGE_DELAY_MIN)
    }

    fn schedule_retry<R: Rng>(&mut self, shard: usize, context: &mut FanoutContext<'_, R>) {
        let exponent = self.progress[shard].retry_pauses.min(6);
        self.progress[shard].retry_pauses += 1;
        let pause = (RETRY_PAUSE_INITIAL * (1 << exponent)).min(RETRY_PAUSE_MAX);
        let jittered = pause.mul_f64(context.random.random_range(0.5..1.0));
        self.set_timer(shard, context.now + jittered);
    }

    fn set_timer(&mut self, shard: usize, due: Instant) {
        self.clear_timer(shard);
        self.progress[shard].timer_due = Some(due);
        self.timers.insert((due, shard));
    }

    fn clear_timer(&mut self, shard: usize) {
        if let Some(due) = self.progress[shard].timer_due.take() {
            self.timers.remove(&(due, shard));
        }
    }

    fn cancel_running<R: Rng>(
        &self,
        shard: usize,
        context: &FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        if self.progress[shard].running == 0 {
            return;
        }
        let progress = &self.progress[shard];
        for attempt in progress.earlier_attempts.iter().chain(&progress.latest_attempt).copied() {
            let record = &self.attempts[attempt as usize];
            let cancels = match self.spec.rules.unneeded_attempts {
                UnneededAttempts::Cancel => true,
                UnneededAttempts::CancelWhereOthersWait => {
                    context.observations.has_queue(record.upstream, context.now)
                }
            };
            if record.running && cancels {
                commands.push(Command::Cancel { attempt, upstream: record.upstream });
            }
        }
    }

    /// Gives up the open shards if the request may finish without them.
    fn finish_early<R: Rng>(
        &mut self,
        context: &FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        let Some(early_finish) = &self.spec.rules.early_finish else { return };
        if context.now < early_finish.at {
            return;
        }
        self.early_finish_reached = true;
        if self.answered_shards >= early_finish.shards_min && self.open_shards > 0 {
            self.give_up_open_shards(context, commands);
        }
    }

    fn give_up_open_shards<R: Rng>(
        &mut self,
        context: &FanoutContext<'_, R>,
        commands: &mut Vec<Command>,
    ) {
        for shard in 0..self.progress.len() {
            if matches!(self.progress[shard].state, ShardState::Open) {
                if self.progress[shard].running > 0 {
                    self.progress[shard].missing_reason = MissingReason::DeadlineExceeded;
                }
                self.give_up(shard, NoRetryReason::RequestEnded);
                self.cancel_running(shard, context, commands);
            }
        }
        self.finish_if_done(commands);
    }

    fn give_up(&mut self, shard: usize, reason: NoRetryReason) {
        self.progress[shard].state = ShardState::GivenUp;
        *self.given_up.entry(reason).or_default() += 1;
        self.close_shard(shard);
    }

    fn close_shard(&mut self, shard: usize) {
        self.clear_timer(shard);
        self.open_shards -= 1;
    }

    fn finish_if_done(&self, commands: &mut Vec<Command>) {
        if self.open_shards == 0 && commands.last() != Some(&Command::Finished) {
            commands.push(Command::Finished);
        }
    }
}

/// Adds missing latency trackers: those of a route are dropped when it is removed, which may happen
/// while its requests are in flight.
fn ensure_latency_trackers<R: Rng>(context: &mut FanoutContext<'_, R>, shards: usize) {
    if context.latencies.len() < shards {
        context.latencies.resize_with(shards, QuantileTracker::new);
    }
}

/// Returns a latency scaled so that the mean of its kind of request becomes [`LATENCY_UNIT`].
///
/// Otherwise an upstream that gets the longer kinds of requests would look slow.
fn scaled_latency(latency: Duration, kind: &QuantileTracker) -> Duration {
    match kind.mean() {
        Some(mean) if !mean.is_zero() => {
            LATENCY_UNIT.mul_f64(latency.as_secs_f64() / mean.as_secs_f64())
        }
        _ => latency,
    }
}
