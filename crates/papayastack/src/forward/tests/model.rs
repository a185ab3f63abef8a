//! A discrete-event simulation of callers, VMs and upstreams around the real routing decisions.
//!
//! Arrivals, service times, pauses, slots, queues, load shedding and slow upstreams are simulated;
//! routes, fan-out, observations, admission and repeat windows are the production code.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::routes::{document, route};
use crate::admission::AdmissionResult;
use crate::forward::overload::{ShardLoad, classify_request, limit_name, route_class};
use crate::forward::plan::{caller_started, gather_spec};
use crate::forward::state::ForwardDecisions;
use crate::forward::{RequestKind, Route, RouteDocument, RouteTarget, ShardTarget};
use crate::ids::ServiceName;
use crate::outcome::MissingReason;
use crate::query::{
    AttemptOutcome, Command, FailureReason, Gather, NotRunReason, RepeatWindowSettings,
    UpstreamLoad,
};
use crate::routing::{ShardReplicas, UpstreamIndex};

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const CALLER_NETWORK_DELAY: Duration = Duration::from_millis(3);
const QUEUE_MAX: usize = 30;

/// One kind of request and its rate.
#[derive(Clone)]
pub(super) struct Kind {
    pub(super) route: Route,
    pub(super) per_second: f64,
    /// The mean time that an upstream works on a request.
    pub(super) work_ms: f64,
    /// The standard deviation of the logarithm of that time.
    pub(super) work_spread: f64,
}

/// The faults of one upstream from `from_s` to `to_s`, in seconds of the simulation.
#[derive(Clone, Copy)]
pub(super) struct Behaviour {
    pub(super) slow_factor: f64,
    pub(super) shed_share: f64,
    pub(super) silent: bool,
    /// The share of requests that are never answered.
    pub(super) unanswered_share: f64,
    pub(super) from_s: f64,
    pub(super) to_s: f64,
}

impl Behaviour {
    pub(super) fn healthy() -> Self {
        Self {
            slow_factor: 1.0,
            shed_share: 0.0,
            silent: false,
            unanswered_share: 0.0,
            from_s: 0.0,
            to_s: 1e9,
        }
    }
}

/// The system, its load and its faults.
pub(super) struct Scenario {
    pub(super) vms: usize,
    pub(super) shards: u32,
    pub(super) replicas: u32,
    pub(super) slots: usize,
    /// The length of an upstream's regular pauses, and the time from one to the next.
    pub(super) pause: Option<(Duration, Duration)>,
    pub(super) kinds: Vec<Kind>,
    pub(super) behaviour: BTreeMap<UpstreamIndex, Behaviour>,
    /// The factor on the request rate in a burst, and its begin and end in seconds.
    pub(super) burst: Option<(f64, f64, f64)>,
    /// How long every other caller waits for an address and a connection before it sends.
    pub(super) connecting: Duration,
    /// How long a VM takes to read a request and to merge and send its answer.
    pub(super) handling: Duration,
    /// Whether VMs notify each other of silent upstreams.
    pub(super) vms_share_silence: bool,
    pub(super) length_s: f64,
    pub(super) seed: u64,
}

/// The counts at the end of a simulation.
#[derive(Debug, Default)]
pub(super) struct Totals {
    pub(super) requests: u32,
    /// Callers' requests and retries that were refused without having run.
    pub(super) refused: u32,
    /// Answers within the latency goal that cover enough shards.
    pub(super) in_time: u32,
    /// The sum over the answers within the goal of the squared share of covered shards; an answer
    /// to a retry counts half.
    pub(super) score: f64,
    pub(super) repeats: u32,
    pub(super) first_sends: u32,
}

impl Totals {
    /// Returns the mean score of a request, at most 1.
    pub(super) fn mean_score(&self) -> f64 {
        self.score / f64::from(self.requests.max(1))
    }

    /// Returns the number of repeats for each first attempt.
    pub(super) fn repeat_share(&self) -> f64 {
        f64::from(self.repeats) / f64::from(self.first_sends.max(1))
    }
}

