//! Runs one case under one policy.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use papayastack::{QueryRequest, RoutingPolicy, SubmissionRequest};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::arrivals::{Arrival, Arrivals, PlannedRequest};
use crate::check::{KnownSnapshots, check_answer};
use crate::client::{Caller, Reply};
use crate::experiment::{Case, Experiment, Load, TimedFault};
use crate::resources::resident_bytes;
use crate::stream_stats::{ReportedOutcome, StreamStats, shard_count};
use crate::system::{System, SystemCounts};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The measurements of a run.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) policy: RoutingPolicy,
    pub(crate) stream_stats: Vec<StreamStats>,
    /// Sub-requests that the answered queries needed, including those of the warm-up.
    pub(crate) sub_requests_needed: u64,
    /// Searches that upstreams received, including those of the warm-up; `None` if the upstreams
    /// run in other processes.
    pub(crate) searches_received: Option<u64>,
    /// Counters at the beginning and at the end of the measurement.
    pub(crate) counts: Option<(SystemCounts, SystemCounts)>,
    pub(crate) resident_bytes: u64,
    /// A message for each fault that could not be injected, with its time.
    pub(crate) fault_errors: Vec<String>,
}

/// The state that the tasks of one run share.
struct RunState {
    caller: Caller,
    seed: u64,
    known_snapshots: Arc<Mutex<KnownSnapshots>>,
    start: Instant,
    warmup: Duration,
    run_time: Duration,
    in_flight: AtomicUsize,
    in_flight_max: usize,
    sub_requests_needed: AtomicU64,
    stream_stats: Vec<Mutex<StreamStats>>,
}

