//! A simulation of several configuration machines that exchange messages over a lossy network and
//! watch a platform that can be stale, unreachable or down.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::super::*;
use crate::ids::VmAddress;
use crate::membership::{Member, MemberState, MemberView, VmIdentity};
use crate::platform::{Object, ObjectName, ObjectVersion, PlatformError};

/// Maximum number of events in one run; more indicate a loop without a pause and fail the test.
const EVENTS_MAX: usize = 200_000;

#[derive(Debug)]
enum Event {
    Message {
        from: VmAddress,
        to: VmAddress,
        message: ConfigurationMessage,
    },
    Answer {
        vm: VmAddress,
        incarnation: u64,
        name: ObjectName,
        after: ObjectVersion,
        until: Instant,
    },
}

/// The simulated platform.
#[derive(Debug, Default)]
pub(super) struct FakePlatform {
    pub(super) objects: BTreeMap<ObjectName, Object>,
    pub(super) down: bool,
    /// VMs that cannot reach the platform.
    pub(super) unreachable: BTreeSet<VmAddress>,
    /// VMs that read from a stale replica, with its objects.
    pub(super) stale: BTreeMap<VmAddress, BTreeMap<ObjectName, Object>>,
}

impl FakePlatform {
    pub(super) fn put(&mut self, name: &ObjectName, value: Value) -> ObjectVersion {
        let version = self.objects.get(name).map_or(0, |object| object.version) + 1;
        self.objects.insert(name.clone(), Object { version, value });
        version
    }

    fn is_stale(&self, vm: VmAddress) -> bool {
        self.stale.contains_key(&vm)
    }

    fn read(&self, vm: VmAddress, name: &ObjectName) -> Result<Object, PlatformError> {
        if self.down || self.unreachable.contains(&vm) {
            return Err(PlatformError::Unavailable);
        }
        let objects = self.stale.get(&vm).unwrap_or(&self.objects);
        objects.get(name).cloned().ok_or(PlatformError::NotFound)
    }
}

pub(super) struct Fleet {
    pub(super) machines: BTreeMap<VmAddress, ConfigurationMachine>,
    pub(super) platform: FakePlatform,
    pub(super) now: Instant,
    /// Share of messages that are lost, in thousandths.
    pub(super) loss_permille: u32,
    /// VMs that can exchange messages only with each other.
    pub(super) partitioned: BTreeSet<VmAddress>,
    /// The bytes that each VM sent.
    pub(super) sent_bytes: BTreeMap<VmAddress, usize>,
    pub(super) largest_message_bytes: usize,
    incarnations: BTreeMap<VmAddress, u64>,
    /// The highest version that each incarnation of a VM has put in force.
    highest_versions: BTreeMap<(VmAddress, u64), ObjectVersion>,
    queue: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    random: SmallRng,
}

impl Fleet {
    pub(super) fn new(size: u16, seed: u64) -> Self {
        let mut fleet = Self {
            machines: BTreeMap::new(),
            platform: FakePlatform::default(),
            now: Instant::now(),
            loss_permille: 0,
            partitioned: BTreeSet::new(),
            sent_bytes: BTreeMap::new(),
            largest_message_bytes: 0,
            incarnations: BTreeMap::new(),
            highest_versions: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
        };
        for number in 0..size {
            fleet.start(address(number));
        }
        fleet
    }

    /// Starts a VM without state, replacing an earlier one at the same address.
    pub(super) fn start(&mut self, vm: VmAddress) {
        *self.incarnations.entry(vm).or_default() += 1;
        let seed = self.random.random();
        let machine = ConfigurationMachine::open(vm, "any".into(), seed, self.now);
        self.machines.insert(vm, machine);
        self.publish_members();
    }

    pub(super) fn stop(&mut self, vm: VmAddress) {
        self.machines.remove(&vm);
        self.publish_members();
    }

    pub(super) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        for _ in 0..EVENTS_MAX {
            let ticks = self.machines.iter().map(|(vm, machine)| (machine.next_tick_at(), *vm));
            let tick = ticks.min();
            let event_at = self.queue.keys().next().copied();
            let tick_first = match (&tick, &event_at) {
                (Some((tick_at, _)), Some((event_at, _))) => tick_at <= event_at,
                (tick, _) => tick.is_some(),
            };
            let at = if tick_first { tick.map(|tick| tick.0) } else { event_at.map(|key| key.0) };
            let Some(at) = at.filter(|at| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            match (tick_first, tick, event_at) {
                (true, Some((_, vm)), _) => self.deliver(vm, |machine, now| machine.on_tick(now)),
                (false, _, Some(key)) => {
                    let event = self.queue.remove(&key).unwrap();
                    self.handle(event);
                }
                _ => return,
            }
        }
        panic!("more than {EVENTS_MAX} events in {duration:?}");
    }