/// Returns a sweep over all shards, with the latency goal and coverage that the users set for
/// portfolio sweeps.
pub(super) fn sweep(shards: usize, per_second: f64) -> Kind {
    let target =
        ShardTarget { services: services(shards), records_max: 50, covered_min_ppm: 890_000 };
    let route = Route {
        target: RouteTarget::Shards(target),
        timeout: Duration::from_millis(1_200),
        goal: Duration::from_millis(200),
        priority: 1,
        ..route("sweep", "a.example", "/sweep/")
    };
    Kind { route, per_second, work_ms: 28.0, work_spread: 0.35 }
}

/// Returns a lookup over all shards, with the latency goal and coverage that the users set for
/// urgent lookups.
pub(super) fn lookup(shards: usize, per_second: f64) -> Kind {
    let target =
        ShardTarget { services: services(shards), records_max: 5, covered_min_ppm: 750_000 };
    let route = Route {
        target: RouteTarget::Shards(target),
        kind: RequestKind::Safe,
        timeout: Duration::from_millis(500),
        goal: Duration::from_millis(80),
        priority: 2,
        ..route("lookup", "a.example", "/lookup/")
    };
    Kind { route, per_second, work_ms: 9.2, work_spread: 0.35 }
}

/// Returns a scenario of the users' service `deadline-board`: ten shards of three replicas that
/// pause regularly.
pub(super) fn deadline_board(requests_per_second: f64, seed: u64) -> Scenario {
    Scenario {
        vms: 4,
        shards: 10,
        replicas: 3,
        slots: 5,
        pause: Some((Duration::from_millis(250), Duration::from_secs(6))),
        kinds: vec![sweep(10, requests_per_second * 0.75), lookup(10, requests_per_second * 0.25)],
        behaviour: BTreeMap::new(),
        burst: None,
        connecting: Duration::ZERO,
        handling: Duration::ZERO,
        vms_share_silence: true,
        length_s: 20.0,
        seed,
    }
}

/// Returns a scenario of the users' service `deadline-board` after its growth to 36 shards, behind
/// 24 VMs.
pub(super) fn large_deadline_board(requests_per_second: f64, seed: u64) -> Scenario {
    let kinds = vec![sweep(36, requests_per_second * 0.75), lookup(36, requests_per_second * 0.25)];
    Scenario { vms: 24, shards: 36, slots: 4, kinds, ..deadline_board(requests_per_second, seed) }
}

fn services(shards: usize) -> Arc<[ServiceName]> {
    (0..shards).map(|shard| format!("shard-{shard}")).collect()
}

/// Simulates a scenario to its end.
pub(super) fn simulate(scenario: &Scenario) -> Totals {
    Simulation::new(scenario).run()
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    start: Instant,
    now: Instant,
    random: SmallRng,
    vms: Vec<ForwardDecisions>,
    upstreams: Vec<Upstream>,
    shards: Arc<Vec<ShardReplicas>>,
    document: RouteDocument,
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    totals: Totals,
}

#[derive(Default)]
struct Upstream {
    running: BTreeSet<Job>,
    queue: VecDeque<Job>,
    pause_phase: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    request: u64,
    attempt: u64,
    upstream: UpstreamIndex,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    NewRequest { kind: usize },
    RetryAfterRefusal { kind: usize },
    AttemptReached(Job),
    JobDone(Job),
    AttemptCancelled(Job),
    SilenceReported { vm: usize, upstreams: Vec<UpstreamIndex> },
    Reply { job: Job, shed: bool, running: u32, waiting: u32 },
    Wake { request: u64 },
}

