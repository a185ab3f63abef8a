//! Simulations in virtual time of an upstream that accepts fewer connections than there are VMs.
//!
//! Each VM opens as many connections as it may. VMs learn late of each other, and differently.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::registry::{entry, named};
use crate::forward::owners::{LIST_COUNTS_FOR, UpstreamAccess, UpstreamOwners};
use crate::forward::registry::{Registry, UpstreamSet};
use crate::ids::{DataCentreName, VmAddress};
use crate::membership::{Member, MemberState, MemberView, VmIdentity};

const STEP: Duration = Duration::from_millis(100);
/// How long a VM that stopped answering counts as live to the others.
const DETECTION_MS: std::ops::Range<u64> = 600..1_500;
/// How long it takes until another VM knows of a new one.
const DISCOVERY_MS: std::ops::Range<u64> = 50..1_200;
/// How long connections in use stay open that a VM may no longer have.
const CLOSING_STEPS: usize = 4;
const DATA_CENTRES: [&str; 5] = ["centro-a", "centro-b", "centro-c", "centro-d", "centro-e"];

/// What happens to VMs, and from which step on.
#[derive(Clone, Copy)]
enum Event {
    /// New VMs start.
    Join(usize),
    Kill(usize),
    /// VMs stop, and their connections stay open.
    Freeze(usize),
    /// All VMs restart at once, at their addresses.
    RestartAll,
    /// The VMs of even and of odd addresses lose each other.
    Split,
}

struct Vm {
    data_centre: DataCentreName,
    owners: UpstreamOwners,
    view: MemberView,
    /// Changes of the view and when they are noticed.
    pending: BTreeMap<(u64, VmAddress), bool>,
    started_step: u64,
    running: bool,
    /// The most connections that the VM was allowed in each of the last steps.
    allowed: Vec<u32>,
}

struct Fleet {
    vms: BTreeMap<VmAddress, Vm>,
    upstreams: UpstreamSet,
    cap: u32,
    step: u64,
    started: Instant,
    random: SmallRng,
}

impl Fleet {
    /// Starts `vms` VMs that have found each other.
    fn settled(vms: usize, cap: u32, seed: u64) -> Self {
        let mut registry = Registry::default();
        let upstream = crate::forward::UpstreamEntry {
            data_centre: DATA_CENTRES[0].to_owned(),
            ..entry("board", 1)
        };
        registry.on_list(vec![named("one", upstream)], Instant::now());
        let mut fleet = Self {
            vms: BTreeMap::new(),
            upstreams: registry.set(),
            cap,
            step: 0,
            started: Instant::now(),
            random: SmallRng::seed_from_u64(seed),
        };
        for _ in 0..vms {
            fleet.add_vm();
        }
        let everyone = fleet.view_of(|_| true);
        let (listed, now) = (fleet.listed(), fleet.now());
        for vm in fleet.vms.values_mut() {
            vm.pending.clear();
            vm.view = everyone.clone();
            vm.owners.set_listed(listed.clone(), now);
            vm.owners.set_members(&vm.view, now + LIST_COUNTS_FOR);
        }
        fleet
    }

    fn now(&self) -> Instant {
        self.started + STEP * self.step as u32
    }

    fn view_of(&self, known: impl Fn(&VmAddress) -> bool) -> MemberView {
        let members = self.vms.iter().filter(|(address, _)| known(address));
        let members = members.map(|(address, vm)| (*address, member(*address, &vm.data_centre)));
        MemberView { members: members.collect(), unreachable_regions: BTreeSet::new() }
    }

    fn listed(&self) -> BTreeMap<VmAddress, DataCentreName> {
        self.vms.iter().map(|(address, vm)| (*address, vm.data_centre.clone())).collect()
    }

