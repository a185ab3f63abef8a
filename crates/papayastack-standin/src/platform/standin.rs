//! The handle of the running stand-in platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use papayastack::{ListedState, ListedVm, ObjectName};
use papayastack_macros::message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::behaviour::PlatformBehaviour;
use super::service::router;
use super::store::{Store, WriteOutcome};
use super::token_bucket::TokenBucket;
use crate::patch::{PatchError, apply_merge_patch};
use crate::server::{ConnectionGate, Server};

const CONNECTIONS_MAX: usize = 10_000;
/// The kinds of the objects that make up the list of VMs and upstreams.
pub(crate) const LISTED_KINDS: [&str; 2] = [VMS_KIND, UPSTREAMS_KIND];
const VMS_KIND: &str = "papayastack-vms";
const UPSTREAMS_KIND: &str = "servers";

/// The counters of the stand-in platform since its start.
#[message]
#[derive(Default)]
pub struct PlatformCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Watch calls, each counted when it arrives.
    pub watches: u64,
    /// Watch calls that are waiting for a change at present.
    pub watches_waiting: u64,
    /// Conditional updates.
    pub updates: u64,
    /// Deletions.
    pub deletes: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Reads of the list of VMs.
    pub vm_lists: u64,
    /// Updates and deletions refused because their condition did not hold.
    pub conflicts: u64,
    /// Calls refused by the rate limit.
    pub rate_limited: u64,
    /// Calls refused during an outage.
    pub unavailable: u64,
    /// Updates and deletions that got no answer because of an injected fault.
    pub answers_lost: u64,
    /// The total size of all received values in bytes.
    pub value_bytes: u64,
}

/// The shared state of the stand-in platform.
pub(crate) struct State {
    /// Incremented by every change, so that waiting watches look for new events.
    pub(crate) changed: watch::Sender<u64>,
    inner: Mutex<Inner>,
}

pub(crate) struct Inner {
    pub(crate) behaviour: PlatformBehaviour,
    pub(crate) store: Store,
    pub(crate) counts: PlatformCounts,
    reads: TokenBucket,
    writes: TokenBucket,
    random: StdRng,
}

impl State {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    /// Takes a token for a read, or returns the time until the next one.
    pub(crate) fn admit_read(&mut self) -> Result<(), Duration> {
        let admitted = self.reads.take(self.behaviour.reads_per_s, Instant::now());
        self.counts.rate_limited += u64::from(admitted.is_err());
        admitted
    }

    /// Takes a token for an update or a deletion, or returns the time until the next one.
    pub(crate) fn admit_write(&mut self) -> Result<(), Duration> {
        let admitted = self.writes.take(self.behaviour.writes_per_s, Instant::now());
        self.counts.rate_limited += u64::from(admitted.is_err());
        admitted
    }

    /// Samples whether a fault happens that affects `permille` thousandths of the calls.
    pub(crate) fn sample_fault(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..1_000) < permille
    }

    /// Writes the object of one VM or upstream, replacing an earlier one with the same address.
    fn put_listed(&mut self, vm: &ListedVm) {
        let name = listed_object_name(vm.entry_vm, vm.address);
        let now = Instant::now();
        let created = self.store.create(&name, encode_listed(vm), Vec::new(), now);
        if matches!(created, WriteOutcome::Conflict(_)) {
            self.store.replace(&name, None, encode_listed(vm), None, now);
        }
    }

    fn retain_listed(&mut self, keep: impl Fn(&ObjectName) -> bool) {
        let now = Instant::now();
        for kind in LISTED_KINDS {
            let objects = self.store.list(kind, None, usize::MAX - 1, now, Duration::ZERO).items;
            let names = objects.into_iter().map(|object| ObjectName::new(kind, object.meta.name));
            for name in names.filter(|name| !keep(name)) {
                self.store.remove(&name, None, now);
            }
        }
    }
}

fn listed_object_name(entry_vm: bool, address: SocketAddr) -> ObjectName {
    ObjectName::new(if entry_vm { VMS_KIND } else { UPSTREAMS_KIND }, address.to_string())
}