    /// Returns the version in force on each VM; zero if there is none.
    pub(super) fn versions(&self) -> Vec<ObjectVersion> {
        let version = |machine: &ConfigurationMachine| {
            machine.in_force().map_or(0, |in_force| in_force.configuration_version)
        };
        self.machines.values().map(version).collect()
    }

    pub(super) fn platform_calls(&self) -> u64 {
        self.machines.values().map(|machine| machine.counters().platform_calls).sum()
    }

    fn publish_members(&mut self) {
        let members = self.machines.keys().map(|vm| (*vm, member(*vm, self.incarnations[vm])));
        let view = Arc::new(MemberView { members: members.collect(), ..MemberView::default() });
        for vm in self.machines.keys().copied().collect::<Vec<_>>() {
            let view = Arc::clone(&view);
            self.deliver(vm, |machine, now| machine.on_members(view, now));
        }
    }

    /// Passes an input to the machine of `vm` and performs the outputs.
    fn deliver(
        &mut self,
        vm: VmAddress,
        input: impl FnOnce(&mut ConfigurationMachine, Instant) -> Vec<ConfigurationOutput>,
    ) {
        let Some(machine) = self.machines.get_mut(&vm) else { return };
        let outputs = input(machine, self.now);
        let incarnation = self.incarnations[&vm];
        for output in outputs {
            match output {
                ConfigurationOutput::Send { to, message } => self.send(vm, to, message),
                ConfigurationOutput::Watch { name, after, wait } => {
                    let until = self.now + wait;
                    self.schedule(1, Event::Answer { vm, incarnation, name, after, until });
                }
                ConfigurationOutput::PutInForce(in_force) => {
                    let highest = self.highest_versions.entry((vm, incarnation)).or_default();
                    assert!(in_force.configuration_version >= *highest, "{vm} reverted");
                    *highest = in_force.configuration_version;
                }
            }
        }
    }

    fn send(&mut self, from: VmAddress, to: VmAddress, message: ConfigurationMessage) {
        let mut encoded = Vec::new();
        ciborium::into_writer(&message, &mut encoded).unwrap();
        *self.sent_bytes.entry(from).or_default() += encoded.len();
        self.largest_message_bytes = self.largest_message_bytes.max(encoded.len());
        let partitioned = self.partitioned.contains(&from) != self.partitioned.contains(&to);
        if partitioned || self.random.random_range(0..1000) < self.loss_permille {
            return;
        }
        let message = ciborium::from_reader(encoded.as_slice()).unwrap();
        let delay_ms = self.random.random_range(1..4);
        self.schedule(delay_ms, Event::Message { from, to, message });
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + Duration::from_millis(delay_ms), self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { from, to, message } => {
                self.deliver(to, |machine, now| machine.on_message(from, message, now));
            }
            Event::Answer { vm, incarnation, name, after, until } => {
                if self.incarnations.get(&vm) != Some(&incarnation) {
                    return;
                }
                let answer = match self.platform.read(vm, &name) {
                    // A stale replica answers with its object even if it is not newer.
                    Ok(object) if object.version > after || self.platform.is_stale(vm) => {
                        Ok(Some(object))
                    }
                    Ok(_) if self.now < until => {
                        return self
                            .schedule(5, Event::Answer { vm, incarnation, name, after, until });
                    }
                    Ok(_) => Ok(None),
                    Err(error) => Err(error),
                };
                self.deliver(vm, |machine, now| machine.on_platform(&name, answer, now));
            }
        }
    }
}

pub(super) fn address(number: u16) -> VmAddress {
    VmAddress::from(([127, 0, 0, 1], 7_000 + number))
}

/// Returns a valid bundle whose change id and content depend on `revision`.
pub(super) fn bundle(revision: u64) -> Value {
    json!({
        "change_id": format!("change-{revision}"),
        "base": {
            "data_centres": {"a": {"region": "north"}},
            "services": {"board": {
                "slots_per_upstream": 5,
                "connections_per_upstream": 40,
                "upstreams": {"board-1": {"data_centre": "a", "address": "10.0.0.1:80"}},
            }},
            "routing": {"queue_max": revision + 1},
        },
        "overlays": {"other": {"routing": {"ejection_ms": 700}}},
    })
}

pub(super) fn broken_bundle(revision: u64) -> Value {
    let mut bundle = bundle(revision);
    bundle["base"]["services"]["board"]["upstreams"]["board-1"]["data_centre"] = json!("b");
    bundle
}

pub(super) fn catalogue(snapshot: u64) -> Value {
    json!({"snapshots": {snapshot.to_string(): {"0": ["board-1"]}}})
}

fn member(vm: VmAddress, incarnation: u64) -> Member {
    Member {
        identity: VmIdentity { address: vm, incarnation },
        data_centre: "a".into(),
        caller_address: vm,
        state: MemberState::Live,
        configuration_version: 0,
    }
}
