//! Tests of address answers and of leaving.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::caller::AddressesAnswer;
use crate::ids::{DataCentreName, VmAddress};
use crate::membership::{Member, MemberState, MemberView, VmIdentity};
use crate::settings::DataCentreSettings;

const LIFETIME: Duration = Duration::from_secs(5);

fn member(number: u16, data_centre: &str, state: MemberState) -> Member {
    Member {
        identity: VmIdentity { address: link(number), incarnation: 1 },
        data_centre: data_centre.to_owned(),
        caller_address: ([127, 0, 0, 1], 10_000 + number).into(),
        state,
        configuration_version: 1,
    }
}

fn link(number: u16) -> VmAddress {
    ([127, 0, 0, 1], 20_000 + number).into()
}

fn view(data_centres: &[&str]) -> MemberView {
    let members = data_centres.iter().zip(0..).map(|(data_centre, number)| {
        (link(number), member(number, data_centre, MemberState::Live))
    });
    MemberView { members: members.collect(), ..MemberView::default() }
}

fn regions() -> BTreeMap<DataCentreName, DataCentreSettings> {
    let of = |(name, region): (&str, &str)| {
        (name.to_owned(), DataCentreSettings { region: region.to_owned() })
    };
    [("a", "north"), ("b", "north"), ("c", "south")].map(of).into()
}

fn answer(
    view: &MemberView,
    data_centre: Option<&str>,
    loads: &BTreeMap<VmAddress, LoadPermille>,
    seed: u64,
) -> AddressesAnswer {
    let data_centres = regions();
    let query =
        AddressQuery { data_centre, data_centres: &data_centres, loads, lifetime_max: LIFETIME };
    choose_addresses(view, &query, &mut SmallRng::seed_from_u64(seed))
}

#[test]
fn the_nearest_come_first() {
    let view = view(&["c", "b", "a", "b"]);

    let answer = answer(&view, Some("a"), &BTreeMap::new(), 1);

    assert_eq!(answer.data_centres, ["a", "b", "b", "c"]);
    assert_eq!(answer.addresses[0], view.members[&link(2)].caller_address);
}

#[test]
fn leaving_vms_are_not_named() {
    let mut view = view(&["a", "a"]);
    view.members.insert(link(0), member(0, "a", MemberState::Leaving));

    let answer = answer(&view, Some("a"), &BTreeMap::new(), 1);

    assert_eq!(answer.addresses, [view.members[&link(1)].caller_address]);
}

#[test]
fn a_region_that_does_not_answer_comes_last() {
    let mut view = view(&["c", "a"]);
    view.unreachable_regions = BTreeSet::from(["south".to_owned()]);

    let answer = answer(&view, Some("c"), &BTreeMap::new(), 1);

    assert_eq!(answer.data_centres, ["a", "c"]);
}

#[test]
fn callers_spread_evenly_and_a_busy_vm_gets_fewer() {
    let view = view(&["a", "a", "a", "a"]);
    let first = |loads: &BTreeMap<VmAddress, LoadPermille>| {
        let mut firsts: BTreeMap<_, u32> = BTreeMap::new();
        for seed in 0..4_000 {
            *firsts.entry(answer(&view, Some("a"), loads, seed).addresses[0]).or_default() += 1;
        }
        firsts
    };

    let even = first(&BTreeMap::new());
    let uneven = first(&BTreeMap::from([(link(0), 900)]));

    assert!(even.values().all(|count| (850..1_150).contains(count)), "{even:?}");
    assert!(uneven[&view.members[&link(0)].caller_address] < 250, "{uneven:?}");
}

#[test]
fn a_full_answer_keeps_room_for_other_data_centres() {
    let view = view(&["a", "a", "a", "a", "a", "a", "a", "a", "a", "c", "c", "b"]);

    let answer = answer(&view, Some("a"), &BTreeMap::new(), 1);

    assert_eq!(answer.addresses.len(), ADDRESSES_MAX);
    assert_eq!(answer.data_centres.iter().filter(|name| *name != "a").count(), 2);
}

#[test]
fn a_leaving_vm_accepts_until_the_last_answer_has_lapsed() {
    let start = Instant::now();
    let mut leaving = Leaving::new(LIFETIME, start);
    leaving.begin(start);
    let lapses_at = leaving.lapses_at().unwrap();

    let before = leaving.advance(0, lapses_at - Duration::from_millis(1));
    let busy = leaving.advance(3, lapses_at);
    let gone = leaving.advance(0, lapses_at);

    assert!(lapses_at >= start + LIFETIME);
    assert_eq!(before, LeavingPhase::Announced);
    assert!(before.accepts());
    assert_eq!(busy, LeavingPhase::Draining);
    assert_eq!(gone, LeavingPhase::Gone);
}

#[test]
fn a_shortened_lifetime_does_not_shorten_earlier_answers() {
    let start = Instant::now();
    let mut leaving = Leaving::new(60 * LIFETIME, start);
    leaving.set_lifetime(LIFETIME, start + LIFETIME);

    leaving.begin(start + 2 * LIFETIME);

    assert!(leaving.lapses_at().unwrap() >= start + 61 * LIFETIME);
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Default::default() }
}

/// What may happen to a VM that will leave.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Lifetime(u64),
    Begin,
    InFlight(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u64..4_000).prop_map(Step::Wait),
        (100_u64..10_000).prop_map(Step::Lifetime),
        Just(Step::Begin),
        (0_usize..3).prop_map(Step::InFlight),
    ]
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn no_answer_outlives_acceptance_and_no_request_is_cut(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut now = Instant::now();
        let mut lifetime = LIFETIME;
        let mut leaving = Leaving::new(lifetime, now);
        let mut in_flight = 0;
        let mut last_lapse = now;
        let mut phase = leaving.phase();

        for step in steps {
            match step {
                Step::Wait(wait_ms) => now += Duration::from_millis(wait_ms),
                Step::Lifetime(lifetime_ms) => {
                    lifetime = Duration::from_millis(lifetime_ms);
                    leaving.set_lifetime(lifetime, now);
                }
                Step::Begin => leaving.begin(now),
                Step::InFlight(count) => in_flight = if phase.accepts() { count } else { 0 },
            }
            if leaving.phase() == LeavingPhase::Live {
                last_lapse = last_lapse.max(now + lifetime);
            }
            let next = leaving.advance(in_flight, now);
            prop_assert!(next >= phase, "{phase:?} became {next:?}");
            prop_assert!(next.accepts() || now >= last_lapse);
            prop_assert!(next != LeavingPhase::Gone || in_flight == 0);
            phase = next;
        }
    }

    #[test]
    fn answers_name_each_live_vm_once_and_lapse_in_time(
        data_centres in prop::collection::vec(prop_oneof![Just("a"), Just("b"), Just("c")], 0..20),
        seed in any::<u64>(),
    ) {
        let view = view(&data_centres);

        let answer = answer(&view, Some("b"), &BTreeMap::new(), seed);

        let distinct: BTreeSet<_> = answer.addresses.iter().collect();
        prop_assert_eq!(distinct.len(), answer.addresses.len());
        prop_assert_eq!(answer.addresses.len(), data_centres.len().min(ADDRESSES_MAX));
        prop_assert_eq!(answer.data_centres.len(), answer.addresses.len());
        prop_assert!(answer.lifetime_ms <= 5_000 && answer.lifetime_ms >= 4_000);
    }
}