/// Encodes a VM in the format of papayastack, and an upstream in the format that back ends write.
fn encode_listed(vm: &ListedVm) -> Value {
    if vm.entry_vm {
        return json!(vm);
    }
    json!({
        "service": "",
        "address": vm.address,
        "zone": vm.data_centre,
        "config_version": "stand-in",
        "slots": 1,
        "state": match vm.state {
            ListedState::Live => "ready",
            ListedState::Leaving => "draining",
        },
        "cold_left_ms": 0,
        "sequence": 1,
    })
}

/// A running stand-in platform; dropping it closes every connection.
pub struct PlatformStandin {
    state: Arc<State>,
    gate: Arc<ConnectionGate>,
    server: Server,
}

impl PlatformStandin {
    /// Binds an empty platform to `address`; port 0 lets the operating system choose.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Self::bind_seeded(address, 0).await
    }

    /// Binds an empty platform whose faults are sampled with `seed`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind_seeded(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let now = Instant::now();
        let behaviour = PlatformBehaviour::default();
        let inner = Inner {
            reads: TokenBucket::new(behaviour.reads_per_s, now),
            writes: TokenBucket::new(behaviour.writes_per_s, now),
            behaviour,
            store: Store::default(),
            counts: PlatformCounts::default(),
            random: StdRng::seed_from_u64(seed),
        };
        let state = Arc::new(State { changed: watch::Sender::new(0), inner: Mutex::new(inner) });
        let gate = ConnectionGate::new(CONNECTIONS_MAX, Duration::ZERO);
        let server = Server::bind(address, Arc::clone(&gate), router(Arc::clone(&state))).await?;
        Ok(Self { state, gate, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> PlatformBehaviour {
        self.state.lock().behaviour.clone()
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: PlatformBehaviour) {
        self.gate.set_reachable(!behaviour.unreachable);
        self.state.lock().behaviour = behaviour;
        // Wakes the waiting watches, so that they notice an outage.
        self.state.changed.send_modify(|count| *count += 1);
    }

    /// Changes parts of the behaviour by a JSON merge patch.
    ///
    /// # Errors
    /// The patch has an unknown field or a value of the wrong type.
    pub fn patch_behaviour(&self, patch: &serde_json::Value) -> Result<(), PatchError> {
        self.set_behaviour(apply_merge_patch(&self.behaviour(), patch)?);
        Ok(())
    }

    /// Changes parts of the behaviour.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut PlatformBehaviour)) {
        let mut behaviour = self.behaviour();
        change(&mut behaviour);
        self.set_behaviour(behaviour);
    }

    /// Replaces the list of VMs and upstreams; stale lists show the change after `list_lag_ms`.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.change_objects(|inner| {
            let kept: Vec<ObjectName> =
                vms.iter().map(|vm| listed_object_name(vm.entry_vm, vm.address)).collect();
            inner.retain_listed(|name| kept.contains(name));
            vms.iter().for_each(|vm| inner.put_listed(vm));
        });
    }

    /// Adds one VM or upstream to the list, replacing an entry with the same address.
    pub fn put_vm(&self, vm: ListedVm) {
        self.change_objects(|inner| inner.put_listed(&vm));
    }

    /// Removes one VM or upstream from the list.
    pub fn remove_vm(&self, address: SocketAddr) {
        let text = address.to_string();
        self.change_objects(|inner| inner.retain_listed(|name| name.name != text));
    }

    /// Writes one object without an API call, as if another client of the platform had written it.
    pub fn put_object(&self, name: &ObjectName, spec: Value) {
        self.change_objects(|inner| {
            let now = Instant::now();
            let created = inner.store.create(name, spec.clone(), Vec::new(), now);
            if matches!(created, WriteOutcome::Conflict(_)) {
                inner.store.replace(name, None, spec, None, now);
            }
        });
    }

    /// Removes one object without an API call.
    pub fn remove_object(&self, name: &ObjectName) {
        self.change_objects(|inner| {
            inner.store.remove(name, None, Instant::now());
        });
    }

    /// Discards the recorded changes, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        self.change_objects(|inner| inner.store.compact());
    }

    /// Comes back from a copy that is `age` old: what was written since is lost, and the header
    /// `Store-Era` of all answers rises by one.
    pub fn restore_copy(&self, age: Duration) {
        self.change_objects(|inner| inner.store.restore(age, Instant::now()));
    }

    fn change_objects(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.state.lock());
        self.state.changed.send_modify(|count| *count += 1);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.state.lock().counts.clone()
    }
}
