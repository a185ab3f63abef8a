//! What is adopted, and what never is.

use std::time::Duration;

use proptest::prelude::*;

use super::super::*;
use super::fleet::{Fleet, address, broken_bundle, bundle, catalogue};

const SECOND: Duration = Duration::from_secs(1);

fn running_fleet(size: u16) -> Fleet {
    let mut fleet = Fleet::new(size, 1);
    fleet.platform.put(&configuration_object(), bundle(1));
    fleet.platform.put(&catalogue_object("board"), catalogue(1));
    fleet.run(SECOND * 3);
    fleet
}

#[test]
fn all_vms_put_configuration_and_catalogue_in_force() {
    let fleet = running_fleet(4);

    for machine in fleet.machines.values() {
        let in_force = machine.in_force().unwrap();
        assert_eq!(in_force.configuration_version, 1);
        assert_eq!(in_force.settings.routing.queue_max, 2);
        assert_eq!(in_force.catalogues["board"].newest().map(|newest| newest.0), Some(1));
    }
}

#[test]
fn a_change_is_in_force_on_four_vms_within_a_second() {
    let mut fleet = running_fleet(4);

    fleet.platform.put(&configuration_object(), bundle(2));
    fleet.run(SECOND);

    assert_eq!(fleet.versions(), [2; 4]);
}

#[test]
fn a_stale_replica_never_takes_a_vm_back() {
    let mut fleet = running_fleet(4);
    let old = fleet.platform.objects.clone();
    fleet.platform.put(&configuration_object(), bundle(2));
    fleet.run(SECOND);

    fleet.platform.stale = (0..4).map(|number| (address(number), old.clone())).collect();
    fleet.run(SECOND * 60);

    assert_eq!(fleet.versions(), [2; 4]);
}

#[test]
fn a_vm_that_starts_believes_peers_rather_than_a_stale_replica() {
    let mut fleet = running_fleet(4);
    let old = fleet.platform.objects.clone();
    fleet.platform.put(&configuration_object(), bundle(2));
    fleet.run(SECOND);
    fleet.platform.stale = (0..4).map(|number| (address(number), old.clone())).collect();

    let mut first_versions = Vec::new();
    for number in 0..4 {
        fleet.start(address(number));
        while fleet.machines[&address(number)].in_force().is_none() {
            fleet.run(Duration::from_millis(1));
        }
        first_versions.push(fleet.versions()[usize::from(number)]);
    }

    assert_eq!(first_versions, [2; 4]);
}

#[test]
fn a_vm_that_starts_in_an_outage_learns_from_its_peers() {
    let mut fleet = running_fleet(4);
    fleet.platform.down = true;

    for number in 0..4 {
        fleet.stop(address(number));
        fleet.run(SECOND);
        fleet.start(address(number));
        fleet.run(SECOND);
    }

    assert_eq!(fleet.versions(), [1; 4]);
    let catalogues = fleet.machines.values().map(|machine| machine.in_force().unwrap());
    assert!(catalogues.into_iter().all(|in_force| in_force.catalogues.contains_key("board")));
}

#[test]
fn an_invalid_version_is_refused_by_all_and_the_fault_is_kept() {
    let mut fleet = running_fleet(4);

    fleet.platform.put(&configuration_object(), broken_bundle(2));
    fleet.run(SECOND * 5);

    assert_eq!(fleet.versions(), [1; 4]);
    let refused: Vec<RefusedDocument> =
        fleet.machines.values().flat_map(ConfigurationMachine::refused).collect();
    assert!(!refused.is_empty());
    for refused in refused {
        assert_eq!(refused.version, 2);
        assert_eq!(refused.faults[0].path, "/services/board/upstreams/board-1/data_centre");
    }
}

#[test]
fn a_valid_version_after_an_invalid_one_is_adopted() {
    let mut fleet = running_fleet(4);
    fleet.platform.put(&configuration_object(), broken_bundle(2));
    fleet.run(SECOND * 2);

    fleet.platform.put(&configuration_object(), bundle(3));
    fleet.run(SECOND * 2);

    assert_eq!(fleet.versions(), [3; 4]);
    assert!(fleet.machines.values().all(|machine| machine.refused().is_empty()));
}

#[test]
fn an_overlay_that_is_wrong_elsewhere_is_refused_here_too() {
    let mut fleet = running_fleet(1);
    let mut broken = bundle(2);
    broken["overlays"]["other"]["routing"]["ejection_ms"] = serde_json::json!(0);

    fleet.platform.put(&configuration_object(), broken);
    fleet.run(SECOND);

    assert_eq!(fleet.versions(), [1]);
}

