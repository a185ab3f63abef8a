//! What a VM has observed of each upstream, and the choice among replicas based on it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::Rng;

use super::attempt::{AttemptOutcome, FailureReason, NotRunReason};
use super::limits::{RateLimits, Urgency};
use super::silence::{SilenceDetector, SilenceHold, SilenceReporter};
use crate::ids::VmAddress;
use crate::routing::UpstreamIndex;

/// The extra cost of an upstream in another data centre, in mean latencies. Traffic between data
/// centres is charged, so a local upstream is preferred until its queue is about that much longer.
const CROSS_DATA_CENTRE_COST: f64 = 2.0;
/// The extra cost of an upstream on silence hold, in mean latencies.
const SILENCE_HOLD_COST: f64 = 8.0;
/// The maximum number of silent upstreams waiting to be reported, and of silence holds waiting to
/// be taken; further ones are dropped.
const PENDING_SILENCE_MAX: usize = 64;
/// The window of the latency average: a new sample weighs one part in this many.
const LATENCY_WINDOW: u32 = 8;
/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// How long other replicas are preferred to an upstream that shed an attempt.
const SHED_HOLD: Duration = Duration::from_millis(10);
/// How long an upstream counts as leaving after the last report that it is.
const LEAVING_HOLD: Duration = Duration::from_secs(30);
/// How long a reported queue length is used.
const QUEUE_HINT_HOLD: Duration = Duration::from_millis(200);
/// Answers after which a new or previously ejected upstream counts as warm.
const WARM_ANSWERS: u32 = 16;
/// The factor on the expected latency of a cold upstream that already has an attempt in flight.
const COLD_FACTOR: u64 = 4;
/// The weight of the newest attempt in the failure share.
const FAILURE_SHARE_SAMPLE_WEIGHT: f64 = 0.2;
/// The half-life of the failure share, so that an upstream that failed is tried again.
const FAILURE_SHARE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The upper bound on the failure share in the cost of an upstream.
const FAILURE_SHARE_MAX: f64 = 0.95;
/// The cost of a failed attempt while all hedges and retries are left, in mean latencies.
const FAILURE_COST_MIN: f64 = 1.0;
/// The extra cost of a failed attempt once no hedge or retry is left, in mean latencies.
const FAILURE_COST_SCARCITY: f64 = 40.0;
/// The mean to which the latencies of each kind of request are scaled, so that kinds compare.
pub(crate) const LATENCY_UNIT: Duration = Duration::from_millis(10);
/// The latency assumed before the first sample.
const LATENCY_INITIAL: Duration = Duration::from_millis(5);

/// The load that an upstream reports.
#[value]
#[derive(Copy)]
pub struct UpstreamLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// The maximum number of requests that run at once.
    pub slots: u32,
}

/// Observations of all upstreams, by upstream index.
#[derive(Debug, Default)]
pub struct Observations {
    records: Vec<Record>,
    /// The limits that upstreams name.
    pub(crate) limits: RateLimits,
    /// Upstreams that this VM found silent and has not reported to the other VMs yet.
    unreported_silent: BTreeSet<UpstreamIndex>,
    /// Upstreams found silent by this VM that have not been taken yet.
    newly_silent: Vec<UpstreamIndex>,
    /// Silence holds that started and have not been taken yet.
    silence_holds: Vec<SilenceHold>,
}

#[derive(Debug, Clone)]
struct Record {
    in_flight: u32,
    latency_us: u64,
    answers: u32,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    shed_until: Option<Instant>,
    leaving_until: Option<Instant>,
    /// Until when the upstream wants no request of this VM.
    refusing_until: Option<Instant>,
    queue_hint: u32,
    queue_hint_until: Option<Instant>,
    /// Until when the upstream's last report of waiting requests is valid.
    queue_reported_until: Option<Instant>,
    /// Whether the upstream runs in another data centre than this VM.
    is_remote: bool,
    silence: SilenceDetector,
    /// The share of recent attempts that were shed or failed, as of `failure_share_at`.
    failure_share: f64,
    failure_share_at: Option<Instant>,
    /// The time without progress after which the upstream counts as stalled: the longest among the
    /// attempts sent since it was last idle.
    stall_after: Duration,
    /// When the upstream last replied, or got work while it was idle.
    progress_at: Option<Instant>,
}