    /// Starts a VM that knows the platform's list, and lets all others find it.
    fn add_vm(&mut self) -> VmAddress {
        let number = self.vms.len() as u32;
        let address = SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0001 + number), 7_740));
        let data_centre = DATA_CENTRES[number as usize % DATA_CENTRES.len()].to_owned();
        self.start_vm(address, data_centre);
        for other in self.other_vms(address) {
            self.notice(other, address, true, DISCOVERY_MS);
        }
        address
    }

    fn start_vm(&mut self, address: VmAddress, data_centre: DataCentreName) {
        let mut vm = Vm {
            data_centre: data_centre.clone(),
            owners: UpstreamOwners::default(),
            view: MemberView::default(),
            pending: BTreeMap::new(),
            started_step: self.step,
            running: true,
            allowed: Vec::new(),
        };
        vm.view.members.insert(address, member(address, &data_centre));
        let mut listed = self.listed();
        listed.insert(address, data_centre);
        vm.owners.set_upstreams(&self.upstreams);
        vm.owners.set_listed(listed, self.now());
        vm.owners.set_members(&vm.view, self.now());
        self.vms.insert(address, vm);
        for other in self.other_vms(address) {
            self.notice(address, other, true, DISCOVERY_MS);
        }
    }

    fn other_vms(&self, address: VmAddress) -> Vec<VmAddress> {
        self.vms.keys().copied().filter(|other| *other != address).collect()
    }

    /// Lets one VM notice that another one is live, or not, after a while.
    fn notice(&mut self, at: VmAddress, of: VmAddress, live: bool, after_ms: std::ops::Range<u64>) {
        let steps = self.random.random_range(after_ms) / STEP.as_millis() as u64;
        if let Some(vm) = self.vms.get_mut(&at) {
            vm.pending.insert((self.step + steps, of), live);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Join(count) => (0..count).for_each(|_| {
                self.add_vm();
            }),
            Event::Kill(count) | Event::Freeze(count) => {
                let frozen = matches!(event, Event::Freeze(_));
                let running = |(address, vm): (&VmAddress, &Vm)| vm.running.then_some(*address);
                let mut left: Vec<VmAddress> = self.vms.iter().filter_map(running).collect();
                for _ in 0..count {
                    let gone = left.swap_remove(self.random.random_range(0..left.len()));
                    let vm = self.vms.get_mut(&gone).expect("the VM is one of the fleet");
                    vm.running = false;
                    if !frozen {
                        vm.allowed.clear();
                    }
                    for other in self.other_vms(gone) {
                        self.notice(other, gone, false, DETECTION_MS);
                    }
                }
            }
            Event::RestartAll => {
                let all: Vec<(VmAddress, DataCentreName)> = self.listed().into_iter().collect();
                for (address, data_centre) in all {
                    self.start_vm(address, data_centre);
                }
            }
            Event::Split => {
                let all: Vec<VmAddress> = self.vms.keys().copied().collect();
                for (position, address) in all.iter().enumerate() {
                    for (other_position, other) in all.iter().enumerate() {
                        if position % 2 != other_position % 2 {
                            self.notice(*address, *other, false, DETECTION_MS);
                        }
                    }
                }
            }
        }
    }

    /// Lets the VMs notice what is due, and returns how many connections are open at most.
    fn advance(&mut self) -> u32 {
        self.step += 1;
        let (cap, step, now) = (self.cap, self.step, self.now());
        let data_centres = self.listed();
        let target = &self.upstreams.by_index[&self.upstreams.index_of("one").expect("it is used")];
        let mut open = 0;
        for (address, vm) in self.vms.iter_mut().filter(|(_, vm)| vm.running) {
            let later = vm.pending.split_off(&(step + 1, SocketAddr::from(([0, 0, 0, 0], 0))));
            let due = std::mem::replace(&mut vm.pending, later);
            for ((_, other), live) in &due {
                if *live {
                    vm.view.members.insert(*other, member(*other, &data_centres[other]));
                } else {
                    vm.view.members.remove(other);
                }
            }
            let list_ends = vm.started_step + LIST_COUNTS_FOR.div_duration_f64(STEP) as u64 == step;
            if !due.is_empty() || list_ends {
                vm.owners.set_members(&vm.view, now);
            }
            let UpstreamAccess { connections_max, owners } =
                vm.owners.access(Some(*address), target, cap);
            assert!(connections_max > 0 || !owners.is_empty(), "{address} has no way to the shard");
            vm.allowed.push(connections_max);
        }
        for vm in self.vms.values() {
            open += vm.allowed.iter().rev().take(CLOSING_STEPS).max().copied().unwrap_or(0);
        }
        open
    }
}

fn member(address: VmAddress, data_centre: &str) -> Member {
    Member {
        identity: VmIdentity { address, incarnation: 1 },
        data_centre: data_centre.to_owned(),
        caller_address: address,
        state: MemberState::Live,
        configuration_version: 1,
    }
}

/// Plays events, five seconds apart, and returns the most connections that were open at once.
fn most_open(vms: usize, cap: u32, events: &[Event], seed: u64) -> u32 {
    let mut fleet = Fleet::settled(vms, cap, seed);
    let mut most = (0..5).map(|_| fleet.advance()).max().unwrap_or(0);
    for event in events {
        fleet.happen(*event);
        most = most.max((0..50).map(|_| fleet.advance()).max().unwrap_or(0));
    }
    most
}

/// Checks the sum of connections on both caps of the users' deployments.
fn check(vms: usize, events: &[Event], seeds: u64) {
    for cap in [31, 125] {
        for seed in 0..seeds {
            let open = most_open(vms, cap, events, seed);
            assert!(open <= cap, "{vms} VMs opened {open} connections of {cap}, seed {seed}");
        }
    }
}

#[test]
fn a_settled_fleet_of_any_size_keeps_within_the_connections_of_an_upstream() {
    for vms in [4, 24, 79, 300, 1_000] {
        check(vms, &[], 1);
    }
}

#[test]
fn vms_that_join_open_no_connections_beyond_those_of_an_upstream() {
    for vms in [24, 79, 300] {
        check(vms, &[Event::Join(vms / 10)], 10);
    }
    check(1_000, &[Event::Join(10)], 1);
}

#[test]
fn owners_that_are_killed_or_frozen_are_replaced_within_the_connections_of_an_upstream() {
    for vms in [24, 79, 300] {
        check(vms, &[Event::Kill(vms / 10), Event::Freeze(vms / 20)], 10);
    }
    check(1_000, &[Event::Kill(10), Event::Freeze(10)], 1);
}

#[test]
fn vms_that_all_restart_agree_on_the_owners_before_they_find_each_other() {
    for vms in [4, 24, 79, 300] {
        check(vms, &[Event::RestartAll], 3);
    }
}

#[test]
fn halves_that_do_not_hear_each_other_open_no_more_connections_than_the_whole() {
    for vms in [4, 24, 79, 300] {
        check(vms, &[Event::Split], 2);
    }
}
