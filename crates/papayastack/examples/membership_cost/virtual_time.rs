//! Simulations in virtual time: packet loss, the failure of a data centre, a network partition.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{
    DatagramOpener, DatagramSealer, Keyring, MEMBERSHIP_TICK, Member, MemberState,
    MembershipCounts, MembershipProtocol, MembershipSettings, VmAddress, VmIdentity,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

const DATA_CENTRES: usize = 14;
const REGIONS: usize = 6;
const DELAY_MAX: Duration = Duration::from_millis(4);
const SECOND: Duration = Duration::from_secs(1);

/// A VM with its protocol state, and the sealer and opener of its datagrams.
struct Vm {
    protocol: MembershipProtocol,
    sealer: DatagramSealer,
    opener: DatagramOpener,
    running: bool,
    /// The bytes sent in the current second.
    current_second_bytes: u64,
    /// The highest number of bytes sent in one second since the last reset.
    peak_bytes: u64,
    /// The bytes sent since the last reset.
    sent_bytes: u64,
}

/// The VMs, the datagrams in flight between them, and the virtual clock.
struct Simulation {
    now: Instant,
    vms: Vec<Vm>,
    /// The receiver and the content of each datagram, by arrival time and sequence number.
    in_flight: BTreeMap<(Instant, u64), (usize, Vec<u8>)>,
    sequence: u64,
    random: SmallRng,
    loss_permille: u32,
    /// The region whose datagrams to and from other regions are dropped.
    partitioned_region: Option<usize>,
    data_centres: usize,
    second_ends_at: Instant,
}

/// Counts, at several rates of packet loss, how often live VMs are suspected and how often they are
/// absent from views.
pub(crate) fn packet_loss() -> Value {
    let measured = [0, 50, 100, 200].map(|loss_permille| {
        let mut simulation = Simulation::joined(12, 1);
        let before = simulation.counts();
        simulation.loss_permille = loss_permille;
        let (mut absent_pairs, mut pairs_checked) = (0, 0);
        for _ in 0..3_000 {
            simulation.run(SECOND / 10);
            absent_pairs += simulation.count_absences();
            pairs_checked += 12 * 12;
        }
        let after = simulation.counts();
        json!({
            "loss_permille": loss_permille,
            "members": 12,
            "virtual_seconds": 300,
            "suspicions": after.suspicions - before.suspicions,
            "deaths_declared": after.deaths - before.deaths,
            "refutations_by_the_suspect": after.own_refutations - before.own_refutations,
            "absent_of_looks": [absent_pairs, pairs_checked],
        })
    });
    json!(measured)
}

/// Stops all members of one data centre, a fourteenth of all, at once.
pub(crate) fn data_centre_failure(members: usize) -> Value {
    let mut simulation = Simulation::joined(members, DATA_CENTRES);
    simulation.run(30 * SECOND);
    let idle_peak = simulation.peak_bytes();
    simulation.reset_sent_bytes();
    let dead: Vec<usize> = (0..members).filter(|vm| vm % DATA_CENTRES == 0).collect();
    for vm in &dead {
        simulation.vms[*vm].running = false;
    }
    let start = simulation.now;
    let mut own_region_seconds = None;
    let same_region_vms: Vec<usize> = (0..members)
        .filter(|vm| vm % DATA_CENTRES != 0 && region_of(vm % DATA_CENTRES) == region_of(0))
        .collect();
    let other_region_vms: Vec<usize> =
        (0..members).filter(|vm| region_of(vm % DATA_CENTRES) != region_of(0)).collect();
    let mut all_seconds = None;
    while simulation.now - start < 60 * SECOND && all_seconds.is_none() {
        simulation.run(SECOND / 5);
        let elapsed = (simulation.now - start).as_secs_f64();
        if own_region_seconds.is_none() && simulation.all_removed(&same_region_vms, &dead) {
            own_region_seconds = Some(elapsed);
        }
        if own_region_seconds.is_some() && simulation.all_removed(&other_region_vms, &dead) {
            all_seconds = Some(elapsed);
        }
    }
    simulation.run(10 * SECOND);
    let false_absences = simulation.count_absences();
    json!({
        "members": members,
        "data_centres": DATA_CENTRES,
        "regions": REGIONS,
        "died_at_once": dead.len(),
        "gone_from_views_of_the_region_after_seconds": own_region_seconds,
        "gone_from_all_views_after_seconds": all_seconds,
        "peak_sent_bytes_in_one_second_calm": idle_peak,
        "peak_sent_bytes_in_one_second": simulation.peak_bytes(),
        "mean_sent_bytes_per_second": simulation.mean_bytes_per_second_since(start),
        "live_vms_missing_in_views_afterwards": false_absences,
    })
}