impl Observations {
    /// Starts without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a replica and returns its position, or `None` if no replica may be used.
    ///
    /// Positions in `tried`, leaving and refusing replicas are never chosen. Ejected replicas are chosen only
    /// if no other is left, so that ejection never leaves a shard without replicas.
    ///
    /// `scarcity` is the used share of the hedges and retries, from 0 to 1. The higher it is, the
    /// more the choice avoids upstreams that fail some of their attempts.
    pub fn choose(
        &self,
        replicas: &[UpstreamIndex],
        tried: &[usize],
        scarcity: f64,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let untried = |position: &usize| !tried.contains(position);
        let takes_requests = |position: &usize| {
            let upstream = replicas[*position];
            !self.is_leaving(upstream, now) && !self.is_refusing(upstream, now)
        };
        let mut best = None;
        let usable = (0..replicas.len()).filter(untried).filter(takes_requests);
        for position in usable {
            let (rank, load) = self.rank(replicas[position], scarcity, now);
            // Random weights between 1 and 2 keep VMs from all choosing the same upstream.
            let weighted = load.saturating_mul(u64::from(random.random_range(1024..2048_u32)));
            if best.is_none_or(|(best_key, _)| (rank, weighted) < best_key) {
                best = Some(((rank, weighted), position));
            }
        }
        best.map(|(_, position)| position)
    }

    /// Records that an attempt was sent; no progress for longer than `stall_after` means a stall.
    pub fn sent(&mut self, upstream: UpstreamIndex, now: Instant, stall_after: Duration) {
        self.limits.take(upstream);
        let record = self.record(upstream);
        if record.in_flight == 0 {
            record.progress_at = Some(now);
            record.stall_after = stall_after;
        }
        record.in_flight += 1;
        record.stall_after = record.stall_after.max(stall_after);
    }

    /// Records the outcome of an attempt.
    pub fn finished<P>(
        &mut self,
        upstream: UpstreamIndex,
        outcome: &AttemptOutcome<P>,
        latency: Duration,
        ejection: Duration,
        now: Instant,
    ) {
        let record = self.record(upstream);
        record.in_flight = record.in_flight.saturating_sub(1);
        if !matches!(outcome, AttemptOutcome::Failed(_)) {
            record.progress_at = Some(now);
        }
        if let Some(sample) = failure_sample(outcome) {
            record.update_failure_share(sample, now);
        }
        match outcome {
            AttemptOutcome::Answered(_) => record.record_answer(latency),
            AttemptOutcome::NotRun(reason) => match reason {
                NotRunReason::Shed | NotRunReason::QueueFull | NotRunReason::WouldMissDeadline => {
                    record.shed_until = Some(now + SHED_HOLD);
                }
                NotRunReason::Draining => record.leaving_until = Some(now + LEAVING_HOLD),
                NotRunReason::ConnectFailed => record.record_failure(now, ejection),
                NotRunReason::SnapshotRetired
                | NotRunReason::WrongShard
                | NotRunReason::UnknownUpstream
                | NotRunReason::Cancelled => {}
                NotRunReason::AddressReused => record.leaving_until = Some(now + LEAVING_HOLD),
            },
            AttemptOutcome::Failed(reason) => match reason {
                FailureReason::AnswerLost
                | FailureReason::Malformed
                | FailureReason::UpstreamFailed => {
                    record.record_failure(now, ejection);
                }
                // A short deadline may be the cause, so this counts as slow and not as a failure.
                FailureReason::DeadlineExceeded => record.record_slow_attempt(latency),
                FailureReason::Cancelled => record.record_slow_attempt(latency),
                FailureReason::OwnerLost => {}
            },
        }
    }

    /// Records a reported queue length, which is used for `QUEUE_HINT_HOLD`.
    pub fn record_queue_len(&mut self, upstream: UpstreamIndex, queue_len: u32, now: Instant) {
        let record = self.record(upstream);
        record.queue_hint = queue_len;
        record.queue_hint_until = Some(now + QUEUE_HINT_HOLD);
    }

    /// Records the load that an upstream reported, which is used for `QUEUE_HINT_HOLD`.
    pub fn record_load(&mut self, upstream: UpstreamIndex, load: UpstreamLoad, now: Instant) {
        let own = self.record(upstream).in_flight;
        self.record_queue_len(upstream, (load.running + load.waiting).saturating_sub(own), now);
        let reported_until = (load.waiting > 0).then_some(now + QUEUE_HINT_HOLD);
        self.record(upstream).queue_reported_until = reported_until;
    }

    /// Tells whether requests were waiting in an upstream's last load report, if it is still valid.
    pub fn has_queue(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.records
            .get(upstream as usize)
            .is_some_and(|record| in_future(record.queue_reported_until, now))
    }

    /// Records that an attempt at an upstream had no answer when its hedge was due.
    pub fn record_silent(&mut self, upstream: UpstreamIndex, now: Instant) {
        self.add_silence_report(upstream, SilenceReporter::ThisVm, now);
        self.newly_silent.push(upstream);
        if self.unreported_silent.len() < PENDING_SILENCE_MAX {
            self.unreported_silent.insert(upstream);
        }
    }

