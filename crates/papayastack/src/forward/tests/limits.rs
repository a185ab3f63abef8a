//! Simulations in virtual time of upstreams that name a limit, behind few and many VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::routes::route;
use crate::forward::RequestKind;
use crate::forward::plan::gather_spec;
use crate::forward::state::ForwardDecisions;
use crate::query::{AttemptOutcome, Command, Gather, LimitReport, MilliPerSecond};
use crate::routing::{ShardReplicas, UpstreamIndex};
use crate::settings::QueryClass;

const STEP: Duration = Duration::from_millis(1);
/// How long an upstream takes for a request.
const WORK: Duration = Duration::from_millis(8);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The most VMs that get a report, and the share of reports that are lost.
const REPORT_FAN_OUT: usize = 32;
const REPORTS_LOST: f64 = 0.1;
/// The length of the spans in which requests at an upstream are counted.
const SPAN_S: f64 = 4.0;
const LENGTH: Duration = Duration::from_secs(24);

/// The limit that an upstream names from a time on, in seconds of the simulation.
type LimitsOverTime = &'static [(f64, Option<f64>)];

struct Scenario {
    vms: usize,
    /// Requests per second over all VMs.
    per_second: f64,
    /// The limits of each replica of the one shard.
    replicas: &'static [LimitsOverTime],
    /// How much more traffic each VM gets than the one after it.
    skew: f64,
    /// A VM that knows nothing of what was before, and when it starts.
    restarted: Option<(usize, f64)>,
    /// The rate of requests from a time on, as a factor.
    surge: Option<(f64, f64)>,
    /// The share of requests of the most urgent class; the others are of the least urgent one.
    urgent_share: f64,
    seed: u64,
}

impl Scenario {
    fn of(vms: usize, per_second: f64, replicas: &'static [LimitsOverTime]) -> Self {
        Self {
            vms,
            per_second,
            replicas,
            skew: 1.0,
            restarted: None,
            surge: None,
            urgent_share: 1.0,
            seed: 1,
        }
    }
}

#[derive(Default)]
struct Counts {
    /// When requests arrived at each replica, in seconds.
    arrivals: Vec<Vec<f64>>,
    requests: [u32; 2],
    served: [u32; 2],
}

impl Counts {
    /// Returns the most arrivals at a replica in any span within `from_s` and `to_s`.
    fn most_in_span(&self, replica: usize, from_s: f64, to_s: f64) -> usize {
        let within: Vec<f64> = self.arrivals[replica]
            .iter()
            .copied()
            .filter(|at| (from_s..to_s).contains(at))
            .collect();
        let spans = within.iter().enumerate().map(|(position, from)| {
            within[position..].iter().take_while(|at| **at < from + SPAN_S).count()
        });
        spans.max().unwrap_or(0)
    }

    fn arrived_within(&self, replica: usize, from_s: f64, to_s: f64) -> usize {
        self.arrivals[replica].iter().filter(|at| (from_s..to_s).contains(*at)).count()
    }
}

/// Returns the most requests that an upstream may get in a span.
fn allowed(limit: f64) -> usize {
    (limit * SPAN_S * 1.5 + 5.0) as usize
}

struct Reply {
    vm: usize,
    request: u64,
    attempt: u64,
    upstream: UpstreamIndex,
}

