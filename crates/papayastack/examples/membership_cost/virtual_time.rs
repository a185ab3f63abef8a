//! Machines in one process and virtual time: losses, a burst of deaths, a cut between regions.

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

/// A VM with its own seals.
struct Vm {
    protocol: MembershipProtocol,
    sealer: DatagramSealer,
    opener: DatagramOpener,
    running: bool,
    /// Bytes sent in the current second, and the most in any second so far.
    second_bytes: u64,
    peak_bytes: u64,
    sent_bytes: u64,
}

/// The machines, the datagrams between them, and a clock.
struct Loop {
    now: Instant,
    vms: Vec<Vm>,
    in_flight: BTreeMap<(Instant, u64), (usize, Vec<u8>)>,
    sequence: u64,
    random: SmallRng,
    loss_permille: u32,
    /// The region that nothing enters or leaves.
    cut_off: Option<usize>,
    data_centres: usize,
    second_ends_at: Instant,
}

/// Counts suspicions and absences of live VMs at several rates of loss.
pub(crate) fn losses() -> Value {
    let measured = [0, 50, 100, 200].map(|loss_permille| {
        let mut vms = Loop::joined(12, 1);
        let before = vms.counts();
        vms.loss_permille = loss_permille;
        let (mut absent, mut looks) = (0, 0);
        for _ in 0..3_000 {
            vms.run(SECOND / 10);
            absent += vms.absences();
            looks += 12 * 12;
        }
        let after = vms.counts();
        json!({
            "loss_permille": loss_permille,
            "members": 12,
            "virtual_seconds": 300,
            "suspicions": after.suspicions - before.suspicions,
            "deaths_declared": after.deaths - before.deaths,
            "refutations_by_the_suspect": after.own_refutations - before.own_refutations,
            "absent_of_looks": [absent, looks],
        })
    });
    json!(measured)
}

/// Lets a fourteenth of the members, one data centre, die at once.
pub(crate) fn burst(members: usize) -> Value {
    let mut vms = Loop::joined(members, DATA_CENTRES);
    vms.run(30 * SECOND);
    let calm_peak = vms.peak();
    vms.reset_peaks();
    let dead: Vec<usize> = (0..members).filter(|vm| vm % DATA_CENTRES == 0).collect();
    for vm in &dead {
        vms.vms[*vm].running = false;
    }
    let start = vms.now;
    let mut own_region_seconds = None;
    let near: Vec<usize> = (0..members)
        .filter(|vm| vm % DATA_CENTRES != 0 && region(vm % DATA_CENTRES) == region(0))
        .collect();
    let far: Vec<usize> =
        (0..members).filter(|vm| region(vm % DATA_CENTRES) != region(0)).collect();
    let mut all_seconds = None;
    while vms.now - start < 60 * SECOND && all_seconds.is_none() {
        vms.run(SECOND / 5);
        let elapsed = (vms.now - start).as_secs_f64();
        if own_region_seconds.is_none() && vms.none_sees(&near, &dead) {
            own_region_seconds = Some(elapsed);
        }
        if own_region_seconds.is_some() && vms.none_sees(&far, &dead) {
            all_seconds = Some(elapsed);
        }
    }
    vms.run(10 * SECOND);
    let false_absences = vms.absences();
    json!({
        "members": members,
        "data_centres": DATA_CENTRES,
        "regions": REGIONS,
        "died_at_once": dead.len(),
        "gone_from_views_of_the_region_after_seconds": own_region_seconds,
        "gone_from_all_views_after_seconds": all_seconds,
        "peak_sent_bytes_in_one_second_calm": calm_peak,
        "peak_sent_bytes_in_one_second": vms.peak(),
        "mean_sent_bytes_per_second": vms.mean_since(start),
        "live_vms_missing_in_views_afterwards": false_absences,
    })
}

