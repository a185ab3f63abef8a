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
use crate::store::{Life, Store, Upstream};

const VMS: usize = 4;
const KILLED_VM: usize = 1;
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// How long a caller waits for one answer.
const ANSWER_WAIT: Duration = Duration::from_secs(2);
/// How long a caller goes on asking.
const PATIENCE: Duration = Duration::from_secs(10);
/// The time until everything in flight has ended.
const SETTLE: Duration = Duration::from_secs(20);

/// What is measured.
pub(crate) struct Run {
    pub(crate) policy: Policy,
    /// Submissions a second.
    pub(crate) rate: u64,
    pub(crate) duration: Duration,
    pub(crate) kill_at: Option<Duration>,
    pub(crate) seed: u64,
}

/// What callers, platform and upstreams counted.
#[derive(Default)]
pub(crate) struct Tally {
    pub(crate) submissions: u64,
    /// Submissions without an answer when the VM was killed.
    pub(crate) in_flight_at_kill: u64,
    /// Submissions that some request left in doubt.
    pub(crate) ever_unknown: u64,
    /// Submissions whose outcome stayed unknown after safe retries.
    pub(crate) final_unknown: u64,
    pub(crate) not_run: u64,
    pub(crate) run_twice: u64,
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) largest_bytes: u64,
    latencies_ms: Vec<u64>,
}

impl Tally {
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

    fn count(&mut self, told: &Told) {
        self.submissions += 1;
        self.ever_unknown += u64::from(told.ever_unknown);
        match told.end {
            End::Done => self.latencies_ms.push(told.latency_ms),
            End::Unknown => self.final_unknown += 1,
            End::NotRun => self.not_run += 1,
        }
    }
}

struct System {
    vms: Vec<Vm>,
    in_flight: AtomicU64,
}

enum End {
    Done,
    Unknown,
    NotRun,
}

struct Told {
    end: End,
    ever_unknown: bool,
    latency_ms: u64,
}

/// One request's answer.
enum Answer {
    Done,
    Refused(Refusal),
    /// The connection broke.
    None,
}

/// Runs the callers to their end.
pub(crate) async fn run(run: Run) -> Tally {
    let start = Instant::now();
    let clock: WallClock = Arc::new(move || START_UNIX_MS + millis(start.elapsed()));
    let store = Arc::<Store>::default();
    let upstream = Arc::new(Upstream::new(run.policy.upstream_memory()));
    let kills: Vec<_> = (0..VMS).map(|_| watch::channel(false).0).collect();
    let spawn = |kill: &watch::Sender<bool>| {
        Vm::spawn(run.policy, Life::new(kill.subscribe()), &store, &upstream, &clock)
    };
    let vms = kills.iter().map(spawn).collect();
    let system = Arc::new(System { vms, in_flight: AtomicU64::new(0) });
    let killer = tokio::spawn(kill(run.kill_at, kills, Arc::clone(&system), Arc::clone(&upstream)));
    let mut random = SmallRng::seed_from_u64(run.seed);
    let mut callers = Vec::new();
    let mut at = arrival_gap(run.rate, &mut random);
    while at < run.duration {
        tokio::time::sleep_until(start + at).await;
        let key = format!("{}-{}", clock(), callers.len());
        let callers_random = SmallRng::from_rng(&mut random);
        callers.push(tokio::spawn(caller(Arc::clone(&system), key, callers_random)));
        at += arrival_gap(run.rate, &mut random);
    }
    let mut tally = Tally::default();
    for caller in callers {
        tally.count(&caller.await.expect("callers do not panic"));
    }
    tally.in_flight_at_kill = killer.await.expect("the killer does not panic").1;
    tokio::time::sleep(SETTLE).await;
    tally.run_twice = upstream.run_twice();
    tally.reads = store.reads.load(Ordering::Relaxed);
    tally.writes = store.writes.load(Ordering::Relaxed);
    tally.largest_bytes = store.largest_bytes.load(Ordering::Relaxed);
    tally
}

/// Kills one VM and returns how many submissions were in flight.
async fn kill(
    at: Option<Duration>,
    kills: Vec<watch::Sender<bool>>,
    system: Arc<System>,
    upstream: Arc<Upstream>,
) -> (Vec<watch::Sender<bool>>, u64) {
    let Some(at) = at else { return (kills, 0) };
    tokio::time::sleep(at).await;
    kills[KILLED_VM].send_replace(true);
    upstream.replace();
    let in_flight = system.in_flight.load(Ordering::Relaxed);
    (kills, in_flight)
}

async fn caller(system: Arc<System>, key: String, mut random: SmallRng) -> Told {
    let started = Instant::now();
    system.in_flight.fetch_add(1, Ordering::Relaxed);
    let mut requests = 0;
    let mut doubt = false;
    let end = loop {
        let entry = system.live_vm(&mut random);
        let answer = system.request(entry, &key, requests == 0).await;
        requests += 1;
        let pause = match answer {
            Answer::Done => break End::Done,
            Answer::None => {
                doubt = true;
                Some(Duration::ZERO)
            }
            Answer::Refused(refusal) => {
                doubt |= refusal.certainty() == Certainty::OutcomeUnknown;
                refusal.retry_after()
            }
        };
        let pause = pause.filter(|pause| started.elapsed() + *pause < PATIENCE);
        match pause {
            Some(pause) => tokio::time::sleep(pause).await,
            None if doubt => break End::Unknown,
            None => break End::NotRun,
        }
    };
    system.in_flight.fetch_sub(1, Ordering::Relaxed);
    Told { end, ever_unknown: doubt, latency_ms: millis(started.elapsed()) }
}

impl System {
    fn live_vm(&self, random: &mut SmallRng) -> usize {
        let live = (0..VMS).filter(|vm| !self.vms[*vm].life.is_over());
        live.choose(random).expect("three VMs stay alive")
    }

    /// Sends one request to the VM `entry`, which hands it to the owner of its bucket.
    async fn request(&self, entry: usize, key: &str, first: bool) -> Answer {
        tokio::select! {
            biased;
            () = self.vms[entry].life.over() => Answer::None,
            answer = self.relay(entry, key, first) => answer,
        }
    }

    async fn relay(&self, entry: usize, key: &str, first: bool) -> Answer {
        let owner = self.owner(entry, key).await;
        tokio::select! {
            biased;
            () = self.vms[owner].life.over() => {}
            result = self.run_at(owner, key, first) => return answer(result, false),
        }
        // The owner is gone: the entry VM asks the ledger itself, and tells no more than it knows.
        answer(self.run_at(entry, key, false).await, true)
    }

    async fn owner(&self, entry: usize, key: &str) -> usize {
        let bucket = self.vms[entry].bucket_of(key).await as usize;
        let order = (0..VMS).map(|offset| (bucket + offset) % VMS);
        let mut live = order.filter(|vm| !self.vms[*vm].life.is_over());
        live.next().unwrap_or(entry)
    }

    async fn run_at(&self, vm: usize, key: &str, first: bool) -> Result<SubmissionDone, Refusal> {
        let submission = Submission {
            service: "filings".to_owned(),
            key: Some(key.to_owned()),
            body: serde_json::json!({ "filing": key }),
        };
        self.vms[vm].submit(submission, first, ANSWER_WAIT).await
    }
}

fn answer(result: Result<SubmissionDone, Refusal>, owner_lost: bool) -> Answer {
    match result {
        Ok(_) => Answer::Done,
        Err(refusal) if owner_lost => {
            let mut delivery = DeliveryRecord::new();
            delivery.sent_to("the owner");
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
