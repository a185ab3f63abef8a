//! A model of callers, VMs and upstreams in virtual time, around the real decisions.
//!
//! Arrivals, service times, pauses, slots, queues, sheds and slow upstreams are modelled; routes,
//! gathering, observations and repeat windows are the product's own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::routes::{document, route};
use crate::admission::AdmissionResult;
use crate::forward::overload::{ShardLoad, classify_request, limit_name, route_class};
use crate::forward::plan::gather_spec;
use crate::forward::state::ForwardDecisions;
use crate::forward::{RequestKind, Route, RouteDocument, RouteTarget, ShardTarget};
use crate::ids::ServiceName;
use crate::outcome::MissingReason;
use crate::query::{
    AttemptOutcome, Command, FailureReason, Gather, NotRunReason, RepeatWindowSettings,
    UpstreamLoad,
};
use crate::routing::{ShardReplicas, UpstreamIndex};

const HOP: Duration = Duration::from_millis(1);
const CALLER_HOP: Duration = Duration::from_millis(3);
const QUEUE_MAX: usize = 30;

/// One kind of request.
#[derive(Clone)]
pub(super) struct Kind {
    pub(super) route: Route,
    pub(super) per_second: f64,
    pub(super) work_ms: f64,
    pub(super) spread: f64,
}

/// How one upstream behaves; `from` and `to` bound its trouble in seconds.
#[derive(Clone, Copy)]
pub(super) struct Behaviour {
    pub(super) slow_factor: f64,
    pub(super) shed_share: f64,
    pub(super) silent: bool,
    /// The share of requests that get no answer.
    pub(super) mute_share: f64,
    pub(super) from_s: f64,
    pub(super) to_s: f64,
}

impl Behaviour {
    pub(super) fn sound() -> Self {
        Self {
            slow_factor: 1.0,
            shed_share: 0.0,
            silent: false,
            mute_share: 0.0,
            from_s: 0.0,
            to_s: 1e9,
        }
    }
}

/// A place and what happens there.
pub(super) struct Scene {
    pub(super) vms: usize,
    pub(super) shards: u32,
    pub(super) replicas: u32,
    pub(super) slots: usize,
    pub(super) pause: Option<(Duration, Duration)>,
    pub(super) kinds: Vec<Kind>,
    pub(super) behaviour: BTreeMap<UpstreamIndex, Behaviour>,
    /// The factor of a burst of requests, and when it begins and ends in seconds.
    pub(super) burst: Option<(f64, f64, f64)>,
    /// Whether VMs tell each other which upstreams are silent.
    pub(super) vms_talk: bool,
    pub(super) length_s: f64,
    pub(super) seed: u64,
}

/// What a scene came to.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) requests: u32,
    /// Attempts of callers that were refused without having run.
    pub(super) refused: u32,
    /// Answers within the goal, whole or with enough shards.
    pub(super) in_time: u32,
    /// The sum of the squared covered shares of answers within the goal.
    pub(super) worth: f64,
    pub(super) repeats: u32,
    pub(super) first_sends: u32,
}

impl Tally {
    /// Returns the worth of a request in the mean, 1 at most.
    pub(super) fn mean_worth(&self) -> f64 {
        self.worth / f64::from(self.requests.max(1))
    }

    /// Returns repeats for each first attempt.
    pub(super) fn repeat_share(&self) -> f64 {
        f64::from(self.repeats) / f64::from(self.first_sends.max(1))
    }
}

/// A sweep over all shards, with the goal and the least coverage of the users' portfolio sweep.
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
    Kind { route, per_second, work_ms: 28.0, spread: 0.35 }
}

/// A lookup over all shards, with the goal and the least coverage of the users' urgent lookup.
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
    Kind { route, per_second, work_ms: 9.2, spread: 0.35 }
}

/// The users' deadline board: ten shards of three replicas that pause, at the load given.
pub(super) fn deadline_board(requests_per_second: f64, seed: u64) -> Scene {
    Scene {
        vms: 4,
        shards: 10,
        replicas: 3,
        slots: 5,
        pause: Some((Duration::from_millis(250), Duration::from_secs(6))),
        kinds: vec![sweep(10, requests_per_second * 0.75), lookup(10, requests_per_second * 0.25)],
        behaviour: BTreeMap::new(),
        burst: None,
        vms_talk: true,
        length_s: 20.0,
        seed,
    }
}