/// Lets all members put a new configuration in force at once.
pub(crate) fn versions(members: usize) -> Value {
    let mut vms = Loop::joined(members, 1);
    vms.run(30 * SECOND);
    vms.reset_peaks();
    let start = vms.now;
    for vm in &mut vms.vms {
        vm.protocol.set_configuration_version(2);
    }
    let mut known_by_all_seconds = None;
    while vms.now - start < 60 * SECOND && known_by_all_seconds.is_none() {
        vms.run(SECOND / 10);
        let stale = |vm: &Vm| {
            vm.protocol.view().members.values().any(|member| member.configuration_version < 2)
        };
        if !vms.vms.iter().any(stale) {
            known_by_all_seconds = Some((vms.now - start).as_secs_f64());
        }
    }
    json!({
        "members": members,
        "all_versions_in_all_views_after_seconds": known_by_all_seconds,
        "mean_sent_bytes_per_second": vms.mean_since(start),
        "peak_sent_bytes_in_one_second": vms.peak(),
    })
}

/// Cuts one region off for five minutes.
pub(crate) fn region_cut(members: usize) -> Value {
    let mut vms = Loop::joined(members, DATA_CENTRES);
    vms.run(30 * SECOND);
    vms.reset_peaks();
    let before = vms.counts();
    let start = vms.now;
    vms.cut_off = Some(0);
    vms.run(300 * SECOND);
    let marked = vms.vms.iter().filter(|vm| !vm.protocol.view().unreachable_regions.is_empty());
    let marked = marked.count();
    let absent = vms.absences();
    let mean = vms.mean_since(start);
    let healed = vms.now;
    vms.cut_off = None;
    while vms.vms.iter().any(|vm| !vm.protocol.view().unreachable_regions.is_empty())
        && vms.now - healed < 60 * SECOND
    {
        vms.run(SECOND / 5);
    }
    let healed_seconds = (vms.now - healed).as_secs_f64();
    vms.run(30 * SECOND);
    let after = vms.counts();
    json!({
        "members": members,
        "cut_virtual_seconds": 300,
        "vms_that_mark_an_unreachable_region": marked,
        "live_vms_missing_in_views": absent,
        "live_vms_missing_in_views_afterwards": vms.absences(),
        "suspicions": after.suspicions - before.suspicions,
        "deaths_declared": after.deaths - before.deaths,
        "all_marks_gone_after_seconds": healed_seconds,
        "mean_sent_bytes_per_second_during_the_cut": mean,
        "peak_sent_bytes_in_one_second": vms.peak(),
    })
}