fn simulate(scenario: &Scenario) -> Counts {
    let start = Instant::now();
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let new_vm = |random: &mut SmallRng| {
        let mut decisions = ForwardDecisions::new(SmallRng::seed_from_u64(random.random()));
        decisions.vms_known = scenario.vms as u32;
        decisions.limits().set_vms(scenario.vms as u32);
        decisions
    };
    let mut vms: Vec<ForwardDecisions> = (0..scenario.vms).map(|_| new_vm(&mut random)).collect();
    let weights: Vec<f64> = (0..scenario.vms).map(|vm| scenario.skew.powi(-(vm as i32))).collect();
    let total_weight: f64 = weights.iter().sum();
    let replicas: Vec<UpstreamIndex> = (0..scenario.replicas.len() as u32).collect();
    let shards = Arc::new(vec![ShardReplicas { shard: 0, replicas }]);
    let route = crate::forward::Route {
        kind: RequestKind::Safe,
        goal: Duration::from_millis(200),
        ..route("lookup", "a.example", "/lookup/")
    };
    let mut counts =
        Counts { arrivals: vec![Vec::new(); scenario.replicas.len()], ..Counts::default() };
    let mut gathers: BTreeMap<u64, (Gather<()>, usize)> = BTreeMap::new();
    let mut replies: BTreeMap<(Instant, u64), Reply> = BTreeMap::new();
    let mut reports_due: Vec<Instant> = (0..scenario.vms)
        .map(|_| start + REPORT_INTERVAL.mul_f64(random.random_range(0.0..1.0)))
        .collect();
    let (mut now, mut sequence) = (start, 0_u64);
    while now < start + LENGTH {
        now += STEP;
        let seconds = (now - start).as_secs_f64();
        if let Some((vm, at_s)) = scenario.restarted
            && (at_s..at_s + STEP.as_secs_f64()).contains(&seconds)
        {
            vms[vm] = new_vm(&mut random);
            gathers.clear();
            replies.retain(|_, reply| reply.vm != vm);
        }
        let surge = scenario.surge.filter(|(from_s, _)| seconds >= *from_s);
        let rate = scenario.per_second * surge.map_or(1.0, |(_, factor)| factor);
        let mut left = rate * STEP.as_secs_f64();
        while left > 0.0 && random.random_bool(left.min(1.0)) {
            left -= 1.0;
            sequence += 1;
            let mut point = random.random_range(0.0..total_weight);
            let vm = weights
                .iter()
                .position(|weight| {
                    point -= weight;
                    point < 0.0
                })
                .unwrap_or(0);
            let urgent = random.random_bool(scenario.urgent_share);
            let class = if urgent { QueryClass::Lookup } else { QueryClass::Archive };
            counts.requests[usize::from(urgent)] += 1;
            if !vms[vm].refused_shards(&shards, class, now).is_empty() {
                continue;
            }
            let services = Arc::from(["one".to_owned()]);
            let deadline = now + route.timeout;
            let spec =
                gather_spec(&route, services, Arc::clone(&shards), now, deadline, false, class);
            let mut context = vms[vm].context("lookup", now);
            let (gather, commands) = Gather::start(spec, &mut context);
            gathers.insert(sequence, (gather, usize::from(urgent)));
            for command in commands {
                if let Command::Send { attempt, upstream, .. } = command {
                    counts.arrivals[upstream as usize].push(seconds);
                    let reply = Reply { vm, request: sequence, attempt, upstream };
                    replies.insert((now + WORK, sequence), reply);
                }
            }
        }
        while let Some(entry) = replies.first_entry().filter(|entry| entry.key().0 <= now) {
            let Reply { vm, request, attempt, upstream } = entry.remove();
            let named = limit_at(scenario.replicas[upstream as usize], seconds);
            vms[vm].record_limit(upstream, named, now);
            let Some((mut gather, urgent)) = gathers.remove(&request) else { continue };
            let mut context = vms[vm].context("lookup", now);
            gather.on_reply(attempt, AttemptOutcome::Answered(()), &mut context);
            counts.served[urgent] += 1;
        }
        for vm in 0..scenario.vms {
            if reports_due[vm] <= now {
                reports_due[vm] = now + REPORT_INTERVAL;
                let reports = vms[vm].limits().take_reports(now);
                deliver(&mut vms, vm, &reports, now, &mut random);
            }
        }
    }
    counts
}

fn limit_at(limits: LimitsOverTime, seconds: f64) -> Option<MilliPerSecond> {
    let current = limits.iter().rev().find(|(from_s, _)| *from_s <= seconds)?;
    current.1.map(|per_second| (per_second * 1_000.0) as MilliPerSecond)
}

fn deliver(
    vms: &mut [ForwardDecisions],
    sender: usize,
    reports: &[(UpstreamIndex, LimitReport)],
    now: Instant,
    random: &mut SmallRng,
) {
    let address = std::net::SocketAddr::from(([10, 0, 0, 1], sender as u16));
    let receivers: Vec<usize> = if vms.len() <= REPORT_FAN_OUT {
        (0..vms.len()).collect()
    } else {
        (0..REPORT_FAN_OUT).map(|_| random.random_range(0..vms.len())).collect()
    };
    for receiver in receivers.into_iter().filter(|receiver| *receiver != sender) {
        if !random.random_bool(REPORTS_LOST) {
            for (upstream, report) in reports {
                vms[receiver].record_limit_report(*upstream, address, *report, now);
            }
        }
    }
}

const UNLIMITED: LimitsOverTime = &[(0.0, None)];
const FROM_THREE: LimitsOverTime = &[(0.0, None), (3.0, Some(20.0))];
const TWO: LimitsOverTime = &[(0.0, None), (3.0, Some(2.0))];

/// Asserts that no span from four seconds after the limit on exceeds it, for three seeds.
fn assert_within_limit(scenario: impl Fn(u64) -> Scenario, limit: f64) -> Vec<Counts> {
    let counts: Vec<Counts> = (1..=3).map(|seed| simulate(&scenario(seed))).collect();
    for counts in &counts {
        let most = counts.most_in_span(0, 3.0 + 0.5, f64::INFINITY);
        println!(
            "{most} of {} allowed, served {:?} of {:?}",
            allowed(limit),
            counts.served,
            counts.requests
        );
        assert!(most <= allowed(limit), "{most} requests, {} are allowed", allowed(limit));
    }
    counts
}

