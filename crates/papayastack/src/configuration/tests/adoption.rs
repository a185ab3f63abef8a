//! Tests of which versions VMs adopt under faults of the platform, the network and the documents.

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
fn a_stale_replica_never_reverts_a_vm() {
    let mut fleet = running_fleet(4);
    let old = fleet.platform.objects.clone();
    fleet.platform.put(&configuration_object(), bundle(2));
    fleet.run(SECOND);

    fleet.platform.stale = (0..4).map(|number| (address(number), old.clone())).collect();
    fleet.run(SECOND * 60);

    assert_eq!(fleet.versions(), [2; 4]);
}

#[test]
fn a_starting_vm_prefers_newer_versions_of_peers_to_a_stale_replica() {
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
fn a_vm_that_starts_in_an_outage_receives_documents_from_its_peers() {
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
fn a_bundle_with_an_invalid_overlay_of_another_site_is_refused() {
    let mut fleet = running_fleet(1);
    let mut broken = bundle(2);
    broken["overlays"]["other"]["routing"]["ejection_ms"] = serde_json::json!(0);

    fleet.platform.put(&configuration_object(), broken);
    fleet.run(SECOND);

    assert_eq!(fleet.versions(), [1]);
}

#[test]
fn the_end_of_a_long_outage_causes_no_burst_of_platform_calls() {
    let mut fleet = running_fleet(16);
    fleet.platform.down = true;
    let before = fleet.platform_calls();
    fleet.run(SECOND * 600);
    let during = fleet.platform_calls() - before;

    fleet.platform.down = false;
    fleet.platform.put(&configuration_object(), bundle(2));
    let before = fleet.platform_calls();
    fleet.run(SECOND * 10);
    let after = fleet.platform_calls() - before;

    assert_eq!(fleet.versions(), [2; 16]);
    // At most four VMs watch two documents each, with a mean pause of 2.5 s.
    assert!(during < 4 * 2 * 600, "{during} calls in 600 s");
    assert!(after < 100, "{after} calls in 10 s");
}

#[test]
fn platform_calls_do_not_grow_with_the_fleet_size() {
    let platform_calls_in_a_minute = |size| {
        let mut fleet = running_fleet(size);
        let before = fleet.platform_calls();
        fleet.run(SECOND * 60);
        fleet.platform_calls() - before
    };

    let (few, many) = (platform_calls_in_a_minute(4), platform_calls_in_a_minute(40));

    // Two watchers call for two documents each, and a watch waits 10 s.
    assert!(few <= 2 * 2 * 7, "{few} calls");
    assert!(many <= 2 * 2 * 7, "{many} calls");
}

#[test]
fn standby_vms_watch_when_the_watchers_cannot_reach_the_platform() {
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
    Partition(u16, bool),
    StaleReplica(u16, bool),
    MessageLoss(u32),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Change),
        Just(Step::BrokenChange),
        (0..5_u16).prop_map(Step::Restart),
        any::<bool>().prop_map(Step::Outage),
        (0..5_u16, any::<bool>()).prop_map(|(vm, partitioned)| Step::Partition(vm, partitioned)),
        (0..5_u16, any::<bool>()).prop_map(|(vm, stale)| Step::StaleReplica(vm, stale)),
        prop_oneof![Just(0), Just(200), Just(700)].prop_map(Step::MessageLoss),
        (1..3_000_u64).prop_map(Step::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// [`Fleet`] itself asserts that no VM goes back to an earlier version.
    #[test]
    fn faults_never_revert_a_vm_and_all_vms_converge_after_them(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        let mut fleet = Fleet::new(5, 7);
        let mut replicas = vec![fleet.platform.objects.clone()];
        let mut valid_version = fleet.platform.put(&configuration_object(), bundle(0));
        for (revision, step) in (1..).zip(steps) {
            match step {
                Step::Change => {
                    replicas.push(fleet.platform.objects.clone());
                    valid_version = fleet.platform.put(&configuration_object(), bundle(revision));
                }
                Step::BrokenChange => {
                    fleet.platform.put(&configuration_object(), broken_bundle(revision));
                }
                Step::Restart(vm) => fleet.start(address(vm)),
                Step::Outage(down) => fleet.platform.down = down,
                Step::Partition(vm, true) => drop(fleet.partitioned.insert(address(vm))),
                Step::Partition(vm, false) => drop(fleet.partitioned.remove(&address(vm))),
                Step::StaleReplica(vm, true) => {
                    let replica = replicas[revision as usize % replicas.len()].clone();
                    fleet.platform.stale.insert(address(vm), replica);
                }
                Step::StaleReplica(vm, false) => drop(fleet.platform.stale.remove(&address(vm))),
                Step::MessageLoss(permille) => fleet.loss_permille = permille,
                Step::Run(ms) => fleet.run(Duration::from_millis(ms)),
            }
        }

        fleet.loss_permille = 0;
        fleet.partitioned.clear();
        fleet.platform.stale.clear();
        fleet.platform.down = false;
        valid_version = valid_version.max(fleet.platform.put(&configuration_object(), bundle(99)));
        fleet.run(SECOND * 15);

        prop_assert_eq!(fleet.versions(), vec![valid_version; 5]);
    }
}