    /// Records that another VM found an upstream silent.
    pub fn record_silence_report(
        &mut self,
        upstream: UpstreamIndex,
        peer: VmAddress,
        now: Instant,
    ) {
        self.add_silence_report(upstream, SilenceReporter::Peer(peer), now);
    }

    /// Takes the silence holds that started since the last call.
    pub fn take_silence_holds(&mut self) -> Vec<SilenceHold> {
        std::mem::take(&mut self.silence_holds)
    }

    /// Takes the upstreams whose attempts had no answer when their hedge was due.
    pub(crate) fn take_newly_silent(&mut self) -> Vec<UpstreamIndex> {
        std::mem::take(&mut self.newly_silent)
    }

    /// Tells whether another VM found an upstream silent a moment ago.
    pub(crate) fn is_silent_elsewhere(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.records
            .get(upstream as usize)
            .is_some_and(|record| record.silence.is_reported_by_peer(now))
    }

    /// Tells whether this VM found an upstream silent and has not reported it to the other VMs.
    pub fn has_unreported_silent(&self) -> bool {
        !self.unreported_silent.is_empty()
    }

    /// Takes the upstreams that this VM found silent since the last call.
    pub fn take_unreported_silent(&mut self) -> BTreeSet<UpstreamIndex> {
        std::mem::take(&mut self.unreported_silent)
    }

    /// Records whether an upstream runs in another data centre than this VM.
    pub fn set_remote(&mut self, upstream: UpstreamIndex, is_remote: bool) {
        self.record(upstream).is_remote = is_remote;
    }

    /// Forgets an upstream, since its index may be reused for another one.
    pub fn forget(&mut self, upstream: UpstreamIndex) {
        *self.record(upstream) = Record::new();
        self.limits.forget(upstream);
        self.unreported_silent.remove(&upstream);
    }

    /// Records that an upstream is leaving, as reported by itself, another VM or the platform.
    pub fn mark_leaving(&mut self, upstream: UpstreamIndex, now: Instant) {
        self.record(upstream).leaving_until = Some(now + LEAVING_HOLD);
    }

    /// Tells whether an upstream is known to be leaving.
    pub fn is_leaving(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.records
            .get(upstream as usize)
            .is_some_and(|record| in_future(record.leaving_until, now))
    }

    /// Records that an upstream wants no request of this VM until a time.
    pub fn record_refusal(&mut self, upstream: UpstreamIndex, until: Instant) {
        let record = self.record(upstream);
        record.refusing_until = record.refusing_until.max(Some(until));
    }

    /// Tells whether an upstream wants no request of this VM at present.
    pub fn is_refusing(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.refusing_until(upstream).is_some_and(|until| until > now)
    }

    /// Returns how long it takes until one of `replicas` takes a request, because each wants none
    /// for a time or has reached its limit; `None` if one takes it now or there is none.
    pub(crate) fn wait_for_any(
        &mut self,
        replicas: &[UpstreamIndex],
        urgency: Urgency,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<Duration> {
        let mut shortest = None;
        for upstream in replicas {
            let mut wait = self
                .refusing_until(*upstream)
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
            if !self.limits.has_room(*upstream, urgency, now, random) {
                wait = wait.max(self.limits.wait(*upstream, now));
            }
            if wait.is_zero() {
                return None;
            }
            shortest = Some(shortest.map_or(wait, |shortest: Duration| shortest.min(wait)));
        }
        shortest
    }

    /// Returns the positions of the replicas that have reached their limits.
    pub(crate) fn without_room(
        &mut self,
        replicas: &[UpstreamIndex],
        urgency: Urgency,
        now: Instant,
        random: &mut impl Rng,
    ) -> Vec<usize> {
        let limits = &mut self.limits;
        let full = |position: &usize| !limits.has_room(replicas[*position], urgency, now, random);
        (0..replicas.len()).filter(full).collect()
    }

    fn refusing_until(&self, upstream: UpstreamIndex) -> Option<Instant> {
        self.records.get(upstream as usize)?.refusing_until
    }

    /// Tells whether an upstream is ejected.
    pub fn is_ejected(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.records
            .get(upstream as usize)
            .is_some_and(|record| in_future(record.ejected_until, now))
    }

    /// Ranks a replica: by its state, with usable replicas first, then by its cost in microseconds.
    fn rank(&self, upstream: UpstreamIndex, scarcity: f64, now: Instant) -> (u8, u64) {
        let Some(record) = self.records.get(upstream as usize) else {
            return (0, to_us(LATENCY_INITIAL));
        };
        let rank = match (in_future(record.ejected_until, now), in_future(record.shed_until, now)) {
            (false, false) if record.is_stalled(now) => 1,
            (false, false) => 0,
            (false, true) => 1,
            (true, _) => 2,
        };
        (rank, record.load(scarcity, now))
    }

    fn add_silence_report(
        &mut self,
        upstream: UpstreamIndex,
        reporter: SilenceReporter,
        now: Instant,
    ) {
        let Some(length) = self.record(upstream).silence.add_report(reporter, now) else { return };
        if self.silence_holds.len() < PENDING_SILENCE_MAX {
            self.silence_holds.push(SilenceHold { upstream, length });
        }
    }

    fn record(&mut self, upstream: UpstreamIndex) -> &mut Record {
        let position = upstream as usize;
        if self.records.len() <= position {
            self.records.resize(position + 1, Record::new());
        }
        &mut self.records[position]
    }
}

impl Record {
    fn new() -> Self {
        Self {
            in_flight: 0,
            latency_us: to_us(LATENCY_INITIAL),
            answers: 0,
            consecutive_failures: 0,
            ejected_until: None,
            shed_until: None,
            leaving_until: None,
            refusing_until: None,
            queue_hint: 0,
            queue_hint_until: None,
            queue_reported_until: None,
            is_remote: false,
            silence: SilenceDetector::default(),
            failure_share: 0.0,
            failure_share_at: None,
            stall_after: Duration::ZERO,
            progress_at: None,
        }
    }

