//! What a VM has observed of each upstream, and the choice among replicas that follows.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::Rng;

use super::attempt::{AttemptOutcome, FailureReason, NotRunReason};
use super::silence::{Silence, SilenceHold, Witness};
use crate::ids::VmAddress;
use crate::routing::UpstreamIndex;

/// What an upstream in another data centre costs more, in mean latencies: bytes between data centres
/// are charged, so a near one is taken until its queue is about that much longer.
const FAR_COST: f64 = 2.0;
/// What being found silent adds to the expected time to an answer, in mean latencies.
const SILENCE_COST: f64 = 8.0;
/// Upstreams found silent, and holds, that wait to be told.
const SILENT_MAX: usize = 64;
/// The weight of a new latency sample, as one part in this many.
const LATENCY_WINDOW: u32 = 8;
/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// How long a shed keeps new work away where another replica can take it.
const SHED_PAUSE: Duration = Duration::from_millis(10);
/// How long the word that an upstream is leaving counts.
const LEAVING_HOLD: Duration = Duration::from_secs(30);
/// How long a queue length reported by an owner counts.
const QUEUE_HINT_HOLD: Duration = Duration::from_millis(200);
/// Answers after which an upstream that was new or ejected counts as warm.
const WARM_ANSWERS: u32 = 16;
/// The factor by which a cold upstream is made less attractive at first.
const COLD_FACTOR: u64 = 4;
/// The weight of the newest attempt in the share of attempts that were shed or failed.
const TROUBLE_SAMPLE_WEIGHT: f64 = 0.2;
/// The time in which that share halves without attempts, so that an upstream is tried again.
const TROUBLE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The largest share of failed attempts that is reckoned with.
const TROUBLE_MAX: f64 = 0.95;
/// What a failed attempt costs while repeats are plentiful, in mean latencies.
const REPEAT_COST_MIN: f64 = 1.0;
/// What a failed attempt costs more once no repeat is left, in mean latencies.
const REPEAT_COST_SCARCE: f64 = 40.0;
/// The mean latency to which the latencies of all kinds of requests are scaled.
pub(crate) const LATENCY_UNIT: Duration = Duration::from_millis(10);
/// The latency assumed before the first sample.
const LATENCY_INITIAL: Duration = Duration::from_millis(5);

/// What an upstream tells of its load.
#[value]
#[derive(Copy)]
pub struct UpstreamLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run at once at most.
    pub slots: u32,
}

/// Observations of all upstreams, by number.
#[derive(Debug, Default)]
pub struct Observations {
    records: Vec<Record>,
    /// Upstreams that this VM found silent and has not told yet.
    silent: BTreeSet<UpstreamIndex>,
    /// Holds that began and were not taken yet.
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
    queue_hint: u32,
    queue_hint_until: Option<Instant>,
    /// When the upstream last told that requests wait, for as long as that counts.
    queue_told_until: Option<Instant>,
    /// Whether it runs in another data centre than this VM.
    is_far: bool,
    silence: Silence,
    /// The share of recent attempts that were shed or failed, as of `trouble_at`.
    trouble: f64,
    trouble_at: Option<Instant>,
    /// How long the newest kind of request may take before silence means a stall.
    stall_after: Duration,
    /// When the upstream last answered, or got work after it had none.
    progress_at: Option<Instant>,
}

