//! Callers that submit at a fixed rate and retry safely with the same key.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use papayastack::{Certainty, DeliveryRecord, Refusal, Submission, SubmissionDone, WallClock};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::policy::{Policy, Vm};
use crate::store::{KillSignal, Store, Upstream};

const VMS: usize = 4;
const KILLED_VM: usize = 1;
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// The deadline of each request that a caller sends.
const ANSWER_WAIT: Duration = Duration::from_secs(2);
/// How long after its first request a caller may still retry.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The wait after the last answer, by the end of which all work in flight has ended.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// The parameters of one measured run.
pub(crate) struct RunOptions {
    pub(crate) policy: Policy,
    /// Submissions per second.
    pub(crate) rate: u64,
    pub(crate) duration: Duration,
    pub(crate) kill_at: Option<Duration>,
    pub(crate) seed: u64,
}

/// What the callers, the platform and the upstreams counted in one or more runs.
#[derive(Default)]
pub(crate) struct Totals {
    pub(crate) submissions: u64,
    /// Submissions without an answer when the VM was killed.
    pub(crate) in_flight_at_kill: u64,
    /// Submissions of which at least one request ended with an unknown outcome.
    pub(crate) ever_unknown: u64,
    /// Submissions whose outcome was still unknown after all retries.
    pub(crate) final_unknown: u64,
    /// Submissions that certainly did not run.
    pub(crate) not_run: u64,
    pub(crate) run_twice: u64,
    /// Read calls to the platform.
    pub(crate) reads: u64,
    /// Update calls to the platform, failed ones included.
    pub(crate) writes: u64,
    /// The size of the largest object written, in bytes.
    pub(crate) largest_bytes: u64,
    latencies_ms: Vec<u64>,
}

impl Totals {
    /// Returns the latency below which `permille` thousandths of the submissions lie.
    pub(crate) fn latency_ms(&self, permille: usize) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * permille / 1_000).copied().unwrap_or_default()
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.submissions += other.submissions;
        self.in_flight_at_kill += other.in_flight_at_kill;
        self.ever_unknown += other.ever_unknown;
        self.final_unknown += other.final_unknown;
        self.not_run += other.not_run;
        self.run_twice += other.run_twice;
        self.reads += other.reads;
        self.writes += other.writes;
        self.largest_bytes = self.largest_bytes.max(other.largest_bytes);
        self.latencies_ms.extend(&other.latencies_ms);
    }

    fn record(&mut self, report: &CallerReport) {
        self.submissions += 1;
        self.ever_unknown += u64::from(report.ever_unknown);
        match report.outcome {
            CallerOutcome::Done => self.latencies_ms.push(report.latency_ms),
            CallerOutcome::Unknown => self.final_unknown += 1,
            CallerOutcome::NotRun => self.not_run += 1,
        }
    }
}

struct Cluster {
    vms: Vec<Vm>,
    in_flight: AtomicU64,
}

enum CallerOutcome {
    Done,
    Unknown,
    NotRun,
}

struct CallerReport {
    outcome: CallerOutcome,
    ever_unknown: bool,
    latency_ms: u64,
}

/// The answer to one request.
enum Answer {
    Done,
    Refused(Refusal),
    /// The entry VM was killed before it answered.
    None,
}

/// Starts callers at the given rate, waits for all of them and returns the totals.
pub(crate) async fn run(run: RunOptions) -> Totals {
    let start = Instant::now();
    let clock: WallClock = Arc::new(move || START_UNIX_MS + millis(start.elapsed()));
    let store = Arc::<Store>::default();
    let upstream = Arc::new(Upstream::new(run.policy.upstream_memory()));
    let kills: Vec<_> = (0..VMS).map(|_| watch::channel(false).0).collect();
    let spawn = |kill: &watch::Sender<bool>| {
        Vm::spawn(run.policy, KillSignal::new(kill.subscribe()), &store, &upstream, &clock)
    };
    let vms = kills.iter().map(spawn).collect();
    let cluster = Arc::new(Cluster { vms, in_flight: AtomicU64::new(0) });
    let killer =
        tokio::spawn(kill_one_vm(run.kill_at, kills, Arc::clone(&cluster), Arc::clone(&upstream)));
    let mut random = SmallRng::seed_from_u64(run.seed);
    let mut callers = Vec::new();
    let mut next_arrival = arrival_gap(run.rate, &mut random);
    while next_arrival < run.duration {
        tokio::time::sleep_until(start + next_arrival).await;
        let key = format!("{}-{}", clock(), callers.len());
        let caller_random = SmallRng::from_rng(&mut random);
        callers.push(tokio::spawn(submit_until_settled(Arc::clone(&cluster), key, caller_random)));
        next_arrival += arrival_gap(run.rate, &mut random);
    }
    let mut totals = Totals::default();
    for caller in callers {
        totals.record(&caller.await.expect("callers do not panic"));
    }
    totals.in_flight_at_kill = killer.await.expect("the task that kills a VM does not panic").1;
    tokio::time::sleep(SETTLE_TIME).await;
    totals.run_twice = upstream.run_twice();
    totals.reads = store.reads.load(Ordering::Relaxed);
    totals.writes = store.writes.load(Ordering::Relaxed);
    totals.largest_bytes = store.largest_bytes.load(Ordering::Relaxed);
    totals
}

