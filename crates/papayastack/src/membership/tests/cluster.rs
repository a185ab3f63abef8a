//! A simulated network that delivers messages between protocol instances in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ids::{Incarnation, VmAddress};
use crate::membership::{
    MEMBERSHIP_TICK, Member, MemberState, MemberView, MembershipCounts, MembershipDatagram,
    MembershipProtocol, VmIdentity,
};
use crate::settings::MembershipSettings;

/// The faults of the simulated network.
#[derive(Debug, Clone)]
pub(super) struct Network {
    pub(super) loss_permille: u32,
    pub(super) duplicates_permille: u32,
    pub(super) delay_max: Duration,
    /// Network partitions: pairs of groups of VM numbers that cannot reach each other.
    pub(super) partitions: Vec<(BTreeSet<usize>, BTreeSet<usize>)>,
    /// VMs that can send but receive nothing.
    pub(super) receive_blocked: BTreeSet<usize>,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss_permille: 0,
            duplicates_permille: 0,
            delay_max: Duration::from_millis(2),
            partitions: Vec::new(),
            receive_blocked: BTreeSet::new(),
        }
    }
}

struct InFlight {
    sender: VmIdentity,
    message: MembershipDatagram,
}

/// One simulated VM.
struct Vm {
    identity: VmIdentity,
    protocol: MembershipProtocol,
    running: bool,
    /// The messages that arrived while the VM was not running.
    backlog: Vec<InFlight>,
}

/// Simulated VMs, the messages in flight between them, and a virtual clock.
pub(super) struct Cluster {
    pub(super) network: Network,
    pub(super) now: Instant,
    vms: Vec<Vm>,
    in_flight: BTreeMap<(Instant, u64), InFlight>,
    sequence: u64,
    random: SmallRng,
    regions: BTreeMap<String, String>,
    settings: MembershipSettings,
}