impl Loop {
    /// Creates members that know each other.
    fn joined(members: usize, data_centres: usize) -> Self {
        let keyring = Arc::new(Keyring::new(&["k".repeat(32)]).expect("the key is long enough"));
        let now = Instant::now();
        let mut vms = Self {
            now,
            vms: Vec::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(5),
            loss_permille: 0,
            cut_off: None,
            data_centres,
            second_ends_at: now + SECOND,
        };
        vms.vms =
            (0..members).map(|number| vm(number, members, data_centres, &keyring, now)).collect();
        let start = vms.now;
        while vms.absences() > 0 {
            assert!(vms.now - start < 300 * SECOND, "members do not find each other");
            vms.run(SECOND);
        }
        vms
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
                self.carry(vm);
            }
        }
        if self.now >= self.second_ends_at {
            self.second_ends_at = self.now + SECOND;
            for vm in &mut self.vms {
                vm.peak_bytes = vm.peak_bytes.max(vm.second_bytes);
                vm.second_bytes = 0;
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
            .expect("members send what decodes");
        self.carry(receiver);
    }

    /// Seals what `sender` has to send and puts it on its way.
    fn carry(&mut self, sender: usize) {
        for outgoing in self.vms[sender].protocol.take_outgoing() {
            let vm = &mut self.vms[sender];
            let sealed = vm.sealer.seal(outgoing.receiver, outgoing.incarnation, &outgoing.body);
            let datagram = sealed.expect("members send short datagrams");
            vm.second_bytes += datagram.len() as u64;
            vm.sent_bytes += datagram.len() as u64;
            let receiver = number_of(outgoing.receiver);
            let lost = self.random.random_range(0..1_000) < self.loss_permille;
            if lost || self.is_cut(sender, receiver) {
                continue;
            }
            let delay = self.random.random_range(Duration::ZERO..DELAY_MAX);
            self.sequence += 1;
            self.in_flight.insert((self.now + delay, self.sequence), (receiver, datagram));
        }
    }

    fn is_cut(&self, sender: usize, receiver: usize) -> bool {
        let inside = |vm: usize| Some(region(vm % self.data_centres)) == self.cut_off;
        inside(sender) != inside(receiver)
    }

    /// Counts pairs of running VMs of which the first does not have the second in its view.
    fn absences(&self) -> usize {
        let running = self.vms.iter().filter(|vm| vm.running).count();
        let seen = self.vms.iter().filter(|vm| vm.running).map(|vm| {
            let members = vm.protocol.view().members;
            members.keys().filter(|address| self.vms[number_of(**address)].running).count()
        });
        running * running - seen.sum::<usize>()
    }

    fn none_sees(&self, viewers: &[usize], dead: &[usize]) -> bool {
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

    fn reset_peaks(&mut self) {
        for vm in &mut self.vms {
            vm.peak_bytes = 0;
            vm.sent_bytes = 0;
        }
    }

    fn peak(&self) -> u64 {
        self.vms.iter().map(|vm| vm.peak_bytes).max().unwrap_or_default()
    }

    fn mean_since(&self, start: Instant) -> f64 {
        let running: Vec<&Vm> = self.vms.iter().filter(|vm| vm.running).collect();
        let bytes: u64 = running.iter().map(|vm| vm.sent_bytes).sum();
        bytes as f64 / running.len() as f64 / (self.now - start).as_secs_f64()
    }
}

/// Returns the identity of a VM by its number.
pub(crate) fn identity_of(number: usize) -> VmIdentity {
    VmIdentity { address: address_of(number), incarnation: 1_764_800_000_000 + number as u64 }
}

/// Creates two machines that know each other as seeds.
pub(crate) fn pair(now: Instant) -> (MembershipProtocol, MembershipProtocol) {
    (machine(0, 2, 1, now), machine(1, 2, 1, now))
}

fn vm(
    number: usize,
    members: usize,
    data_centres: usize,
    keyring: &Arc<Keyring>,
    now: Instant,
) -> Vm {
    let identity = identity_of(number);
    Vm {
        protocol: machine(number, members, data_centres, now),
        sealer: DatagramSealer::new(Arc::clone(keyring), identity.clone()),
        opener: DatagramOpener::new(Arc::clone(keyring), identity.address),
        running: true,
        second_bytes: 0,
        peak_bytes: 0,
        sent_bytes: 0,
    }
}

fn machine(number: usize, members: usize, data_centres: usize, now: Instant) -> MembershipProtocol {
    let own = Member {
        identity: identity_of(number),
        data_centre: format!("centre-{}", number % data_centres),
        caller_address: ([10, 0, 0, 1], 8_000).into(),
        state: MemberState::Live,
        configuration_version: 1,
    };
    let settings = MembershipSettings::default();
    let regions = (0..data_centres)
        .map(|it| (format!("centre-{it}"), format!("region-{}", region(it))))
        .collect();
    let mut protocol = MembershipProtocol::new(own, settings.clone(), number as u64, now);
    protocol.configure(settings, regions);
    protocol.on_seeds((0..members).map(address_of), now);
    protocol
}

fn region(data_centre: usize) -> usize {
    data_centre % REGIONS
}

fn address_of(number: usize) -> VmAddress {
    let [.., high, low] = (number as u32).to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

fn number_of(address: VmAddress) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        std::net::IpAddr::V6(_) => unreachable!("the loop uses IPv4 only"),
    }
}