/// The users' grown deadline board: 36 shards of three replicas that pause, behind 24 VMs.
pub(super) fn grown_board(requests_per_second: f64, seed: u64) -> Scene {
    let kinds = vec![sweep(36, requests_per_second * 0.75), lookup(36, requests_per_second * 0.25)];
    Scene { vms: 24, shards: 36, slots: 4, kinds, ..deadline_board(requests_per_second, seed) }
}

fn services(shards: usize) -> Arc<[ServiceName]> {
    (0..shards).map(|shard| format!("shard-{shard}")).collect()
}

/// Plays a scene to its end.
pub(super) fn play(scene: &Scene) -> Tally {
    World::new(scene).play()
}

struct World<'a> {
    scene: &'a Scene,
    start: Instant,
    now: Instant,
    random: SmallRng,
    vms: Vec<ForwardDecisions>,
    upstreams: Vec<Upstream>,
    shards: Arc<Vec<ShardReplicas>>,
    document: RouteDocument,
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    serial: u64,
    tally: Tally,
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
    Arrive { kind: usize },
    ComeBack { kind: usize },
    Reach(Job),
    Done(Job),
    Cancelled(Job),
    Told { vm: usize, upstreams: Vec<UpstreamIndex> },
    Reply { job: Job, shed: bool, running: u32, waiting: u32 },
    Wake { request: u64 },
}

struct Request {
    kind: usize,
    vm: usize,
    sent: Instant,
    full_worth: f64,
    gather: Gather<UpstreamLoad>,
    answered: bool,
}

impl<'a> World<'a> {
    fn new(scene: &'a Scene) -> Self {
        let start = Instant::now();
        let mut random = SmallRng::seed_from_u64(scene.seed);
        let windows = RepeatWindowSettings {
            window: Duration::from_secs(10),
            repeats_permille: 200,
            repeats_extra: 56,
        };
        let mut vms = Vec::new();
        for _ in 0..scene.vms {
            let mut decisions = ForwardDecisions::new(SmallRng::seed_from_u64(random.random()));
            decisions.budgets.windows.configure(windows, scene.vms as u32);
            vms.push(decisions);
        }
        let every = scene.pause.map_or(Duration::ZERO, |(_, every)| every);
        let upstreams = (0..scene.shards * scene.replicas)
            .map(|_| Upstream {
                pause_phase: every.mul_f64(random.random_range(0.0..1.0)),
                ..Upstream::default()
            })
            .collect();
        let replicas = |shard: u32| {
            (shard * scene.replicas..(shard + 1) * scene.replicas).collect::<Vec<UpstreamIndex>>()
        };
        let shards =
            (0..scene.shards).map(|shard| ShardReplicas { shard, replicas: replicas(shard) });
        let shards = Arc::new(shards.collect());
        Self {
            scene,
            start,
            now: start,
            random,
            vms,
            upstreams,
            shards,
            document: document(scene.kinds.iter().map(|kind| kind.route.clone()).collect()),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            serial: 0,
            tally: Tally::default(),
        }
    }