// Guards against a share for each VM that adds up to more than the limit.
#[test]
fn four_vms_with_unequal_traffic_keep_one_limit_and_use_it() {
    let scenario = |seed| Scenario { skew: 3.0, seed, ..Scenario::of(4, 60.0, &[FROM_THREE]) };

    let counts = assert_within_limit(scenario, 20.0);

    for counts in counts {
        let used = counts.arrived_within(0, 8.0, 24.0) as f64 / (16.0 * 20.0);
        assert!(used > 0.8, "{used:.2} of the limit is used");
    }
}

#[test]
fn twenty_four_vms_keep_one_limit_and_use_it() {
    let scenario = |seed| Scenario { skew: 1.1, seed, ..Scenario::of(24, 80.0, &[FROM_THREE]) };

    let counts = assert_within_limit(scenario, 20.0);

    for counts in counts {
        let used = counts.arrived_within(0, 8.0, 24.0) as f64 / (16.0 * 20.0);
        assert!(used > 0.7, "{used:.2} of the limit is used");
    }
}

// Guards against a whole token for each VM where the limit is lower than the number of VMs.
#[test]
fn three_hundred_vms_keep_a_limit_of_two_a_second() {
    // A VM that gets a request each 15 s keeps the share of three seconds between them, so that a
    // surge cannot take more than that from all VMs at once.
    for (per_second, used_min) in [(20.0, 10), (300.0, 48), (3_000.0, 48)] {
        let scenario = |seed| Scenario { seed, ..Scenario::of(300, per_second, &[TWO]) };

        let counts = assert_within_limit(scenario, 2.0);

        let used: usize = counts.iter().map(|counts| counts.arrived_within(0, 8.0, 24.0)).sum();
        assert!(used > used_min, "{used} requests of 96 are used");
    }
}

// Guards against requests that are refused although another replica has room.
#[test]
fn replicas_with_room_take_what_a_limited_one_does_not() {
    let scenario = |seed| Scenario { seed, ..Scenario::of(4, 90.0, &[TWO, UNLIMITED, UNLIMITED]) };

    let counts = assert_within_limit(scenario, 2.0);

    for counts in counts {
        assert!(counts.served[1] + 5 >= counts.requests[1], "{:?}", counts.served);
    }
}

#[test]
fn a_restarted_vm_keeps_the_limit_that_the_others_know() {
    let scenario =
        |seed| Scenario { restarted: Some((0, 9.0)), seed, ..Scenario::of(4, 60.0, &[FROM_THREE]) };

    assert_within_limit(scenario, 20.0);
}

#[test]
fn a_surge_of_requests_does_not_exceed_a_limit() {
    for vms in [4, 24, 300] {
        let scenario =
            |seed| Scenario { surge: Some((12.0, 10.0)), seed, ..Scenario::of(vms, 30.0, &[TWO]) };

        assert_within_limit(scenario, 2.0);
    }
}

#[test]
fn urgent_requests_use_a_limit_before_others() {
    let scenario =
        |seed| Scenario { urgent_share: 0.25, seed, ..Scenario::of(4, 60.0, &[FROM_THREE]) };

    let counts = assert_within_limit(scenario, 20.0);

    for Counts { served, requests, .. } in counts {
        let share = |class: usize| f64::from(served[class]) / f64::from(requests[class]);
        assert!(share(1) > 0.75 && share(1) > 2.0 * share(0), "{:.2}, {:.2}", share(1), share(0));
    }
}

#[test]
fn a_limit_that_falls_and_ends_is_followed() {
    const CHANGING: LimitsOverTime =
        &[(0.0, None), (3.0, Some(30.0)), (9.0, Some(4.0)), (17.0, None)];
    for seed in 1..=3 {
        let counts = simulate(&Scenario { seed, ..Scenario::of(4, 60.0, &[CHANGING]) });

        let after_fall = counts.most_in_span(0, 9.5, 17.0);
        assert!(after_fall <= allowed(4.0), "{after_fall} after the limit fell");
        let after_end = counts.arrived_within(0, 19.0, 24.0);
        assert!(after_end > 270, "{after_end} of 300 after the limit ended");
    }
}

#[test]
fn a_limit_of_zero_is_probed_until_it_ends() {
    const ZERO: LimitsOverTime = &[(0.0, None), (3.0, Some(0.0)), (12.0, None)];
    for vms in [4, 24] {
        let counts = simulate(&Scenario::of(vms, 60.0, &[ZERO]));

        assert!(counts.most_in_span(0, 3.5, 12.0) <= allowed(0.0));
        assert!(counts.arrived_within(0, 18.0, 24.0) > 300);
    }
}