struct Request {
    kind: usize,
    vm: usize,
    sent: Instant,
    score_weight: f64,
    gather: Gather<UpstreamLoad>,
    answered: bool,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let start = Instant::now();
        let mut random = SmallRng::seed_from_u64(scenario.seed);
        let windows = RepeatWindowSettings {
            window: Duration::from_secs(10),
            repeats_permille: 200,
            repeats_extra: 56,
        };
        let mut vms = Vec::new();
        for _ in 0..scenario.vms {
            let mut decisions = ForwardDecisions::new(SmallRng::seed_from_u64(random.random()));
            decisions.budgets.windows.configure(windows, scenario.vms as u32);
            vms.push(decisions);
        }
        let every = scenario.pause.map_or(Duration::ZERO, |(_, every)| every);
        let upstreams = (0..scenario.shards * scenario.replicas)
            .map(|_| Upstream {
                pause_phase: every.mul_f64(random.random_range(0.0..1.0)),
                ..Upstream::default()
            })
            .collect();
        let replicas = |shard: u32| {
            (shard * scenario.replicas..(shard + 1) * scenario.replicas)
                .collect::<Vec<UpstreamIndex>>()
        };
        let shards =
            (0..scenario.shards).map(|shard| ShardReplicas { shard, replicas: replicas(shard) });
        let shards = Arc::new(shards.collect());
        Self {
            scenario,
            start,
            now: start,
            random,
            vms,
            upstreams,
            shards,
            document: document(scenario.kinds.iter().map(|kind| kind.route.clone()).collect()),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        for kind in 0..self.scenario.kinds.len() {
            self.schedule_next_request(kind);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::NewRequest { kind } => {
                    self.schedule_next_request(kind);
                    self.totals.requests += 1;
                    self.start_request(kind, 1.0);
                }
                // The answer to a retry counts half: the mean of the refusal (0) and the answer.
                Event::RetryAfterRefusal { kind } => self.start_request(kind, 0.5),
                Event::AttemptReached(job) => self.attempt_reached(job),
                Event::JobDone(job) => self.job_done(job),
                Event::SilenceReported { vm, upstreams } => self.silence_reported(vm, &upstreams),
                Event::AttemptCancelled(job) => self.attempt_cancelled(job),
                Event::Reply { job, shed, running, waiting } => {
                    let slots = self.scenario.slots as u32;
                    self.on_reply(job, shed, UpstreamLoad { running, waiting, slots });
                }
                Event::Wake { request } => self.on_wake(request),
            }
        }
        self.totals
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn seconds(&self) -> f64 {
        (self.now - self.start).as_secs_f64()
    }

    fn schedule_next_request(&mut self, kind: usize) {
        if self.seconds() >= self.scenario.length_s {
            return;
        }
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let seconds = self.seconds();
        let burst = self.scenario.burst.filter(|(_, from, to)| (*from..*to).contains(&seconds));
        let factor = burst.map_or(1.0, |(factor, ..)| factor);
        let gap = -uniform.ln() / (self.scenario.kinds[kind].per_second * factor);
        self.schedule(Duration::from_secs_f64(gap), Event::NewRequest { kind });
    }

    fn start_request(&mut self, kind: usize, score_weight: f64) {
        let route = &self.scenario.kinds[kind].route;
        let RouteTarget::Shards(target) = &route.target else { return };
        let vm = self.random.random_range(0..self.scenario.vms);
        let connecting =
            if self.sequence.is_multiple_of(2) { self.scenario.connecting } else { Duration::ZERO };
        let delay = connecting + CALLER_NETWORK_DELAY;
        let accepted = self.now + delay;
        let remaining = route.timeout.saturating_sub(connecting);
        let deadline = accepted + remaining;
        let started = caller_started(accepted, route, Some(remaining));
        let services = Arc::clone(&target.services);
        let class = route_class(route, &self.document);
        let name = limit_name(&services);
        let admitted = self.vms[vm].admission.admit(&name, class, u32::MAX);
        if let AdmissionResult::Refused { retry_after } = admitted {
            self.totals.refused += 1;
            if score_weight == 1.0 {
                let pause = retry_after.mul_f64(self.random.random_range(0.7..1.6));
                self.schedule(pause + CALLER_NETWORK_DELAY * 2, Event::RetryAfterRefusal { kind });
            }
            return;
        }
        let shards = Arc::clone(&self.shards);
        let overloaded = self.vms[vm].admission.is_limiting(&name, accepted);
        let spec = gather_spec(route, services, shards, started, deadline, overloaded, class);
        self.totals.first_sends += self.scenario.shards;
        let mut context = self.vms[vm].context(&route.name, accepted);
        let (gather, commands) = Gather::start(spec, &mut context);
        self.sequence += 1;
        let id = self.sequence;
        let sent = self.now;
        let request = Request { kind, vm, sent, score_weight, gather, answered: false };
        self.requests.insert(id, request);
        self.perform(id, commands, delay);
    }