    fn play(mut self) -> Tally {
        for kind in 0..self.scene.kinds.len() {
            self.next_arrival(kind);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive { kind } => {
                    self.next_arrival(kind);
                    self.tally.requests += 1;
                    self.arrive(kind, 1.0);
                }
                // A caller that was refused earns the mean of nothing and its new answer.
                Event::ComeBack { kind } => self.arrive(kind, 0.5),
                Event::Reach(job) => self.reach(job),
                Event::Done(job) => self.done(job),
                Event::Told { vm, upstreams } => self.told(vm, &upstreams),
                Event::Cancelled(job) => self.cancelled(job),
                Event::Reply { job, shed, running, waiting } => {
                    let slots = self.scene.slots as u32;
                    self.reply(job, shed, UpstreamLoad { running, waiting, slots });
                }
                Event::Wake { request } => self.wake(request),
            }
        }
        self.tally
    }

    fn at(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + delay, self.serial, event)));
    }

    fn seconds(&self) -> f64 {
        (self.now - self.start).as_secs_f64()
    }

    fn next_arrival(&mut self, kind: usize) {
        if self.seconds() >= self.scene.length_s {
            return;
        }
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        let seconds = self.seconds();
        let burst = self.scene.burst.filter(|(_, from, to)| (*from..*to).contains(&seconds));
        let factor = burst.map_or(1.0, |(factor, ..)| factor);
        let gap = -uniform.ln() / (self.scene.kinds[kind].per_second * factor);
        self.at(Duration::from_secs_f64(gap), Event::Arrive { kind });
    }

    fn arrive(&mut self, kind: usize, full_worth: f64) {
        let route = &self.scene.kinds[kind].route;
        let RouteTarget::Shards(target) = &route.target else { return };
        let vm = self.random.random_range(0..self.scene.vms);
        let accepted = self.now + CALLER_HOP;
        let deadline = accepted + route.timeout;
        let services = Arc::clone(&target.services);
        let class = route_class(route, &self.document);
        let name = limit_name(&services);
        let admitted = self.vms[vm].admission.admit(&name, class, u32::MAX);
        if let AdmissionResult::Refused { retry_after } = admitted {
            self.tally.refused += 1;
            if full_worth == 1.0 {
                let pause = retry_after.mul_f64(self.random.random_range(0.7..1.6));
                self.at(pause + CALLER_HOP * 2, Event::ComeBack { kind });
            }
            return;
        }
        let shards = Arc::clone(&self.shards);
        let overloaded = self.vms[vm].admission.is_limiting(&name, accepted);
        let spec = gather_spec(route, services, shards, accepted, deadline, overloaded);
        self.tally.first_sends += self.scene.shards;
        let mut context = self.vms[vm].context(&route.name, accepted);
        let (gather, commands) = Gather::start(spec, &mut context);
        self.serial += 1;
        let id = self.serial;
        let sent = self.now;
        let request = Request { kind, vm, sent, full_worth, gather, answered: false };
        self.requests.insert(id, request);
        self.after(id, commands, CALLER_HOP);
    }

    /// Carries out what the gathering asks for, and sees whether the answer can be given.
    fn after(&mut self, id: u64, commands: Vec<Command>, delay: Duration) {
        for command in commands {
            match command {
                Command::Send { attempt, upstream, .. } => {
                    self.at(delay + HOP, Event::Reach(Job { request: id, attempt, upstream }));
                }
                Command::Cancel { attempt, upstream } => {
                    let job = Job { request: id, attempt, upstream };
                    self.at(delay + HOP, Event::Cancelled(job));
                    self.settle_cancelled(job);
                }
                Command::SnapshotGone | Command::Finished => {}
            }
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.gather.is_finished() {
            let wake = request.gather.next_wake().saturating_duration_since(self.now);
            self.at(wake, Event::Wake { request: id });
            return;
        }
        if !std::mem::replace(&mut request.answered, true) {
            let counts = request.gather.counts();
            self.tally.repeats += (counts.hedges + counts.retries) as u32;
            let parts = request.gather.take_parts();
            let covered = parts.iter().filter(|(_, part)| part.is_ok()).count();
            let loads = parts.iter().map(|(_, part)| match part {
                Ok(load) => ShardLoad::Answered(Some(*load)),
                Err(MissingReason::DeadlineExceeded) => ShardLoad::Late,
                Err(_) => ShardLoad::Missing,
            });
            let route = &self.scene.kinds[request.kind].route;
            let RouteTarget::Shards(target) = &route.target else { return };
            let (class, name) = (route_class(route, &self.document), limit_name(&target.services));
            let (took, now) = (self.now + delay + CALLER_HOP - request.sent, self.now + delay);
            let end = classify_request(loads, took, route.goal);
            self.vms[request.vm].admission.release(&name, class, end, took, now);
            if covered >= target.covered_min() && took <= route.goal {
                self.tally.in_time += 1;
                self.tally.worth +=
                    request.full_worth * (covered as f64 / parts.len() as f64).powi(2);
            }
        }
        if request.gather.running() == 0 {
            self.requests.remove(&id);
        }
    }

    fn wake(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.answered || request.gather.next_wake() > self.now {
            return;
        }
        let route = &self.scene.kinds[request.kind].route;
        let mut context = self.vms[request.vm].context(&route.name, self.now);
        let commands = request.gather.on_tick(&mut context);
        let vm = request.vm;
        if self.scene.vms_talk && self.vms[vm].has_silent() {
            let upstreams = self.vms[vm].take_silent().into_iter().collect();
            self.at(HOP, Event::Told { vm, upstreams });
        }
        self.after(id, commands, Duration::ZERO);
    }

    /// Lets all other VMs hear which upstreams one found silent.
    fn told(&mut self, vm: usize, upstreams: &[UpstreamIndex]) {
        let teller = std::net::SocketAddr::from(([10, 0, 0, 1], vm as u16));
        for (_, listener) in self.vms.iter_mut().enumerate().filter(|(other, _)| *other != vm) {
            for upstream in upstreams {
                listener.record_silence_report(*upstream, teller, self.now);
            }
        }
    }

    fn behaviour(&self, upstream: UpstreamIndex) -> Behaviour {
        let seconds = self.seconds();
        let behaviour = self.scene.behaviour.get(&upstream).copied();
        behaviour
            .filter(|it| it.from_s <= seconds && seconds < it.to_s)
            .unwrap_or(Behaviour::sound())
    }

    fn reach(&mut self, job: Job) {
        let behaviour = self.behaviour(job.upstream);
        let mute = behaviour.mute_share > 0.0 && self.random.random_bool(behaviour.mute_share);
        if behaviour.silent || mute {
            return;
        }
        let upstream = &self.upstreams[job.upstream as usize];
        let full = upstream.queue.len() >= QUEUE_MAX;
        let sheds = behaviour.shed_share > 0.0 && self.random.random_bool(behaviour.shed_share);
        if full || sheds {
            let (running, waiting) = (upstream.running.len() as u32, upstream.queue.len() as u32);
            self.at(HOP, Event::Reply { job, shed: true, running, waiting });
        } else if upstream.running.len() < self.scene.slots {
            self.run(job);
        } else {
            self.upstreams[job.upstream as usize].queue.push_back(job);
        }
    }

    fn run(&mut self, job: Job) {
        self.upstreams[job.upstream as usize].running.insert(job);
        let kind = self.requests.get(&job.request).map_or(0, |request| request.kind);
        let Kind { work_ms, spread, .. } = self.scene.kinds[kind];
        let normal: f64 = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let work = work_ms * (spread * normal - spread * spread / 2.0).exp();
        let work =
            Duration::from_secs_f64(work * self.behaviour(job.upstream).slow_factor / 1_000.0);
        let paused = self.paused_within(job.upstream, work);
        self.at(work + paused, Event::Done(job));
    }

    /// Returns how long pauses hold up work that starts now.
    fn paused_within(&self, upstream: UpstreamIndex, work: Duration) -> Duration {
        let Some((pause, every)) = self.scene.pause else { return Duration::ZERO };
        let phase = self.upstreams[upstream as usize].pause_phase;
        let into = (self.now - self.start + phase).as_secs_f64() % every.as_secs_f64();
        if into < pause.as_secs_f64() {
            return pause - Duration::from_secs_f64(into);
        }
        let until_next = every.as_secs_f64() - into;
        if work.as_secs_f64() > until_next { pause } else { Duration::ZERO }
    }

    fn done(&mut self, job: Job) {
        let upstream = &mut self.upstreams[job.upstream as usize];
        if !upstream.running.remove(&job) {
            // It was cancelled.
            return;
        }
        let (running, waiting) = (upstream.running.len() as u32, upstream.queue.len() as u32);
        self.run_next(job.upstream);
        self.at(HOP, Event::Reply { job, shed: false, running, waiting });
    }

    fn run_next(&mut self, upstream: UpstreamIndex) {
        if let Some(next) = self.upstreams[upstream as usize].queue.pop_front() {
            self.run(next);
        }
    }

    /// Takes a job whose caller's side closed the connection out of its upstream.
    fn cancelled(&mut self, job: Job) {
        let upstream = &mut self.upstreams[job.upstream as usize];
        upstream.queue.retain(|waiting| *waiting != job);
        if upstream.running.remove(&job) {
            self.run_next(job.upstream);
        }
    }

    fn settle_cancelled(&mut self, job: Job) {
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        let route = &self.scene.kinds[request.kind].route;
        let mut context = self.vms[request.vm].context(&route.name, self.now);
        let cancelled = AttemptOutcome::Failed(FailureReason::Cancelled);
        request.gather.on_reply(job.attempt, cancelled, &mut context);
    }

    fn reply(&mut self, job: Job, shed: bool, load: UpstreamLoad) {
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        let route = &self.scene.kinds[request.kind].route;
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
        self.after(job.request, commands, Duration::ZERO);
    }
}