/// Changes the configuration version of all members at once and measures how long it takes until
/// all views show the new version of every member.
pub(crate) fn version_propagation(members: usize) -> Value {
    let mut simulation = Simulation::joined(members, 1);
    simulation.run(30 * SECOND);
    simulation.reset_sent_bytes();
    let start = simulation.now;
    for vm in &mut simulation.vms {
        vm.protocol.set_configuration_version(2);
    }
    let mut known_by_all_seconds = None;
    while simulation.now - start < 60 * SECOND && known_by_all_seconds.is_none() {
        simulation.run(SECOND / 10);
        let stale = |vm: &Vm| {
            vm.protocol.view().members.values().any(|member| member.configuration_version < 2)
        };
        if !simulation.vms.iter().any(stale) {
            known_by_all_seconds = Some((simulation.now - start).as_secs_f64());
        }
    }
    json!({
        "members": members,
        "all_versions_in_all_views_after_seconds": known_by_all_seconds,
        "mean_sent_bytes_per_second": simulation.mean_bytes_per_second_since(start),
        "peak_sent_bytes_in_one_second": simulation.peak_bytes(),
    })
}

/// Partitions one region from the others for five minutes.
pub(crate) fn region_partition(members: usize) -> Value {
    let mut simulation = Simulation::joined(members, DATA_CENTRES);
    simulation.run(30 * SECOND);
    simulation.reset_sent_bytes();
    let before = simulation.counts();
    let start = simulation.now;
    simulation.partitioned_region = Some(0);
    simulation.run(300 * SECOND);
    let marking_vms =
        simulation.vms.iter().filter(|vm| !vm.protocol.view().unreachable_regions.is_empty());
    let marking_vms = marking_vms.count();
    let absent_pairs = simulation.count_absences();
    let mean = simulation.mean_bytes_per_second_since(start);
    let partition_ended_at = simulation.now;
    simulation.partitioned_region = None;
    while simulation.vms.iter().any(|vm| !vm.protocol.view().unreachable_regions.is_empty())
        && simulation.now - partition_ended_at < 60 * SECOND
    {
        simulation.run(SECOND / 5);
    }
    let recovery_seconds = (simulation.now - partition_ended_at).as_secs_f64();
    simulation.run(30 * SECOND);
    let after = simulation.counts();
    json!({
        "members": members,
        "cut_virtual_seconds": 300,
        "vms_that_mark_an_unreachable_region": marking_vms,
        "live_vms_missing_in_views": absent_pairs,
        "live_vms_missing_in_views_afterwards": simulation.count_absences(),
        "suspicions": after.suspicions - before.suspicions,
        "deaths_declared": after.deaths - before.deaths,
        "all_marks_gone_after_seconds": recovery_seconds,
        "mean_sent_bytes_per_second_during_the_cut": mean,
        "peak_sent_bytes_in_one_second": simulation.peak_bytes(),
    })
}

