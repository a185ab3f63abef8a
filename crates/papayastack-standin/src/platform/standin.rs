//! The running handle of the stand-in platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use papayastack::ListedVm;
use papayastack_macros::message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;

use super::behaviour::PlatformBehaviour;
use super::rate::RateLimit;
use super::service::router;
use super::store::Store;
use crate::patch::{PatchError, merged};
use crate::server::{ConnectionGate, Server};

const CONNECTIONS_MAX: usize = 10_000;
const LIST_HISTORY_MAX: usize = 256;

/// What the stand-in platform has counted since its start.
#[message]
#[derive(Default)]
pub struct PlatformCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Watches, each counted once.
    pub watches: u64,
    /// Watches that wait now.
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
    /// Calls refused because of their rate.
    pub rate_limited: u64,
    /// Calls refused during an outage.
    pub unavailable: u64,
    /// Updates and deletions whose answer was lost on purpose.
    pub answers_lost: u64,
    /// The size of all values received, in bytes.
    pub value_bytes: u64,
}

/// The shared state of the stand-in platform.
pub(crate) struct State {
    /// Raised by every change, so that watches look again.
    pub(crate) changed: watch::Sender<u64>,
    inner: Mutex<Inner>,
}

pub(crate) struct Inner {
    pub(crate) behaviour: PlatformBehaviour,
    pub(crate) store: Store,
    pub(crate) counts: PlatformCounts,
    reads: RateLimit,
    writes: RateLimit,
    lists: Vec<(Instant, Vec<ListedVm>)>,
    random: StdRng,
}

impl State {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    /// Takes a token for a read.
    pub(crate) fn admit_read(&mut self) -> Result<(), Duration> {
        let admitted = self.reads.take(self.behaviour.reads_per_s, Instant::now());
        self.counts.rate_limited += u64::from(admitted.is_err());
        admitted
    }

    /// Takes a token for an update or a deletion.
    pub(crate) fn admit_write(&mut self) -> Result<(), Duration> {
        let admitted = self.writes.take(self.behaviour.writes_per_s, Instant::now());
        self.counts.rate_limited += u64::from(admitted.is_err());
        admitted
    }

    /// Draws whether something happens that has a share of `permille`.
    pub(crate) fn chance(&mut self, permille: u32) -> bool {
        permille > 0 && self.random.random_range(0..1_000) < permille
    }

    /// Returns the list of VMs that is visible now.
    pub(crate) fn visible_list(&self) -> Vec<ListedVm> {
        let lag = Duration::from_millis(self.behaviour.list_lag_ms);
        let visible = |entry: &&(Instant, Vec<ListedVm>)| entry.0.elapsed() >= lag;
        self.lists.iter().rev().find(visible).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn change_list(&mut self, change: impl FnOnce(&mut Vec<ListedVm>)) {
        let mut list = self.lists.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut list);
        self.lists.push((Instant::now(), list));
        if self.lists.len() > LIST_HISTORY_MAX {
            self.lists.remove(0);
        }
    }
}

/// A running stand-in platform; dropping it cuts every connection.
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

    /// Binds an empty platform whose faults follow `seed`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind_seeded(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let now = Instant::now();
        let behaviour = PlatformBehaviour::default();
        let inner = Inner {
            reads: RateLimit::new(behaviour.reads_per_s, now),
            writes: RateLimit::new(behaviour.writes_per_s, now),
            behaviour,
            store: Store::default(),
            counts: PlatformCounts::default(),
            lists: Vec::new(),
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

    /// Returns the behaviour now.
    pub fn behaviour(&self) -> PlatformBehaviour {
        self.state.lock().behaviour.clone()
    }

    /// Switches the behaviour.
    pub fn set_behaviour(&self, behaviour: PlatformBehaviour) {
        self.gate.set_reachable(!behaviour.unreachable);
        self.state.lock().behaviour = behaviour;
        // Waiting watches notice an outage.
        self.state.changed.send_modify(|count| *count += 1);
    }

    /// Changes parts of the behaviour by a JSON merge patch.
    ///
    /// # Errors
    /// The patch names an unknown field or a value of the wrong type.
    pub fn patch_behaviour(&self, change: &serde_json::Value) -> Result<(), PatchError> {
        self.set_behaviour(merged(&self.behaviour(), change)?);
        Ok(())
    }

    /// Changes parts of the behaviour.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut PlatformBehaviour)) {
        let mut behaviour = self.behaviour();
        change(&mut behaviour);
        self.set_behaviour(behaviour);
    }

    /// Replaces the list of VMs; calls see it after the list's lag.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        self.state.lock().change_list(|list| *list = vms);
    }

    /// Adds one VM or upstream to the list, or replaces the entry with its address.
    pub fn put_vm(&self, vm: ListedVm) {
        self.state.lock().change_list(|list| {
            list.retain(|entry| entry.address != vm.address);
            list.push(vm);
        });
    }

    /// Removes one VM or upstream from the list.
    pub fn remove_vm(&self, address: SocketAddr) {
        self.state.lock().change_list(|list| list.retain(|entry| entry.address != address));
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.state.lock().counts.clone()
    }
}
