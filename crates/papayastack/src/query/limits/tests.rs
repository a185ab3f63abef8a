//! Tests of the division of limits and of what counts against them.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::share::{ClassRates, own_share};
use super::{LimitReport, RateLimits, Urgency};
use crate::settings::QueryClass;

const URGENT: Urgency = Urgency::Class(QueryClass::Lookup);
const SECOND: Duration = Duration::from_secs(1);

struct Harness {
    limits: RateLimits,
    random: StdRng,
    now: Instant,
}

impl Harness {
    /// Creates the limits of the only VM.
    fn new() -> Self {
        Self { limits: RateLimits::new(), random: StdRng::seed_from_u64(5), now: Instant::now() }
    }

    fn reply(&mut self, limit: Option<u64>) {
        self.limits.on_reply(0, limit, self.now, &mut self.random);
    }

    fn report(&mut self, limit: Option<u64>, age: Duration) {
        let report = LimitReport { limit, age, demand: [0; 3] };
        let peer = std::net::SocketAddr::from(([10, 0, 0, 2], 1));
        self.limits.on_report(0, peer, report, self.now, &mut self.random);
    }

    fn has_room(&mut self) -> bool {
        self.limits.has_room(0, URGENT, self.now, &mut self.random)
    }

    /// Sends while there is room; returns how many were sent.
    fn send_all(&mut self) -> u32 {
        let mut sent = 0;
        while sent < 100 && self.has_room() {
            self.limits.take(0);
            sent += 1;
        }
        sent
    }
}

proptest! {
    #[test]
    fn the_shares_of_all_vms_add_up_to_the_limit(
        demand in prop::collection::vec([0.0..50.0, 0.0..50.0, 0.0..50.0], 1..12),
        silent in 0..5_u32,
        per_second in 0.5..200.0,
    ) {
        let demand: Vec<ClassRates> = demand.into_iter().map(ClassRates).collect();
        let vms = demand.len() as u32 + silent;
        let mut sum = 0.0;
        for (vm, own) in demand.iter().enumerate() {
            let others = demand.iter().enumerate().filter(|(other, _)| *other != vm);
            let peers = others.map(|(_, demand)| *demand);
            sum += own_share(per_second, *own, peers, vms).rates.total();
        }

        let divided = per_second * demand.len() as f64 / f64::from(vms);
        prop_assert!((sum - divided).abs() < 1e-6 * per_second, "{sum} of {divided}");
    }
}

// Guards against attempts that waited for a connection while the limit was named.
#[test]
fn an_attempt_chosen_before_the_limit_takes_room_when_it_is_sent() {
    let mut harness = Harness::new();
    let chosen_at = harness.now;
    harness.now += SECOND;
    harness.reply(Some(4_000));
    harness.now += SECOND;

    let now = harness.now;
    let mut confirm = || harness.limits.confirm(0, chosen_at, URGENT, now, &mut harness.random);
    let confirmed = (0..20).filter(|_| confirm()).count();

    assert_eq!(confirmed, 4);
}

#[test]
fn an_attempt_that_was_not_sent_leaves_its_room_to_another() {
    let mut harness = Harness::new();
    harness.reply(Some(4_000));
    harness.now += SECOND * 2;
    let sent = harness.send_all();

    harness.limits.refund(0, harness.now);

    assert_eq!((sent, harness.send_all()), (4, 1));
}

#[test]
fn room_that_is_not_used_does_not_pile_up() {
    let mut harness = Harness::new();
    harness.reply(Some(4_000));
    harness.now += SECOND * 60;

    assert_eq!(harness.send_all(), 4);
}

#[test]
fn a_delayed_report_does_not_bring_back_a_limit_that_ended() {
    let mut harness = Harness::new();
    harness.reply(Some(1));
    harness.now += SECOND;
    harness.reply(None);
    harness.now += Duration::from_millis(100);
    harness.report(Some(1), Duration::from_millis(400));

    assert!(harness.has_room());
    assert_eq!(harness.send_all(), 100);
}

#[test]
fn a_vm_that_got_no_reply_keeps_the_limit_that_another_one_reports() {
    let mut harness = Harness::new();
    harness.report(Some(4_000), Duration::from_millis(100));
    harness.now += SECOND * 2;

    assert!(harness.send_all() <= 4);
}

#[test]
fn the_end_of_a_limit_that_another_vm_reports_is_followed() {
    let mut harness = Harness::new();
    harness.reply(Some(1));
    harness.now += SECOND;
    harness.report(None, Duration::from_millis(100));

    assert_eq!(harness.send_all(), 100);
}