#[test]
fn a_long_outage_ends_without_a_stampede() {
    let mut fleet = running_fleet(16);
    fleet.platform.down = true;
    let before = fleet.calls();
    fleet.run(SECOND * 600);
    let during = fleet.calls() - before;

    fleet.platform.down = false;
    fleet.platform.put(&configuration_object(), bundle(2));
    let before = fleet.calls();
    fleet.run(SECOND * 10);
    let after = fleet.calls() - before;

    assert_eq!(fleet.versions(), [2; 16]);
    // Four VMs at most watch two documents, with pauses of 2.5 s in the mean.
    assert!(during < 4 * 2 * 600, "{during} calls in 600 s");
    assert!(after < 100, "{after} calls in 10 s");
}

#[test]
fn calls_do_not_grow_with_the_fleet() {
    let calls_in_a_minute = |size| {
        let mut fleet = running_fleet(size);
        let before = fleet.calls();
        fleet.run(SECOND * 60);
        fleet.calls() - before
    };

    let (few, many) = (calls_in_a_minute(4), calls_in_a_minute(40));

    // Two watchers, two documents, one watch of 10 s each.
    assert!(few <= 2 * 2 * 7, "{few} calls");
    assert!(many <= 2 * 2 * 7, "{many} calls");
}

#[test]
fn others_watch_when_the_watchers_hear_nothing() {
    let mut fleet = running_fleet(4);
    let watchers = fleet.machines.iter().filter(|(_, vm)| vm.counters().platform_calls > 0);
    fleet.platform.unreachable = watchers.map(|(vm, _)| *vm).collect();
    assert_eq!(fleet.platform.unreachable.len(), 2);

    fleet.platform.put(&configuration_object(), bundle(2));
    fleet.run(SECOND * 60);
    let first = fleet.versions();
    fleet.platform.put(&configuration_object(), bundle(3));
    fleet.run(SECOND);

    assert_eq!(first, [2; 4]);
    assert_eq!(fleet.versions(), [3; 4]);
}

#[derive(Debug, Clone)]
enum Step {
    Change,
    BrokenChange,
    Restart(u16),
    Outage(bool),
    CutOff(u16, bool),
    StaleReplica(u16, bool),
    Loss(u32),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Change),
        Just(Step::BrokenChange),
        (0..5_u16).prop_map(Step::Restart),
        any::<bool>().prop_map(Step::Outage),
        (0..5_u16, any::<bool>()).prop_map(|(vm, cut_off)| Step::CutOff(vm, cut_off)),
        (0..5_u16, any::<bool>()).prop_map(|(vm, stale)| Step::StaleReplica(vm, stale)),
        prop_oneof![Just(0), Just(200), Just(700)].prop_map(Step::Loss),
        (1..3_000_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The fleet itself asserts that no VM ever goes back.
    #[test]
    fn faults_never_revert_a_vm_and_all_agree_once_they_end(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        let mut fleet = Fleet::new(5, 7);
        let mut replicas = vec![fleet.platform.objects.clone()];
        let mut valid_version = fleet.platform.put(&configuration_object(), bundle(0));
        for (mark, step) in (1..).zip(steps) {
            match step {
                Step::Change => {
                    replicas.push(fleet.platform.objects.clone());
                    valid_version = fleet.platform.put(&configuration_object(), bundle(mark));
                }
                Step::BrokenChange => {
                    fleet.platform.put(&configuration_object(), broken_bundle(mark));
                }
                Step::Restart(vm) => fleet.start(address(vm)),
                Step::Outage(down) => fleet.platform.down = down,
                Step::CutOff(vm, true) => drop(fleet.cut_off.insert(address(vm))),
                Step::CutOff(vm, false) => drop(fleet.cut_off.remove(&address(vm))),
                Step::StaleReplica(vm, true) => {
                    let replica = replicas[mark as usize % replicas.len()].clone();
                    fleet.platform.stale.insert(address(vm), replica);
                }
                Step::StaleReplica(vm, false) => drop(fleet.platform.stale.remove(&address(vm))),
                Step::Loss(permille) => fleet.loss_permille = permille,
                Step::Pass(ms) => fleet.run(Duration::from_millis(ms)),
            }
        }

        fleet.loss_permille = 0;
        fleet.cut_off.clear();
        fleet.platform.stale.clear();
        fleet.platform.down = false;
        valid_version = valid_version.max(fleet.platform.put(&configuration_object(), bundle(99)));
        fleet.run(SECOND * 15);

        prop_assert_eq!(fleet.versions(), vec![valid_version; 5]);
    }
}
