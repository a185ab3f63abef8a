//! One run: a case under one policy.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use papayastack::{QueryRequest, RoutingPolicy, SubmissionRequest};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::arrivals::{Arrival, Arrivals, Work};
use crate::check::{KnownSnapshots, check_answer};
use crate::client::{Caller, Reply};
use crate::experiment::{Case, Experiment, Load, TimedFault};
use crate::resources::resident_bytes;
use crate::system::{System, SystemCounts};
use crate::tally::{Tally, Told, shards_named};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
const LAST_REPLIES_TIMEOUT: Duration = Duration::from_secs(30);
const LAST_REPLIES_PAUSE: Duration = Duration::from_millis(10);

/// What a run measured.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) policy: RoutingPolicy,
    pub(crate) tallies: Vec<Tally>,
    /// Sub-requests that the answered queries needed, warm-up included.
    pub(crate) needed: u64,
    /// Searches that upstreams received, warm-up included.
    pub(crate) sent: Option<u64>,
    /// Counts at the begin and at the end of the measurement.
    pub(crate) counts: Option<(SystemCounts, SystemCounts)>,
    pub(crate) resident_bytes: u64,
    /// Faults that could not be carried out.
    pub(crate) fault_errors: Vec<String>,
}

/// What the tasks of one run share.
struct Shared {
    caller: Caller,
    seed: u64,
    known: Arc<Mutex<KnownSnapshots>>,
    start: Instant,
    warmup: Duration,
    run_time: Duration,
    in_flight: AtomicUsize,
    in_flight_max: usize,
    needed: AtomicU64,
    tallies: Vec<Mutex<Tally>>,
}

impl Shared {
    fn tally(&self, stream: usize) -> MutexGuard<'_, Tally> {
        self.tallies[stream].lock().expect("no holder of the lock panics")
    }
}

/// Runs a case under a policy.
///
/// # Errors
/// The system does not start.
pub(crate) async fn run_case(
    experiment: &Experiment,
    case: &Case,
    policy: RoutingPolicy,
) -> Result<RunResult, String> {
    let mut system = System::open(case, policy, experiment.seed).await?;
    let before = system.counts();
    let shared = Arc::new(Shared {
        caller: Caller::open(system.addresses().to_vec()),
        seed: experiment.seed,
        known: system.known(),
        start: Instant::now(),
        warmup: Duration::from_secs(experiment.warmup_s),
        run_time: experiment.run_time(),
        in_flight: AtomicUsize::new(0),
        in_flight_max: experiment.in_flight_max,
        needed: AtomicU64::new(0),
        tallies: case.load.iter().map(|_| Mutex::new(Tally::new())).collect(),
    });
    let mut tasks = JoinSet::new();
    for (stream, load) in case.load.iter().enumerate() {
        let arrivals = Arrivals::new(
            load,
            system.shape(&load.service),
            experiment.seed,
            stream as u64,
            experiment.checked_permille,
        );
        tasks.spawn(send(Arc::clone(&shared), arrivals, load.clone(), stream));
    }
    let progress = tokio::spawn(show_progress(Arc::clone(&shared), policy, case.name.clone()));
    let (at_begin, fault_errors) = drive_faults(&mut system, &case.faults, &shared).await;
    while tasks.join_next().await.is_some() {}
    let at_end = system.counts();
    let resident_bytes = resident_bytes();
    wait_for_last_replies(&shared).await;
    progress.abort();
    let sent = before
        .zip(system.counts())
        .map(|(before, after)| after.searches_received() - before.searches_received());
    let executions = system.executions();
    system.close().await;
    for stream in 0..case.load.len() {
        shared.tally(stream).compare_submissions(&executions);
    }
    let tallies = (0..case.load.len()).map(|stream| shared.tally(stream).clone()).collect();
    Ok(RunResult {
        policy,
        tallies,
        needed: shared.needed.load(Ordering::Relaxed),
        sent,
        counts: at_begin.zip(at_end),
        resident_bytes,
        fault_errors,
    })
}

