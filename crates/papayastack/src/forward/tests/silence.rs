//! Tests of notices about silent upstreams and of their effect on the choice of upstreams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::forward::silence::SilentUpstreams;
use crate::query::Observations;

fn peer(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_740).into()
}

/// Returns how many of 100 choices between two equal upstreams fall on the first one.
fn count_choices_of_first(observations: &Observations, now: Instant) -> usize {
    let mut random = StdRng::seed_from_u64(3);
    (0..100).filter(|_| observations.choose(&[0, 1], &[], 0.0, now, &mut random) == Some(0)).count()
}

/// Records two VMs' reports that the first upstream is silent; returns whether it is then avoided.
fn is_avoided_after_two_reports(observations: &mut Observations, now: Instant) -> bool {
    observations.record_silence_report(0, peer(1), now);
    observations.record_silence_report(0, peer(2), now);
    count_choices_of_first(observations, now) == 0
}

#[test]
fn an_upstream_reported_silent_by_one_vm_is_not_avoided() {
    let (mut observations, now) = (Observations::new(), Instant::now());

    for _ in 0..5 {
        observations.record_silence_report(0, peer(1), now);
    }

    assert!(count_choices_of_first(&observations, now) > 20);
}

#[test]
fn an_upstream_reported_silent_by_two_vms_is_avoided_for_about_a_pause() {
    let (mut observations, now) = (Observations::new(), Instant::now());

    observations.record_silent(0, now);
    observations.record_silence_report(0, peer(1), now + Duration::from_millis(100));

    assert_eq!(count_choices_of_first(&observations, now + Duration::from_millis(340)), 0);
    assert!(count_choices_of_first(&observations, now + Duration::from_millis(360)) > 20);
}

#[test]
fn reports_far_apart_in_time_do_not_confirm_each_other() {
    let (mut observations, now) = (Observations::new(), Instant::now());

    observations.record_silence_report(0, peer(1), now);
    observations.record_silence_report(0, peer(2), now + Duration::from_millis(200));

    assert!(count_choices_of_first(&observations, now + Duration::from_millis(200)) > 20);
}

#[test]
fn an_upstream_that_stays_silent_is_avoided_for_longer_each_time() {
    let (mut observations, mut now) = (Observations::new(), Instant::now());
    let mut avoided = Vec::new();

    for _ in 0..6 {
        assert!(is_avoided_after_two_reports(&mut observations, now));
        let length = observations.take_silence_holds()[0].length;
        avoided.push(length.as_millis());
        now += length + Duration::from_millis(500);
    }

    assert_eq!(avoided, [250, 500, 1_000, 2_000, 4_000, 4_000]);
}

#[test]
fn an_upstream_silent_long_ago_is_avoided_as_briefly_as_the_first_time() {
    let (mut observations, now) = (Observations::new(), Instant::now());
    is_avoided_after_two_reports(&mut observations, now);
    observations.take_silence_holds();

    is_avoided_after_two_reports(&mut observations, now + Duration::from_secs(5));

    assert_eq!(observations.take_silence_holds()[0].length, Duration::from_millis(250));
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn notices_survive_encoding(ids in prop::collection::vec("[a-z0-9-]{1,20}", 0..40)) {
        let decoded = SilentUpstreams::decode(&SilentUpstreams(ids.clone()).encode());

        prop_assert_eq!(decoded.map(|notice| notice.0), Some(ids));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..1_200)) {
        let _ = SilentUpstreams::decode(&bytes);
    }
}