    /// Returns the share of recent attempts that were shed or failed, decayed to `now`.
    fn failure_share(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_share_at else { return 0.0 };
        let half_lives =
            now.saturating_duration_since(at).as_secs_f64() / FAILURE_SHARE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(half_lives)
    }

    fn update_failure_share(&mut self, sample: f64, now: Instant) {
        let earlier = self.failure_share(now);
        self.failure_share = earlier + (sample - earlier) * FAILURE_SHARE_SAMPLE_WEIGHT;
        self.failure_share_at = Some(now);
    }

    fn is_stalled(&self, now: Instant) -> bool {
        let silent_since = self.progress_at.filter(|_| self.in_flight > 0);
        silent_since.is_some_and(|at| now.saturating_duration_since(at) > self.stall_after)
    }

    /// Returns the cost of an attempt in microseconds: the expected time to an answer, the expected
    /// cost of failures and the extra cost of distance and silence.
    fn load(&self, scarcity: f64, now: Instant) -> u64 {
        let hint = if in_future(self.queue_hint_until, now) { self.queue_hint } else { 0 };
        let cold = if self.answers < WARM_ANSWERS && self.in_flight > 0 { COLD_FACTOR } else { 1 };
        let in_system = f64::from(self.in_flight) + f64::from(hint);
        let load = (self.latency_us.max(1) * cold) as f64 * (in_system + 1.0);
        let unit_us = to_us(LATENCY_UNIT) as f64;
        let distance = if self.is_remote { CROSS_DATA_CENTRE_COST } else { 0.0 };
        let failure_share = self.failure_share(now).min(FAILURE_SHARE_MAX);
        let failures_per_answer = failure_share / (1.0 - failure_share);
        let failure_cost = FAILURE_COST_MIN + FAILURE_COST_SCARCITY * scarcity * scarcity;
        let silence = if self.silence.is_held(now) { SILENCE_HOLD_COST } else { 0.0 };
        (load + (distance + silence + failures_per_answer * failure_cost) * unit_us) as u64
    }

    fn record_answer(&mut self, latency: Duration) {
        self.answers = self.answers.saturating_add(1);
        self.consecutive_failures = 0;
        self.ejected_until = None;
        self.update_latency(latency);
    }

    fn record_slow_attempt(&mut self, latency: Duration) {
        if to_us(latency) > self.latency_us {
            self.update_latency(latency);
        }
    }

    fn update_latency(&mut self, latency: Duration) {
        let window = u64::from(LATENCY_WINDOW);
        self.latency_us = (self.latency_us * (window - 1) + to_us(latency)) / window;
    }

    fn record_failure(&mut self, now: Instant, ejection: Duration) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.ejected_until = Some(now + ejection);
            self.answers = 0;
        }
    }
}

/// Returns 0 for an answer, 1 for a failure of the upstream and `None` for other outcomes.
fn failure_sample<P>(outcome: &AttemptOutcome<P>) -> Option<f64> {
    match outcome {
        AttemptOutcome::Answered(_) => Some(0.0),
        AttemptOutcome::NotRun(NotRunReason::Shed | NotRunReason::ConnectFailed)
        | AttemptOutcome::Failed(
            FailureReason::AnswerLost | FailureReason::Malformed | FailureReason::UpstreamFailed,
        ) => Some(1.0),
        AttemptOutcome::NotRun(_) | AttemptOutcome::Failed(_) => None,
    }
}

fn in_future(moment: Option<Instant>, now: Instant) -> bool {
    moment.is_some_and(|moment| moment > now)
}

fn to_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
