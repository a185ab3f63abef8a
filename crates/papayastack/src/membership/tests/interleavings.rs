//! Faults in any order and at the same time; what must hold during them and after them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::cluster::{Cluster, address};
use crate::ids::VmAddress;
use crate::membership::{Member, MemberState};

const SIZE: usize = 7;
const SECOND: Duration = Duration::from_secs(1);

/// One thing that happens to the cluster.
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
    Cut(BTreeSet<usize>),
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
        1 => prop::collection::btree_set(vm, 1..SIZE).prop_map(Event::Cut),
        1 => Just(Event::Heal),
    ]
}

/// What the test knows about the cluster, and what the VMs showed last.
struct Expectation {
    incarnations: Vec<u64>,
    dead: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    shown: Vec<BTreeMap<VmAddress, Member>>,
}

impl Expectation {
    fn new() -> Self {
        Self {
            incarnations: vec![1; SIZE],
            dead: BTreeSet::new(),
            paused: BTreeSet::new(),
            shown: vec![BTreeMap::new(); SIZE],
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
                self.shown[vm].clear();
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
            Event::Cut(left) => {
                let right = (0..SIZE).filter(|vm| !left.contains(vm)).collect();
                cluster.network.cuts = vec![(left, right)];
            }
            Event::Heal => cluster.network.cuts.clear(),
        }
    }

    /// Checks that no VM shows anything older than what it showed before.
    fn check_progress(&mut self, cluster: &Cluster) -> Result<(), TestCaseError> {
        for vm in 0..SIZE {
            let members = cluster.view(vm).members;
            for (address, member) in members {
                let Some(before) = self.shown[vm].get(&address) else {
                    self.shown[vm].insert(address, member);
                    continue;
                };
                prop_assert!(member.identity.incarnation >= before.identity.incarnation);
                if member.identity == before.identity {
                    prop_assert!(member.configuration_version >= before.configuration_version);
                    prop_assert!(
                        before.state == MemberState::Live || member.state == MemberState::Leaving
                    );
                }
                self.shown[vm].insert(address, member);
            }
        }
        Ok(())
    }

    /// Ends all faults but deaths.
    fn end_faults(&mut self, cluster: &mut Cluster) {
        for vm in std::mem::take(&mut self.paused) {
            cluster.resume(vm);
        }
        cluster.network.cuts.clear();
        cluster.network.loss_permille = 0;
        cluster.network.delay_max = Duration::from_millis(2);
    }

    fn agrees(&self, cluster: &Cluster) -> bool {
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
    fn views_never_go_back_and_agree_once_faults_end(
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
        while cluster.now < end && !expectation.agrees(&cluster) {
            cluster.run(SECOND / 10);
            expectation.check_progress(&cluster)?;
        }
        prop_assert!(expectation.agrees(&cluster));
    }
}