async fn send(shared: Arc<Shared>, arrivals: Arrivals, load: Load, stream: usize) {
    let deadline = Duration::from_millis(load.deadline_ms);
    for arrival in arrivals.take_while(|arrival| arrival.at < shared.run_time) {
        sleep_until(shared.start + arrival.at).await;
        let measured = arrival.at >= shared.warmup;
        shared.tally(stream).arrived += u64::from(measured);
        if shared.in_flight.fetch_add(1, Ordering::Relaxed) >= shared.in_flight_max {
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
            shared.tally(stream).dropped += u64::from(measured);
            continue;
        }
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            exchange(&shared, &arrival, stream, deadline, measured).await;
            shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn exchange(
    shared: &Shared,
    arrival: &Arrival,
    stream: usize,
    deadline: Duration,
    measured: bool,
) {
    let place = Place { stream, at: shared.start + arrival.at, deadline, measured };
    match &arrival.work {
        Work::Query(query) => exchange_query(shared, query, arrival.checked, &place).await,
        Work::Submission { unique, request } => {
            let key = submission_key(shared.seed, unique);
            let request = SubmissionRequest { key: Some(key), ..request.clone() };
            exchange_submission(shared, &request, &place).await;
        }
    }
}

/// Where the result of a request is counted.
struct Place {
    stream: usize,
    at: Instant,
    deadline: Duration,
    measured: bool,
}

async fn exchange_query(shared: &Shared, query: &QueryRequest, checked: bool, place: &Place) {
    let reply = shared.caller.query(query).await;
    let latency = place.at.elapsed();
    if let Reply::Answered(answer) = &reply {
        shared.needed.fetch_add(shards_named(&answer.answer), Ordering::Relaxed);
    }
    if !place.measured {
        return;
    }
    match reply {
        Reply::Answered(answer) => {
            let compared = checked.then(|| {
                let known = shared.known.lock().expect("no holder of the lock panics").clone();
                check_answer(shared.seed, query, &answer.answer, &known)
            });
            let mut tally = shared.tally(place.stream);
            tally.answered(&answer.answer, latency, place.deadline);
            if let Some(result) = compared {
                tally.compared(result);
            }
        }
        Reply::Refused(refused) => shared.tally(place.stream).refused(&refused.refusal),
        Reply::Failed(_) => shared.tally(place.stream).failed += 1,
    }
}

async fn exchange_submission(shared: &Shared, request: &SubmissionRequest, place: &Place) {
    let reply = shared.caller.submit(request).await;
    let latency = place.at.elapsed();
    let mut tally = shared.tally(place.stream);
    let told = match &reply {
        Reply::Answered(_) => Told::Done,
        Reply::Refused(refused) => refused.refusal.certainty().into(),
        Reply::Failed(_) => Told::Unknown,
    };
    // The warm-up's submissions are compared with what ran as well.
    tally.told.insert(request.key.clone().unwrap_or_default(), told);
    match reply {
        _ if !place.measured => {}
        Reply::Answered(_) => tally.submitted(latency, place.deadline),
        Reply::Refused(refused) => tally.refused(&refused.refusal),
        Reply::Failed(_) => tally.failed += 1,
    }
}

fn submission_key(seed: u64, unique: &str) -> String {
    let issued = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{seed}-{unique}", issued.as_millis())
}

/// Carries out the faults at their times and returns the counts at the begin of the measurement.
async fn drive_faults(
    system: &mut System,
    faults: &[TimedFault],
    shared: &Shared,
) -> (Option<SystemCounts>, Vec<String>) {
    let begin = i64::try_from(shared.warmup.as_secs()).unwrap_or(0);
    let mut timed: Vec<(u64, Option<&TimedFault>)> = faults
        .iter()
        .map(|fault| (u64::try_from((fault.at_s + begin).max(0)).unwrap_or(0), Some(fault)))
        .collect();
    timed.push((shared.warmup.as_secs(), None));
    timed.sort_by_key(|(at_s, _)| *at_s);
    let mut counts = None;
    let mut errors = Vec::new();
    for (at_s, fault) in timed {
        sleep_until(shared.start + Duration::from_secs(at_s)).await;
        match fault {
            None => counts = system.counts(),
            Some(fault) => {
                if let Err(error) = system.apply(&fault.fault).await {
                    errors.push(format!("at {} s: {error}", fault.at_s));
                }
            }
        }
    }
    (counts, errors)
}

async fn wait_for_last_replies(shared: &Shared) {
    let end = Instant::now() + LAST_REPLIES_TIMEOUT;
    while shared.in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(LAST_REPLIES_PAUSE).await;
    }
}

async fn show_progress(shared: Arc<Shared>, policy: RoutingPolicy, case: String) {
    loop {
        sleep(PROGRESS_INTERVAL).await;
        let tallies: Vec<Tally> =
            (0..shared.tallies.len()).map(|stream| shared.tally(stream).clone()).collect();
        let sum = |count: fn(&Tally) -> u64| tallies.iter().map(count).sum::<u64>();
        let p99 = tallies.iter().map(|tally| tally.latency_us.value_at_quantile(0.99)).max();
        eprintln!(
            "load: {case}, {policy:?}: {} s of {} s, {} answered, {} partial, {} refused, {} failed, \
             {} in flight, p99 {:.1} ms.",
            shared.start.elapsed().as_secs(),
            shared.run_time.as_secs(),
            sum(Tally::answers),
            sum(|tally| tally.partial),
            sum(Tally::refusals),
            sum(|tally| tally.failed),
            shared.in_flight.load(Ordering::Relaxed),
            p99.unwrap_or(0) as f64 / 1_000.0,
        );
    }
}