/// Kills one VM and replaces the upstream at `at`; returns the submissions in flight at that time.
async fn kill_one_vm(
    at: Option<Duration>,
    kills: Vec<watch::Sender<bool>>,
    cluster: Arc<Cluster>,
    upstream: Arc<Upstream>,
) -> (Vec<watch::Sender<bool>>, u64) {
    let Some(at) = at else { return (kills, 0) };
    tokio::time::sleep(at).await;
    kills[KILLED_VM].send_replace(true);
    upstream.replace();
    let in_flight = cluster.in_flight.load(Ordering::Relaxed);
    (kills, in_flight)
}

/// Submits one key, and retries it until the outcome is known or the retry window has passed.
async fn submit_until_settled(
    cluster: Arc<Cluster>,
    key: String,
    mut random: SmallRng,
) -> CallerReport {
    let started = Instant::now();
    cluster.in_flight.fetch_add(1, Ordering::Relaxed);
    let mut requests = 0;
    let mut outcome_unknown = false;
    let outcome = loop {
        let entry_vm = cluster.random_live_vm(&mut random);
        let answer = cluster.send_request(entry_vm, &key, requests == 0).await;
        requests += 1;
        let pause = match answer {
            Answer::Done => break CallerOutcome::Done,
            Answer::None => {
                outcome_unknown = true;
                Some(Duration::ZERO)
            }
            Answer::Refused(refusal) => {
                outcome_unknown |= refusal.certainty() == Certainty::OutcomeUnknown;
                refusal.retry_after()
            }
        };
        let pause = pause.filter(|pause| started.elapsed() + *pause < RETRY_WINDOW);
        match pause {
            Some(pause) => tokio::time::sleep(pause).await,
            None if outcome_unknown => break CallerOutcome::Unknown,
            None => break CallerOutcome::NotRun,
        }
    };
    cluster.in_flight.fetch_sub(1, Ordering::Relaxed);
    CallerReport { outcome, ever_unknown: outcome_unknown, latency_ms: millis(started.elapsed()) }
}

impl Cluster {
    fn random_live_vm(&self, random: &mut SmallRng) -> usize {
        let live = (0..VMS).filter(|vm| !self.vms[*vm].kill_signal.is_killed());
        live.choose(random).expect("three VMs stay alive")
    }

    /// Sends one request to the VM `entry_vm`, which forwards it to the owner of its bucket.
    async fn send_request(&self, entry_vm: usize, key: &str, first_attempt: bool) -> Answer {
        tokio::select! {
            biased;
            () = self.vms[entry_vm].kill_signal.wait_killed() => Answer::None,
            answer = self.forward_to_owner(entry_vm, key, first_attempt) => answer,
        }
    }

    async fn forward_to_owner(&self, entry_vm: usize, key: &str, first_attempt: bool) -> Answer {
        let owner = self.owner_of(entry_vm, key).await;
        tokio::select! {
            biased;
            () = self.vms[owner].kill_signal.wait_killed() => {}
            result = self.submit_to(owner, key, first_attempt) => return answer(result, false),
        }
        // The owner was killed and may have run the submission, so the entry VM submits it itself
        // and reports any refusal as an unknown outcome.
        answer(self.submit_to(entry_vm, key, false).await, true)
    }

    async fn owner_of(&self, entry_vm: usize, key: &str) -> usize {
        let bucket = self.vms[entry_vm].bucket_of(key).await as usize;
        let order = (0..VMS).map(|offset| (bucket + offset) % VMS);
        let mut live = order.filter(|vm| !self.vms[*vm].kill_signal.is_killed());
        live.next().unwrap_or(entry_vm)
    }

    async fn submit_to(
        &self,
        vm: usize,
        key: &str,
        first_attempt: bool,
    ) -> Result<SubmissionDone, Refusal> {
        let submission = Submission {
            service: "filings".to_owned(),
            key: Some(key.to_owned()),
            body: serde_json::json!({ "filing": key }),
        };
        self.vms[vm].submit(submission, first_attempt, ANSWER_WAIT).await
    }
}

fn answer(result: Result<SubmissionDone, Refusal>, owner_lost: bool) -> Answer {
    match result {
        Ok(_) => Answer::Done,
        Err(refusal) if owner_lost => {
            let mut delivery = DeliveryRecord::new();
            delivery.sent_to("the owner of the bucket");
            Answer::Refused(delivery.refuse(
                refusal.reason(),
                refusal.detail(),
                refusal.retry_after(),
            ))
        }
        Err(refusal) => Answer::Refused(refusal),
    }
}

/// Draws the time to the next arrival of a Poisson process.
fn arrival_gap(rate: u64, random: &mut SmallRng) -> Duration {
    let uniform: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate as f64)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