impl Observations {
    /// Starts without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a replica by position, passing over the positions in `tried`.
    ///
    /// Ejected replicas are used only where no other is left, so that ejection never empties a
    /// shard; leaving replicas are never used. `None` where no replica may be asked.
    ///
    /// `scarcity` tells how far repeats are used up, from 0 to 1: the scarcer they are, the more
    /// upstreams that fail a part of their attempts are avoided.
    pub fn choose(
        &self,
        replicas: &[UpstreamIndex],
        tried: &[usize],
        scarcity: f64,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<usize> {
        let untried = |position: &usize| !tried.contains(position);
        let not_leaving = |position: &usize| !self.is_leaving(replicas[*position], now);
        let mut best = None;
        let usable = (0..replicas.len()).filter(untried).filter(not_leaving);
        for position in usable {
            let (rank, load) = self.rank(replicas[position], scarcity, now);
            // Random weights between 1 and 2 keep several VMs from choosing alike.
            let weighted = load.saturating_mul(u64::from(random.random_range(1024..2048_u32)));
            if best.is_none_or(|(best_key, _)| (rank, weighted) < best_key) {
                best = Some(((rank, weighted), position));
            }
        }
        best.map(|(_, position)| position)
    }

    /// Records that an attempt was sent; silence for longer than `stall_after` means a stall.
    pub fn sent(&mut self, upstream: UpstreamIndex, now: Instant, stall_after: Duration) {
        let record = self.record(upstream);
        if record.in_flight == 0 {
            record.progress_at = Some(now);
            record.stall_after = stall_after;
        }
        record.in_flight += 1;
        record.stall_after = record.stall_after.max(stall_after);
    }

    /// Records what became of an attempt.
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
        if let Some(sample) = trouble_sample(outcome) {
            record.sample_trouble(sample, now);
        }
        match outcome {
            AttemptOutcome::Answered(_) => record.answered(latency),
            AttemptOutcome::NotRun(reason) => match reason {
                NotRunReason::Shed | NotRunReason::QueueFull | NotRunReason::WouldMissDeadline => {
                    record.shed_until = Some(now + SHED_PAUSE);
                }
                NotRunReason::Draining => record.leaving_until = Some(now + LEAVING_HOLD),
                NotRunReason::ConnectFailed => record.failed(now, ejection),
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
                    record.failed(now, ejection);
                }
                // A timeout may be the deadline's fault; the latency already counts against it.
                FailureReason::DeadlineExceeded => record.slow(latency),
                FailureReason::Cancelled => record.slow(latency),
                FailureReason::OwnerLost => {}
            },
        }
    }

    /// Records the queue length that an owner reported; it counts for a short while only.
    pub fn queue_hint(&mut self, upstream: UpstreamIndex, queue_len: u32, now: Instant) {
        let record = self.record(upstream);
        record.queue_hint = queue_len;
        record.queue_hint_until = Some(now + QUEUE_HINT_HOLD);
    }

    /// Records the load that an upstream told; it counts for a short while.
    pub fn load_told(&mut self, upstream: UpstreamIndex, load: UpstreamLoad, now: Instant) {
        let own = self.record(upstream).in_flight;
        self.queue_hint(upstream, (load.running + load.waiting).saturating_sub(own), now);
        let told_until = (load.waiting > 0).then_some(now + QUEUE_HINT_HOLD);
        self.record(upstream).queue_told_until = told_until;
    }

    /// Tells whether requests waited for an upstream when it last told its load, a short while ago.
    pub fn has_queue(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.records
            .get(upstream as usize)
            .is_some_and(|record| in_future(record.queue_told_until, now))
    }

    /// Records that an attempt at an upstream had no answer when it was hedged.
    pub fn found_silent(&mut self, upstream: UpstreamIndex, now: Instant) {
        self.silence_reported(upstream, Witness::Own, now);
        if self.silent.len() < SILENT_MAX {
            self.silent.insert(upstream);
        }
    }

    /// Records that another VM found an upstream silent.
    pub fn told_silent(&mut self, upstream: UpstreamIndex, peer: VmAddress, now: Instant) {
        self.silence_reported(upstream, Witness::Peer(peer), now);
    }

    /// Takes the holds that began since the last call.
    pub fn take_silence_holds(&mut self) -> Vec<SilenceHold> {
        std::mem::take(&mut self.silence_holds)
    }

    /// Tells whether some upstream was found silent that the others have not been told.
    pub fn has_silent(&self) -> bool {
        !self.silent.is_empty()
    }

    /// Takes the upstreams found silent since the last call.
    pub fn take_silent(&mut self) -> BTreeSet<UpstreamIndex> {
        std::mem::take(&mut self.silent)
    }

    /// Records whether an upstream runs in another data centre than this VM.
    pub fn set_far(&mut self, upstream: UpstreamIndex, is_far: bool) {
        self.record(upstream).is_far = is_far;
    }

    /// Forgets an upstream, whose number may come to stand for another one.
    pub fn forget(&mut self, upstream: UpstreamIndex) {
        *self.record(upstream) = Record::new();
        self.silent.remove(&upstream);
    }

    /// Records that an upstream is leaving, by its own, a peer's or the platform's word.
    pub fn leaving(&mut self, upstream: UpstreamIndex, now: Instant) {
        self.record(upstream).leaving_until = Some(now + LEAVING_HOLD);
    }

    /// Tells whether an upstream is known to be leaving.
    pub fn is_leaving(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.records
            .get(upstream as usize)
            .is_some_and(|record| in_future(record.leaving_until, now))
    }

    /// Tells whether an upstream is ejected.
    pub fn is_ejected(&self, upstream: UpstreamIndex, now: Instant) -> bool {
        self.records
            .get(upstream as usize)
            .is_some_and(|record| in_future(record.ejected_until, now))
    }

    /// Ranks a replica: usable ones first, then by expected work ahead in microseconds.
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

    fn silence_reported(&mut self, upstream: UpstreamIndex, witness: Witness, now: Instant) {
        let Some(length) = self.record(upstream).silence.reported(witness, now) else { return };
        if self.silence_holds.len() < SILENT_MAX {
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
            queue_hint: 0,
            queue_hint_until: None,
            queue_told_until: None,
            is_far: false,
            silence: Silence::default(),
            trouble: 0.0,
            trouble_at: None,
            stall_after: Duration::ZERO,
            progress_at: None,
        }
    }

    /// Returns the share of recent attempts that were shed or failed, as it stands at `now`.
    fn trouble(&self, now: Instant) -> f64 {
        let Some(at) = self.trouble_at else { return 0.0 };
        let half_lives =
            now.saturating_duration_since(at).as_secs_f64() / TROUBLE_HALF_LIFE.as_secs_f64();
        self.trouble * 0.5_f64.powf(half_lives)
    }

    fn sample_trouble(&mut self, sample: f64, now: Instant) {
        let earlier = self.trouble(now);
        self.trouble = earlier + (sample - earlier) * TROUBLE_SAMPLE_WEIGHT;
        self.trouble_at = Some(now);
    }

    fn is_stalled(&self, now: Instant) -> bool {
        let silent_since = self.progress_at.filter(|_| self.in_flight > 0);
        silent_since.is_some_and(|at| now.saturating_duration_since(at) > self.stall_after)
    }

    /// Returns the expected time to an answer in microseconds, with what failures are likely to cost.
    fn load(&self, scarcity: f64, now: Instant) -> u64 {
        let hint = if in_future(self.queue_hint_until, now) { self.queue_hint } else { 0 };
        let cold = if self.answers < WARM_ANSWERS && self.in_flight > 0 { COLD_FACTOR } else { 1 };
        let in_system = f64::from(self.in_flight) + f64::from(hint);
        let load = (self.latency_us.max(1) * cold) as f64 * (in_system + 1.0);
        let unit_us = to_us(LATENCY_UNIT) as f64;
        let distance = if self.is_far { FAR_COST } else { 0.0 };
        let trouble = self.trouble(now).min(TROUBLE_MAX);
        let failures_per_answer = trouble / (1.0 - trouble);
        let repeat_cost = REPEAT_COST_MIN + REPEAT_COST_SCARCE * scarcity * scarcity;
        let silence = if self.silence.is_held(now) { SILENCE_COST } else { 0.0 };
        (load + (distance + silence + failures_per_answer * repeat_cost) * unit_us) as u64
    }

    fn answered(&mut self, latency: Duration) {
        self.answers = self.answers.saturating_add(1);
        self.consecutive_failures = 0;
        self.ejected_until = None;
        self.average(latency);
    }

    fn slow(&mut self, latency: Duration) {
        if to_us(latency) > self.latency_us {
            self.average(latency);
        }
    }

    fn average(&mut self, latency: Duration) {
        let window = u64::from(LATENCY_WINDOW);
        self.latency_us = (self.latency_us * (window - 1) + to_us(latency)) / window;
    }

    fn failed(&mut self, now: Instant, ejection: Duration) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.ejected_until = Some(now + ejection);
            self.answers = 0;
        }
    }
}

/// Returns what an outcome says of its upstream: 0 for sound, 1 for trouble.
fn trouble_sample<P>(outcome: &AttemptOutcome<P>) -> Option<f64> {
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
