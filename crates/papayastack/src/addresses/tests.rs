//! Tests of address answers and of leaving VMs.

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
        identity: VmIdentity { address: link_address(number), incarnation: 1 },
        data_centre: data_centre.to_owned(),
        caller_address: ([127, 0, 0, 1], 10_000 + number).into(),
        state,
        configuration_version: 1,
    }
}

fn link_address(number: u16) -> VmAddress {
    ([127, 0, 0, 1], 20_000 + number).into()
}

fn view(data_centres: &[&str]) -> MemberView {
    let members = data_centres.iter().zip(0..).map(|(data_centre, number)| {
        (link_address(number), member(number, data_centre, MemberState::Live))
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
fn the_nearest_vms_come_first() {
    let view = view(&["c", "b", "a", "b"]);

    let answer = answer(&view, Some("a"), &BTreeMap::new(), 1);

    assert_eq!(answer.data_centres, ["a", "b", "b", "c"]);
    assert_eq!(answer.addresses[0], view.members[&link_address(2)].caller_address);
}

#[test]
fn leaving_vms_are_not_listed() {
    let mut view = view(&["a", "a"]);
    view.members.insert(link_address(0), member(0, "a", MemberState::Leaving));

    let answer = answer(&view, Some("a"), &BTreeMap::new(), 1);

    assert_eq!(answer.addresses, [view.members[&link_address(1)].caller_address]);
}

// Guards against addresses of VMs that are long off: the view keeps the members of a region of which
// no VM answers.
#[test]
fn vms_of_an_unreachable_region_are_not_listed() {
    let mut view = view(&["c", "a"]);
    view.unreachable_regions = BTreeSet::from(["south".to_owned()]);

    let answer = answer(&view, Some("c"), &BTreeMap::new(), 1);

    assert_eq!(answer.data_centres, ["a"]);
}

#[test]
fn callers_spread_evenly_and_a_busy_vm_gets_fewer_of_them() {
    let view = view(&["a", "a", "a", "a"]);
    let first = |loads: &BTreeMap<VmAddress, LoadPermille>| {
        let mut firsts: BTreeMap<_, u32> = BTreeMap::new();
        for seed in 0..4_000 {
            *firsts.entry(answer(&view, Some("a"), loads, seed).addresses[0]).or_default() += 1;
        }
        firsts
    };

    let even = first(&BTreeMap::new());
    let uneven = first(&BTreeMap::from([(link_address(0), 900)]));

    assert!(even.values().all(|count| (850..1_150).contains(count)), "{even:?}");
    assert!(uneven[&view.members[&link_address(0)].caller_address] < 250, "{uneven:?}");
}

#[test]
fn a_full_answer_includes_other_data_centres() {
    let view = view(&["a", "a", "a", "a", "a", "a", "a", "a", "a", "c", "c", "b"]);

    let answer = answer(&view, Some("a"), &BTreeMap::new(), 1);

    assert_eq!(answer.addresses.len(), ADDRESSES_MAX);
    assert_eq!(answer.data_centres.iter().filter(|name| *name != "a").count(), 2);
}

#[test]
fn a_leaving_vm_accepts_until_the_last_answer_has_expired() {
    let start = Instant::now();
    let mut leaving = Leaving::new(LIFETIME, start);
    leaving.begin(start);
    let answers_expire_at = leaving.answers_expire_at().unwrap();

    let before = leaving.advance(0, answers_expire_at - Duration::from_millis(1));
    let busy = leaving.advance(3, answers_expire_at);
    let gone = leaving.advance(0, answers_expire_at);

    assert!(answers_expire_at >= start + LIFETIME);
    assert_eq!(before, LeavingPhase::Announced);
    assert!(before.accepts());
    assert_eq!(busy, LeavingPhase::Draining);
    assert_eq!(gone, LeavingPhase::Gone);
}

#[test]
fn a_shorter_lifetime_does_not_shorten_earlier_answers() {
    let start = Instant::now();
    let mut leaving = Leaving::new(60 * LIFETIME, start);
    leaving.set_lifetime(LIFETIME, start + LIFETIME);

    leaving.begin(start + 2 * LIFETIME);

    assert!(leaving.answers_expire_at().unwrap() >= start + 61 * LIFETIME);
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Default::default() }
}

/// An event in the life of a VM that may leave.
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
    fn a_leaving_vm_accepts_while_answers_list_it_and_exits_only_when_idle(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut now = Instant::now();
        let mut lifetime = LIFETIME;
        let mut leaving = Leaving::new(lifetime, now);
        let mut in_flight = 0;
        let mut last_expiry = now;
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
                last_expiry = last_expiry.max(now + lifetime);
            }
            let next = leaving.advance(in_flight, now);
            prop_assert!(next >= phase, "{phase:?} became {next:?}");
            prop_assert!(next.accepts() || now >= last_expiry);
            prop_assert!(next != LeavingPhase::Gone || in_flight == 0);
            phase = next;
        }
    }

    #[test]
    fn answers_list_each_live_vm_once_and_expire_in_time(
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