    /// Performs the commands of a fan-out, and counts the answer once the fan-out is finished.
    fn perform(&mut self, id: u64, commands: Vec<Command>, delay: Duration) {
        for command in commands {
            match command {
                Command::Send { attempt, upstream, .. } => {
                    self.schedule(
                        delay + NETWORK_DELAY,
                        Event::AttemptReached(Job { request: id, attempt, upstream }),
                    );
                }
                Command::Cancel { attempt, upstream } => {
                    let job = Job { request: id, attempt, upstream };
                    self.schedule(delay + NETWORK_DELAY, Event::AttemptCancelled(job));
                    self.settle_cancelled(job);
                }
                Command::SnapshotGone | Command::Finished => {}
            }
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.gather.is_finished() {
            let wake = request.gather.next_wake().saturating_duration_since(self.now);
            self.schedule(wake, Event::Wake { request: id });
            return;
        }
        if !std::mem::replace(&mut request.answered, true) {
            let counts = request.gather.counts();
            self.totals.repeats += (counts.hedges + counts.retries) as u32;
            let parts = request.gather.take_parts();
            let covered = parts.iter().filter(|(_, part)| part.is_ok()).count();
            let loads = parts.iter().map(|(_, part)| match part {
                Ok(load) => ShardLoad::Answered(Some(*load)),
                Err(MissingReason::DeadlineExceeded) => ShardLoad::Late,
                Err(_) => ShardLoad::Missing,
            });
            let route = &self.scenario.kinds[request.kind].route;
            let RouteTarget::Shards(target) = &route.target else { return };
            let (class, name) = (route_class(route, &self.document), limit_name(&target.services));
            let (elapsed, now) =
                (self.now + delay + CALLER_NETWORK_DELAY - request.sent, self.now + delay);
            let elapsed = elapsed + self.scenario.handling;
            let end = classify_request(loads, elapsed, route.goal);
            self.vms[request.vm].admission.release(&name, class, end, elapsed, now);
            if covered >= target.covered_min() && elapsed <= route.goal {
                self.totals.in_time += 1;
                self.totals.score +=
                    request.score_weight * (covered as f64 / parts.len() as f64).powi(2);
            }
        }
        if request.gather.running() == 0 {
            self.requests.remove(&id);
        }
    }

    fn on_wake(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.answered || request.gather.next_wake() > self.now {
            return;
        }
        let route = &self.scenario.kinds[request.kind].route;
        let mut context = self.vms[request.vm].context(&route.name, self.now);
        let commands = request.gather.on_tick(&mut context);
        let vm = request.vm;
        if self.scenario.vms_share_silence && self.vms[vm].has_unreported_silent() {
            let upstreams = self.vms[vm].take_unreported_silent().into_iter().collect();
            self.schedule(NETWORK_DELAY, Event::SilenceReported { vm, upstreams });
        }
        self.perform(id, commands, Duration::ZERO);
    }

    /// Delivers one VM's report of silent upstreams to all other VMs.
    fn silence_reported(&mut self, vm: usize, upstreams: &[UpstreamIndex]) {
        let reporter = std::net::SocketAddr::from(([10, 0, 0, 1], vm as u16));
        for (_, receiver) in self.vms.iter_mut().enumerate().filter(|(other, _)| *other != vm) {
            for upstream in upstreams {
                receiver.record_silence_report(*upstream, reporter, self.now);
            }
        }
    }

    fn behaviour(&self, upstream: UpstreamIndex) -> Behaviour {
        let seconds = self.seconds();
        let behaviour = self.scenario.behaviour.get(&upstream).copied();
        behaviour
            .filter(|it| it.from_s <= seconds && seconds < it.to_s)
            .unwrap_or(Behaviour::healthy())
    }

    fn attempt_reached(&mut self, job: Job) {
        let behaviour = self.behaviour(job.upstream);
        let unanswered =
            behaviour.unanswered_share > 0.0 && self.random.random_bool(behaviour.unanswered_share);
        if behaviour.silent || unanswered {
            return;
        }
        let upstream = &self.upstreams[job.upstream as usize];
        let full = upstream.queue.len() >= QUEUE_MAX;
        let sheds = behaviour.shed_share > 0.0 && self.random.random_bool(behaviour.shed_share);
        if full || sheds {
            let (running, waiting) = (upstream.running.len() as u32, upstream.queue.len() as u32);
            self.schedule(NETWORK_DELAY, Event::Reply { job, shed: true, running, waiting });
        } else if upstream.running.len() < self.scenario.slots {
            self.start_job(job);
        } else {
            self.upstreams[job.upstream as usize].queue.push_back(job);
        }
    }

    fn start_job(&mut self, job: Job) {
        self.upstreams[job.upstream as usize].running.insert(job);
        let kind = self.requests.get(&job.request).map_or(0, |request| request.kind);
        let Kind { work_ms, work_spread, .. } = self.scenario.kinds[kind];
        let normal: f64 = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let work = work_ms * (work_spread * normal - work_spread * work_spread / 2.0).exp();
        let work =
            Duration::from_secs_f64(work * self.behaviour(job.upstream).slow_factor / 1_000.0);
        let paused = self.pause_during(job.upstream, work);
        self.schedule(work + paused, Event::JobDone(job));
    }

    /// Returns the time that the upstream's pauses add to work that starts now.
    fn pause_during(&self, upstream: UpstreamIndex, work: Duration) -> Duration {
        let Some((pause, every)) = self.scenario.pause else { return Duration::ZERO };
        let phase = self.upstreams[upstream as usize].pause_phase;
        let offset = (self.now - self.start + phase).as_secs_f64() % every.as_secs_f64();
        if offset < pause.as_secs_f64() {
            return pause - Duration::from_secs_f64(offset);
        }
        let until_next = every.as_secs_f64() - offset;
        if work.as_secs_f64() > until_next { pause } else { Duration::ZERO }
    }

    fn job_done(&mut self, job: Job) {
        let upstream = &mut self.upstreams[job.upstream as usize];
        if !upstream.running.remove(&job) {
            // The job was cancelled.
            return;
        }
        let (running, waiting) = (upstream.running.len() as u32, upstream.queue.len() as u32);
        self.start_next_job(job.upstream);
        self.schedule(NETWORK_DELAY, Event::Reply { job, shed: false, running, waiting });
    }

    fn start_next_job(&mut self, upstream: UpstreamIndex) {
        if let Some(next) = self.upstreams[upstream as usize].queue.pop_front() {
            self.start_job(next);
        }
    }

    /// Removes a job from its upstream after the VM closed the connection.
    fn attempt_cancelled(&mut self, job: Job) {
        let upstream = &mut self.upstreams[job.upstream as usize];
        upstream.queue.retain(|waiting| *waiting != job);
        if upstream.running.remove(&job) {
            self.start_next_job(job.upstream);
        }
    }

    fn settle_cancelled(&mut self, job: Job) {
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        let route = &self.scenario.kinds[request.kind].route;
        let mut context = self.vms[request.vm].context(&route.name, self.now);
        let cancelled = AttemptOutcome::Failed(FailureReason::Cancelled);
        request.gather.on_reply(job.attempt, cancelled, &mut context);
    }

    fn on_reply(&mut self, job: Job, shed: bool, load: UpstreamLoad) {
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        let route = &self.scenario.kinds[request.kind].route;
        let decisions = &mut self.vms[request.vm];
        decisions.record_load(job.upstream, load, self.now);
        let outcome = if shed {
            AttemptOutcome::NotRun(NotRunReason::Shed)
        } else if self.now > request.sent + route.timeout {
            AttemptOutcome::Failed(FailureReason::DeadlineExceeded)
        } else {
            AttemptOutcome::Answered(load)
        };
        let mut context = decisions.context(&route.name, self.now);
        let commands = request.gather.on_reply(job.attempt, outcome, &mut context);
        self.perform(job.request, commands, Duration::ZERO);
    }
}
