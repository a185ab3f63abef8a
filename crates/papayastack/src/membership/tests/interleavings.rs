//! Random sequences of overlapping faults, and the invariants during and after them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::cluster::{Cluster, address};
use crate::ids::VmAddress;
use crate::membership::{Member, MemberState};

const SIZE: usize = 7;
const SECOND: Duration = Duration::from_secs(1);

/// A fault, recovery or change in the cluster.
#[derive(Debug, Clone)]
enum Event {
    Wait(u64),
    Kill(usize),
    Replace(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Version(usize, u64),
    Loss(u32),
    Duplicates(u32),
    Delay(u64),
    Partition(BTreeSet<usize>),
    Heal,
}

fn event() -> impl Strategy<Value = Event> {
    let vm = 0..SIZE;
    prop_oneof![
        6 => (20_u64..3_000).prop_map(Event::Wait),
        1 => vm.clone().prop_map(Event::Kill),
        2 => vm.clone().prop_map(Event::Replace),
        2 => vm.clone().prop_map(Event::Pause),
        2 => vm.clone().prop_map(Event::Resume),
        1 => vm.clone().prop_map(Event::Leave),
        2 => (vm.clone(), 1_u64..100).prop_map(|(vm, version)| Event::Version(vm, version)),
        1 => (0_u32..300).prop_map(Event::Loss),
        1 => (0_u32..300).prop_map(Event::Duplicates),
        1 => (1_u64..400).prop_map(Event::Delay),
        1 => prop::collection::btree_set(vm, 1..SIZE).prop_map(Event::Partition),
        1 => Just(Event::Heal),
    ]
}

/// The expected state of the cluster, and the members last seen in each VM's view.
struct Expectation {
    incarnations: Vec<u64>,
    dead: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    last_seen: Vec<BTreeMap<VmAddress, Member>>,
}

impl Expectation {
    fn new() -> Self {
        Self {
            incarnations: vec![1; SIZE],
            dead: BTreeSet::new(),
            paused: BTreeSet::new(),
            last_seen: vec![BTreeMap::new(); SIZE],
        }
    }

    fn apply(&mut self, cluster: &mut Cluster, event: Event) {
        match event {
            Event::Wait(wait_ms) => cluster.run(Duration::from_millis(wait_ms)),
            Event::Kill(vm) => {
                if self.dead.insert(vm) {
                    self.paused.remove(&vm);
                    cluster.kill(vm);
                }
            }
            Event::Replace(vm) => {
                self.dead.remove(&vm);
                self.paused.remove(&vm);
                self.incarnations[vm] += 1;
                self.last_seen[vm].clear();
                cluster.replace(vm, self.incarnations[vm]);
            }
            Event::Pause(vm) => {
                if !self.dead.contains(&vm) && self.paused.insert(vm) {
                    cluster.pause(vm);
                }
            }
            Event::Resume(vm) => {
                if self.paused.remove(&vm) {
                    cluster.resume(vm);
                }
            }
            Event::Leave(vm) => cluster.protocol(vm).leave(),
            Event::Version(vm, version) => cluster.protocol(vm).set_configuration_version(version),
            Event::Loss(permille) => cluster.network.loss_permille = permille,
            Event::Duplicates(permille) => cluster.network.duplicates_permille = permille,
            Event::Delay(delay_ms) => {
                cluster.network.delay_max = Duration::from_millis(delay_ms);
            }
            Event::Partition(left) => {
                let right = (0..SIZE).filter(|vm| !left.contains(vm)).collect();
                cluster.network.partitions = vec![(left, right)];
            }
            Event::Heal => cluster.network.partitions.clear(),
        }
    }

    /// Checks that no view goes back to an earlier incarnation, version or state of a member.
    fn check_progress(&mut self, cluster: &Cluster) -> Result<(), TestCaseError> {
        for vm in 0..SIZE {
            let members = cluster.view(vm).members;
            for (address, member) in members {
                let Some(before) = self.last_seen[vm].get(&address) else {
                    self.last_seen[vm].insert(address, member);
                    continue;
                };
                prop_assert!(member.identity.incarnation >= before.identity.incarnation);
                if member.identity == before.identity {
                    prop_assert!(member.configuration_version >= before.configuration_version);
                    prop_assert!(
                        before.state == MemberState::Live || member.state == MemberState::Leaving
                    );
                }
                self.last_seen[vm].insert(address, member);
            }
        }
        Ok(())
    }

    /// Ends all faults except deaths and duplicates.
    fn end_faults(&mut self, cluster: &mut Cluster) {
        for vm in std::mem::take(&mut self.paused) {
            cluster.resume(vm);
        }
        cluster.network.partitions.clear();
        cluster.network.loss_permille = 0;
        cluster.network.delay_max = Duration::from_millis(2);
    }

    fn has_converged(&self, cluster: &Cluster) -> bool {
        let running = (0..SIZE).filter(|vm| !self.dead.contains(vm));
        let expected: BTreeMap<_, _> =
            running.clone().map(|vm| (address(vm), self.incarnations[vm])).collect();
        running.clone().all(|vm| cluster.live(vm) == expected)
            && running.clone().all(|vm| {
                running.clone().all(|other| {
                    let own = &cluster.view(other).members[&address(other)];
                    cluster.view(vm).members[&address(other)] == *own
                })
            })
    }
}

fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 32,
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed(150))]

    #[test]
    fn views_never_regress_and_converge_after_faults_end(
        seed in any::<u64>(),
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut cluster = Cluster::joined(SIZE, seed);
        let mut expectation = Expectation::new();

        for event in events {
            expectation.apply(&mut cluster, event);
            expectation.check_progress(&cluster)?;
        }

        expectation.end_faults(&mut cluster);
        let end = cluster.now + 60 * SECOND;
        while cluster.now < end && !expectation.has_converged(&cluster) {
            cluster.run(SECOND / 10);
            expectation.check_progress(&cluster)?;
        }
        prop_assert!(expectation.has_converged(&cluster));
    }
}