impl Simulation {
    /// Creates members and runs the simulation until each has all the others in its view.
    fn joined(members: usize, data_centres: usize) -> Self {
        let keyring = Arc::new(Keyring::new(&["k".repeat(32)]).expect("the key is long enough"));
        let now = Instant::now();
        let mut simulation = Self {
            now,
            vms: Vec::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(5),
            loss_permille: 0,
            partitioned_region: None,
            data_centres,
            second_ends_at: now + SECOND,
        };
        simulation.vms = (0..members)
            .map(|number| new_vm(number, members, data_centres, &keyring, now))
            .collect();
        let start = simulation.now;
        while simulation.count_absences() > 0 {
            assert!(
                simulation.now - start < 300 * SECOND,
                "members did not all find each other within 300 s of virtual time"
            );
            simulation.run(SECOND);
        }
        simulation
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let end = self.now + MEMBERSHIP_TICK;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((arrival, _), (receiver, datagram)) = entry.remove_entry();
            self.now = self.now.max(arrival);
            self.deliver(receiver, &datagram);
        }
        self.now = end;
        for vm in 0..self.vms.len() {
            if self.vms[vm].running {
                self.vms[vm].protocol.on_tick(end);
                self.send_outgoing(vm);
            }
        }
        if self.now >= self.second_ends_at {
            self.second_ends_at = self.now + SECOND;
            for vm in &mut self.vms {
                vm.peak_bytes = vm.peak_bytes.max(vm.current_second_bytes);
                vm.current_second_bytes = 0;
            }
        }
    }

    fn deliver(&mut self, receiver: usize, datagram: &[u8]) {
        let vm = &mut self.vms[receiver];
        if !vm.running {
            return;
        }
        let opened = vm.opener.open(datagram).expect("members send authentic datagrams");
        vm.protocol
            .on_datagram(&opened.sender, opened.receiver_incarnation, opened.body, self.now)
            .expect("protocol messages decode");
        self.send_outgoing(receiver);
    }

    /// Seals the outgoing messages of `sender` and adds those that are not lost to `in_flight`.
    fn send_outgoing(&mut self, sender: usize) {
        for outgoing in self.vms[sender].protocol.take_outgoing() {
            let vm = &mut self.vms[sender];
            let sealed = vm.sealer.seal(outgoing.receiver, outgoing.incarnation, &outgoing.body);
            let datagram = sealed.expect("members send short datagrams");
            vm.current_second_bytes += datagram.len() as u64;
            vm.sent_bytes += datagram.len() as u64;
            let receiver = vm_number(outgoing.receiver);
            let lost = self.random.random_range(0..1_000) < self.loss_permille;
            if lost || self.is_partitioned(sender, receiver) {
                continue;
            }
            let delay = self.random.random_range(Duration::ZERO..DELAY_MAX);
            self.sequence += 1;
            self.in_flight.insert((self.now + delay, self.sequence), (receiver, datagram));
        }
    }

    fn is_partitioned(&self, sender: usize, receiver: usize) -> bool {
        let in_partition =
            |vm: usize| Some(region_of(vm % self.data_centres)) == self.partitioned_region;
        in_partition(sender) != in_partition(receiver)
    }

    /// Counts the pairs of running VMs in which the first VM does not have the second in its view.
    fn count_absences(&self) -> usize {
        let running = self.vms.iter().filter(|vm| vm.running).count();
        let seen = self.vms.iter().filter(|vm| vm.running).map(|vm| {
            let members = vm.protocol.view().members;
            members.keys().filter(|address| self.vms[vm_number(**address)].running).count()
        });
        running * running - seen.sum::<usize>()
    }

    /// Returns whether none of `viewers` has any of the `dead` VMs in its view.
    fn all_removed(&self, viewers: &[usize], dead: &[usize]) -> bool {
        viewers.iter().all(|vm| {
            let members = self.vms[*vm].protocol.view().members;
            dead.iter().all(|dead| !members.contains_key(&address_of(*dead)))
        })
    }

    fn counts(&self) -> MembershipCounts {
        let mut sum = MembershipCounts::default();
        for counts in self.vms.iter().map(|vm| vm.protocol.counts()) {
            sum.suspicions += counts.suspicions;
            sum.deaths += counts.deaths;
            sum.own_refutations += counts.own_refutations;
        }
        sum
    }

    /// Resets the peaks and totals of sent bytes, but not the count of the current second.
    fn reset_sent_bytes(&mut self) {
        for vm in &mut self.vms {
            vm.peak_bytes = 0;
            vm.sent_bytes = 0;
        }
    }

    fn peak_bytes(&self) -> u64 {
        self.vms.iter().map(|vm| vm.peak_bytes).max().unwrap_or_default()
    }

    /// Returns the mean number of bytes that a running VM sent per second since `start`.
    fn mean_bytes_per_second_since(&self, start: Instant) -> f64 {
        let running: Vec<&Vm> = self.vms.iter().filter(|vm| vm.running).collect();
        let bytes: u64 = running.iter().map(|vm| vm.sent_bytes).sum();
        bytes as f64 / running.len() as f64 / (self.now - start).as_secs_f64()
    }
}

/// Returns the identity of a VM by its number.
pub(crate) fn identity_of(number: usize) -> VmIdentity {
    VmIdentity { address: address_of(number), incarnation: 1_764_800_000_000 + number as u64 }
}

/// Creates the protocol states of two VMs, each of which has the other as its seed.
pub(crate) fn protocol_pair(now: Instant) -> (MembershipProtocol, MembershipProtocol) {
    (new_protocol(0, 2, 1, now), new_protocol(1, 2, 1, now))
}

fn new_vm(
    number: usize,
    members: usize,
    data_centres: usize,
    keyring: &Arc<Keyring>,
    now: Instant,
) -> Vm {
    let identity = identity_of(number);
    Vm {
        protocol: new_protocol(number, members, data_centres, now),
        sealer: DatagramSealer::new(Arc::clone(keyring), identity.clone()),
        opener: DatagramOpener::new(Arc::clone(keyring), identity.address),
        running: true,
        current_second_bytes: 0,
        peak_bytes: 0,
        sent_bytes: 0,
    }
}

fn new_protocol(
    number: usize,
    members: usize,
    data_centres: usize,
    now: Instant,
) -> MembershipProtocol {
    let own = Member {
        identity: identity_of(number),
        data_centre: format!("centre-{}", number % data_centres),
        caller_address: ([10, 0, 0, 1], 8_000).into(),
        state: MemberState::Live,
        configuration_version: 1,
    };
    let settings = MembershipSettings::default();
    let regions = (0..data_centres)
        .map(|it| (format!("centre-{it}"), format!("region-{}", region_of(it))))
        .collect();
    let mut protocol = MembershipProtocol::new(own, settings.clone(), number as u64, now);
    protocol.configure(settings, regions);
    protocol.on_seeds((0..members).map(address_of), now);
    protocol
}

fn region_of(data_centre: usize) -> usize {
    data_centre % REGIONS
}

fn address_of(number: usize) -> VmAddress {
    let [.., high, low] = (number as u32).to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

fn vm_number(address: VmAddress) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        std::net::IpAddr::V6(_) => unreachable!("the simulation uses IPv4 only"),
    }
}