pub(super) fn address(vm: usize) -> VmAddress {
    let [.., high, low] = (vm as u32).to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

impl Cluster {
    /// Creates `size` VMs that have each other as seeds; VM `n` is in data centre `data_centre(n)`.
    pub(super) fn new(
        size: usize,
        random_seed: u64,
        regions: &[(&str, &str)],
        data_centre: impl Fn(usize) -> String,
    ) -> Self {
        let mut cluster = Self {
            network: Network::default(),
            now: Instant::now(),
            vms: Vec::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(random_seed),
            regions: regions.iter().map(|(a, b)| ((*a).to_owned(), (*b).to_owned())).collect(),
            settings: MembershipSettings::default(),
        };
        for number in 0..size {
            let vm = cluster.vm(number, 1, data_centre(number), size);
            cluster.vms.push(vm);
        }
        cluster
    }

    /// Creates VMs of one region and runs until each has all others in its view.
    pub(super) fn joined(size: usize, random_seed: u64) -> Self {
        let mut cluster = Self::new(size, random_seed, &[], |_| "centro-a".to_owned());
        cluster.run_until("all joined", Duration::from_secs(30), |it| {
            (0..size).all(|vm| it.live(vm).len() == size)
        });
        cluster
    }

    /// Advances the clock by `duration`.
    pub(super) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the clock until `condition` holds; panics after `limit`.
    pub(super) fn run_until(
        &mut self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while !condition(self) {
            assert!(self.now - start < limit, "not within {limit:?}: {what}");
            self.step();
        }
        self.now - start
    }

    /// Stops a VM without an announcement; it receives nothing from then on.
    pub(super) fn kill(&mut self, vm: usize) {
        self.vms[vm].running = false;
        self.vms[vm].protocol.shut_down(self.now);
        self.vms[vm].protocol.take_outgoing();
    }

    /// Pauses a VM; messages to it are queued.
    pub(super) fn pause(&mut self, vm: usize) {
        self.vms[vm].running = false;
    }

    /// Resumes a paused VM and delivers its queued messages at once.
    pub(super) fn resume(&mut self, vm: usize) {
        self.vms[vm].running = true;
        for message in std::mem::take(&mut self.vms[vm].backlog) {
            self.deliver(vm, message);
        }
    }

    /// Discards the messages that are queued for a paused VM.
    pub(super) fn lose_backlog(&mut self, vm: usize) {
        self.vms[vm].backlog.clear();
    }

    /// Starts a new process at the address of a VM.
    pub(super) fn replace(&mut self, vm: usize, incarnation: Incarnation) {
        let size = self.vms.len();
        self.vms[vm] = self.vm(vm, incarnation, "centro-a".to_owned(), size);
    }

    pub(super) fn protocol(&mut self, vm: usize) -> &mut MembershipProtocol {
        &mut self.vms[vm].protocol
    }

    pub(super) fn view(&self, vm: usize) -> MemberView {
        self.vms[vm].protocol.view()
    }

    /// Returns the VMs in the view of `vm`, with their incarnations.
    pub(super) fn live(&self, vm: usize) -> BTreeMap<VmAddress, Incarnation> {
        let members = self.view(vm).members;
        members
            .into_iter()
            .map(|(address, member)| (address, member.identity.incarnation))
            .collect()
    }

    pub(super) fn sees(&self, vm: usize, other: usize) -> bool {
        self.live(vm).contains_key(&address(other))
    }

    /// Applies a VM's current configuration to it once more.
    pub(super) fn configure_again(&mut self, vm: usize) {
        let regions = self.regions.clone();
        self.vms[vm].protocol.configure(self.settings.clone(), regions);
    }

    /// Returns the regions that `vm` considers unreachable.
    pub(super) fn unreachable(&self, vm: usize) -> BTreeSet<String> {
        self.view(vm).unreachable_regions
    }

    /// Returns the configuration version of `other` in the view of `vm`; zero if `other` is absent.
    pub(super) fn version(&self, vm: usize, other: usize) -> u64 {
        let view = self.view(vm);
        view.members.get(&address(other)).map_or(0, |member| member.configuration_version)
    }

    /// Returns whether `other` is leaving in the view of `vm`.
    pub(super) fn is_leaving(&self, vm: usize, other: usize) -> bool {
        let view = self.view(vm);
        let member = view.members.get(&address(other));
        member.is_some_and(|member| member.state == MemberState::Leaving)
    }

    pub(super) fn counts(&self, vm: usize) -> MembershipCounts {
        self.vms[vm].protocol.counts()
    }

    fn vm(&self, number: usize, incarnation: Incarnation, data_centre: String, size: usize) -> Vm {
        let identity = VmIdentity { address: address(number), incarnation };
        let own = Member {
            identity: identity.clone(),
            state: MemberState::Live,
            data_centre,
            caller_address: ([10, 0, 0, 1], 8_000).into(),
            configuration_version: 0,
        };
        let random_seed = number as u64 + 1_000 * incarnation;
        let mut protocol =
            MembershipProtocol::new(own, self.settings.clone(), random_seed, self.now);
        protocol.configure(self.settings.clone(), self.regions.clone());
        protocol.on_seeds((0..size).map(address), self.now);
        Vm { identity, protocol, running: true, backlog: Vec::new() }
    }

    fn step(&mut self) {
        let end = self.now + MEMBERSHIP_TICK;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((arrival, _), message) = entry.remove_entry();
            self.now = self.now.max(arrival);
            let receiver = self.number(message.message.receiver);
            self.deliver(receiver, message);
        }
        self.now = end;
        for vm in 0..self.vms.len() {
            if self.vms[vm].running {
                self.vms[vm].protocol.on_tick(end);
                self.send_outgoing(vm);
            }
        }
    }

    fn deliver(&mut self, receiver: usize, in_flight: InFlight) {
        if !self.vms[receiver].running {
            self.vms[receiver].backlog.push(in_flight);
            return;
        }
        let MembershipDatagram { incarnation, body, .. } = in_flight.message;
        let now = self.now;
        let protocol = &mut self.vms[receiver].protocol;
        protocol.on_datagram(&in_flight.sender, incarnation, &body, now).unwrap();
        self.send_outgoing(receiver);
    }

    /// Puts the outgoing messages of `sender` in flight, with the faults of the network.
    fn send_outgoing(&mut self, sender: usize) {
        let identity = self.vms[sender].identity.clone();
        for message in self.vms[sender].protocol.take_outgoing() {
            let receiver = self.number(message.receiver);
            if self.is_blocked(sender, receiver) || self.chance(self.network.loss_permille) {
                continue;
            }
            let copies = 1 + usize::from(self.chance(self.network.duplicates_permille));
            for _ in 0..copies {
                let delay = self.random.random_range(Duration::ZERO..=self.network.delay_max);
                self.sequence += 1;
                let in_flight = InFlight { sender: identity.clone(), message: message.clone() };
                self.in_flight.insert((self.now + delay, self.sequence), in_flight);
            }
        }
    }

    fn is_blocked(&self, sender: usize, receiver: usize) -> bool {
        let across = |(left, right): &(BTreeSet<usize>, BTreeSet<usize>)| {
            left.contains(&sender) && right.contains(&receiver)
                || left.contains(&receiver) && right.contains(&sender)
        };
        self.network.receive_blocked.contains(&receiver)
            || self.network.partitions.iter().any(across)
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.random.random_range(0..1_000) < permille
    }

    fn number(&self, address: VmAddress) -> usize {
        match address.ip() {
            std::net::IpAddr::V4(ip) => {
                let [_, _, high, low] = ip.octets();
                usize::from(u16::from_be_bytes([high, low]))
            }
            std::net::IpAddr::V6(_) => unreachable!("simulated VMs have IPv4 addresses only"),
        }
    }
}