impl RunState {
    fn stats(&self, stream: usize) -> MutexGuard<'_, StreamStats> {
        self.stream_stats[stream].lock().expect("no holder of the lock panics")
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
    let run_state = Arc::new(RunState {
        caller: Caller::open(system.addresses().to_vec()),
        seed: experiment.seed,
        known_snapshots: system.known_snapshots(),
        start: Instant::now(),
        warmup: Duration::from_secs(experiment.warmup_s),
        run_time: experiment.run_time(),
        in_flight: AtomicUsize::new(0),
        in_flight_max: experiment.in_flight_max,
        sub_requests_needed: AtomicU64::new(0),
        stream_stats: case.load.iter().map(|_| Mutex::new(StreamStats::new())).collect(),
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
        tasks.spawn(run_stream(Arc::clone(&run_state), arrivals, load.clone(), stream));
    }
    let progress = tokio::spawn(show_progress(Arc::clone(&run_state), policy, case.name.clone()));
    let (counts_at_begin, fault_errors) = apply_faults(&mut system, &case.faults, &run_state).await;
    while tasks.join_next().await.is_some() {}
    let counts_at_end = system.counts();
    let resident_bytes = resident_bytes();
    wait_for_in_flight(&run_state).await;
    progress.abort();
    let searches_received = before
        .zip(system.counts())
        .map(|(before, after)| after.searches_received() - before.searches_received());
    let executions = system.executions();
    system.close().await;
    for stream in 0..case.load.len() {
        run_state.stats(stream).check_submissions(&executions);
    }
    let stream_stats = (0..case.load.len()).map(|stream| run_state.stats(stream).clone()).collect();
    Ok(RunResult {
        policy,
        stream_stats,
        sub_requests_needed: run_state.sub_requests_needed.load(Ordering::Relaxed),
        searches_received,
        counts: counts_at_begin.zip(counts_at_end),
        resident_bytes,
        fault_errors,
    })
}

async fn run_stream(run_state: Arc<RunState>, arrivals: Arrivals, load: Load, stream: usize) {
    let deadline = Duration::from_millis(load.deadline_ms);
    for arrival in arrivals.take_while(|arrival| arrival.at < run_state.run_time) {
        sleep_until(run_state.start + arrival.at).await;
        let measured = arrival.at >= run_state.warmup;
        run_state.stats(stream).arrived += u64::from(measured);
        if run_state.in_flight.fetch_add(1, Ordering::Relaxed) >= run_state.in_flight_max {
            run_state.in_flight.fetch_sub(1, Ordering::Relaxed);
            run_state.stats(stream).dropped += u64::from(measured);
            continue;
        }
        let run_state = Arc::clone(&run_state);
        tokio::spawn(async move {
            send_request(&run_state, &arrival, stream, deadline, measured).await;
            run_state.in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn send_request(
    run_state: &RunState,
    arrival: &Arrival,
    stream: usize,
    deadline: Duration,
    measured: bool,
) {
    let context = RequestContext { stream, at: run_state.start + arrival.at, deadline, measured };
    match &arrival.request {
        PlannedRequest::Query(query) => {
            send_query(run_state, query, arrival.checked, &context).await
        }
        PlannedRequest::Submission { key_suffix, request } => {
            let key = submission_key(run_state.seed, key_suffix);
            let request = SubmissionRequest { key: Some(key), ..request.clone() };
            send_submission(run_state, &request, &context).await;
        }
    }
}

/// The stream and the timing of a request, for counting its result.
struct RequestContext {
    stream: usize,
    at: Instant,
    deadline: Duration,
    measured: bool,
}

async fn send_query(
    run_state: &RunState,
    query: &QueryRequest,
    checked: bool,
    context: &RequestContext,
) {
    let reply = run_state.caller.query(query).await;
    let latency = context.at.elapsed();
    if let Reply::Answered(answer) = &reply {
        run_state.sub_requests_needed.fetch_add(shard_count(&answer.answer), Ordering::Relaxed);
    }
    if !context.measured {
        return;
    }
    match reply {
        Reply::Answered(answer) => {
            let compared = checked.then(|| {
                let known_snapshots =
                    run_state.known_snapshots.lock().expect("no holder of the lock panics").clone();
                check_answer(run_state.seed, query, &answer.answer, &known_snapshots)
            });
            let mut stats = run_state.stats(context.stream);
            stats.record_answer(&answer.answer, latency, context.deadline);
            if let Some(result) = compared {
                stats.record_check(result);
            }
        }
        Reply::Refused(refused) => run_state.stats(context.stream).record_refusal(&refused.refusal),
        Reply::Failed(_) => run_state.stats(context.stream).failed += 1,
    }
}

async fn send_submission(
    run_state: &RunState,
    request: &SubmissionRequest,
    context: &RequestContext,
) {
    let reply = run_state.caller.submit(request).await;
    let latency = context.at.elapsed();
    let mut stats = run_state.stats(context.stream);
    let outcome = match &reply {
        Reply::Answered(_) => ReportedOutcome::Done,
        Reply::Refused(refused) => refused.refusal.certainty().into(),
        Reply::Failed(_) => ReportedOutcome::Unknown,
    };
    // Submissions of the warm-up are compared with their executions as well.
    stats.reported_outcomes.insert(request.key.clone().unwrap_or_default(), outcome);
    match reply {
        _ if !context.measured => {}
        Reply::Answered(_) => stats.record_submission(latency, context.deadline),
        Reply::Refused(refused) => stats.record_refusal(&refused.refusal),
        Reply::Failed(_) => stats.failed += 1,
    }
}

fn submission_key(seed: u64, key_suffix: &str) -> String {
    let sent_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{seed}-{key_suffix}", sent_at.as_millis())
}

/// Injects the faults at their times. Returns the counters at the beginning of the measurement and
/// a message for each fault that could not be injected.
async fn apply_faults(
    system: &mut System,
    faults: &[TimedFault],
    run_state: &RunState,
) -> (Option<SystemCounts>, Vec<String>) {
    let warmup_s = i64::try_from(run_state.warmup.as_secs()).unwrap_or(0);
    let mut timed: Vec<(u64, Option<&TimedFault>)> = faults
        .iter()
        .map(|fault| (u64::try_from((fault.at_s + warmup_s).max(0)).unwrap_or(0), Some(fault)))
        .collect();
    timed.push((run_state.warmup.as_secs(), None));
    timed.sort_by_key(|(at_s, _)| *at_s);
    let mut counts = None;
    let mut errors = Vec::new();
    for (at_s, fault) in timed {
        sleep_until(run_state.start + Duration::from_secs(at_s)).await;
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

async fn wait_for_in_flight(run_state: &RunState) {
    let give_up_at = Instant::now() + DRAIN_TIMEOUT;
    while run_state.in_flight.load(Ordering::Relaxed) > 0 && Instant::now() < give_up_at {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn show_progress(run_state: Arc<RunState>, policy: RoutingPolicy, case: String) {
    loop {
        sleep(PROGRESS_INTERVAL).await;
        let stream_stats: Vec<StreamStats> = (0..run_state.stream_stats.len())
            .map(|stream| run_state.stats(stream).clone())
            .collect();
        let sum = |count: fn(&StreamStats) -> u64| stream_stats.iter().map(count).sum::<u64>();
        let p99 = stream_stats.iter().map(|stats| stats.latency_us.value_at_quantile(0.99)).max();
        eprintln!(
            "load: {case}, {policy:?}: {} s of {} s, {} answered, {} partial, {} refused, {} failed, \
             {} in flight, p99 {:.1} ms.",
            run_state.start.elapsed().as_secs(),
            run_state.run_time.as_secs(),
            sum(StreamStats::answers),
            sum(|stats| stats.partial),
            sum(StreamStats::refusals),
            sum(|stats| stats.failed),
            run_state.in_flight.load(Ordering::Relaxed),
            p99.unwrap_or(0) as f64 / 1_000.0,
        );
    }
}
