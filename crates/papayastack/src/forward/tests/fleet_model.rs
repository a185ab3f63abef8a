//! A model of the VMs of a region that learn of changes in one store, in virtual time: the store, the
//! ways to it and between the VMs, and what may fail there.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use super::feeds::state_of;
use super::registry::{entry, named};
use super::routes::{document, route};
use crate::forward::feeds::spawn_feeds;
use crate::forward::following::{FeedPeers, follow_readers, reply};
use crate::forward::peer_feed::{FeedQuestion, FeedReply};
use crate::forward::state::ForwardState;
use crate::forward::{
    Change, Changes, FeedStore, Freshness, Listing, RouteDocument, StorePosition, StoreRevision,
    UpstreamEntry, UpstreamState,
};
use crate::ids::{UpstreamId, VmAddress};
use crate::membership::{Member, MemberState, MemberView, VmIdentity};
use crate::platform::{ListedVm, PlatformError, StoreEra};

const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
const UPSTREAMS: usize = 40;
const LATENCY: Duration = Duration::from_millis(4);
const LATENCY_SLOW: Duration = Duration::from_millis(200);
/// How long the store's client waits for an answer, beyond the wait of a watch.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How the store treats one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Access {
    Sound,
    /// Calls and waiting watches get no answer.
    Silent,
    /// Calls are refused as unavailable.
    Refused,
    /// Calls are refused by rate.
    TurnedAway,
    /// Calls are answered late.
    Slow,
}

/// One change: a new version of the routes, or of an upstream's entry; `None` removes it.
#[derive(Debug, Clone)]
pub(super) enum Written {
    Routes(u64),
    Upstream(UpstreamId, Option<UpstreamEntry>),
    /// The record of a VM.
    Vm,
}

/// The store of a fleet: a log of changes, and how it treats each VM.
pub(super) struct Store {
    log: Mutex<Vec<Written>>,
    revision: watch::Sender<StoreRevision>,
    era: watch::Sender<StoreEra>,
    /// The first revision after which changes are still known.
    history_from: AtomicUsize,
    access: Mutex<Vec<Access>>,
    access_changed: watch::Sender<u64>,
    /// When each call of the full price was made.
    calls: Mutex<Vec<Instant>>,
    cheap_calls: AtomicUsize,
}

impl Store {
    fn open(vms: usize) -> Arc<Self> {
        let store = Self {
            log: Mutex::default(),
            revision: watch::Sender::new(0),
            era: watch::Sender::new(1),
            history_from: AtomicUsize::new(0),
            access: Mutex::new(vec![Access::Sound; vms]),
            access_changed: watch::Sender::new(0),
            calls: Mutex::default(),
            cheap_calls: AtomicUsize::new(0),
        };
        store.write(Written::Routes(1));
        for number in 0..UPSTREAMS {
            let entry = UpstreamEntry { sequence: 1, ..entry("board", 1 + number as u16) };
            store.write(Written::Upstream(upstream(number), Some(entry)));
        }
        Arc::new(store)
    }

    pub(super) fn write(&self, written: Written) {
        let mut log = lock(&self.log);
        log.push(written);
        self.revision.send_replace(log.len() as StoreRevision);
    }

    /// Writes that an upstream is leaving.
    pub(super) fn announce_leaving(&self, number: usize) {
        let entry = entry("board", 1 + number as u16);
        let leaving = UpstreamEntry { state: UpstreamState::Leaving, sequence: 90, ..entry };
        self.write(Written::Upstream(upstream(number), Some(leaving)));
    }

    /// Writes an entry anew whose upstream is a little less cold; nobody needs to know at once.
    pub(super) fn warm_up(&self, number: usize, sequence: u64) {
        let entry = entry("board", 1 + number as u16);
        let cold_remaining = Duration::from_millis(3_000 - 30 * sequence.min(90));
        let warmer = UpstreamEntry { cold_remaining, sequence, ..entry };
        self.write(Written::Upstream(upstream(number), Some(warmer)));
    }

    pub(super) fn set_access(&self, vms: impl Iterator<Item = usize>, access: Access) {
        let mut accesses = lock(&self.access);
        vms.for_each(|vm| accesses[vm] = access);
        drop(accesses);
        self.access_changed.send_modify(|count| *count += 1);
    }

    /// Drops the history: watches that begin or wait before its end are told so.
    pub(super) fn drop_history(&self) {
        self.history_from.store(lock(&self.log).len(), Ordering::Relaxed);
        self.access_changed.send_modify(|count| *count += 1);
    }

    /// Comes back from a copy that lacks the last `lost` changes.
    pub(super) fn come_back_from_older_copy(&self, lost: usize) {
        let mut log = lock(&self.log);
        let kept = log.len() - lost;
        log.truncate(kept);
        drop(log);
        self.era.send_modify(|era| *era += 1);
        self.revision.send_replace(kept as StoreRevision);
    }

    /// Returns the price of all calls so far, in whole calls.
    pub(super) fn calls(&self) -> usize {
        lock(&self.calls).len() + self.cheap_calls.load(Ordering::Relaxed) / 10
    }

    /// Returns the most calls within a time.
    pub(super) fn most_calls_within(&self, time: Duration) -> usize {
        let calls = lock(&self.calls);
        let within = |(first, call): (usize, &Instant)| {
            calls[first..].iter().take_while(|later| **later - *call < time).count()
        };
        calls.iter().enumerate().map(within).max().unwrap_or(0)
    }

    pub(super) fn forget_calls(&self) {
        lock(&self.calls).clear();
    }

    fn access(&self, vm: usize) -> Access {
        lock(&self.access)[vm]
    }

    fn position(&self) -> StorePosition {
        StorePosition { era: *self.era.borrow(), revision: *self.revision.borrow() }
    }

    fn knows(&self, after: StoreRevision) -> bool {
        let history_from = self.history_from.load(Ordering::Relaxed);
        (history_from..=lock(&self.log).len()).contains(&(after as usize))
    }

    /// Returns the changes after a revision.
    fn written(&self, after: StoreRevision) -> Result<Vec<Written>, PlatformError> {
        if after > 0 && !self.knows(after) {
            return Err(PlatformError::HistoryGone);
        }
        Ok(lock(&self.log)[after as usize..].to_vec())
    }
}

pub(super) fn upstream(number: usize) -> UpstreamId {
    format!("upstream-{number}")
}

/// The store as one VM reaches it.
struct VmStore {
    store: Arc<Store>,
    vm: usize,
    /// The newest era that an answer named.
    eras: watch::Sender<Option<StoreEra>>,
}

impl VmStore {
    /// Makes a call of the full price that the store would answer once `ready` is.
    async fn call(
        &self,
        wait: Duration,
        ready: impl Future<Output = ()>,
    ) -> Result<(), PlatformError> {
        lock(&self.store.calls).push(Instant::now());
        self.respond(wait, ready).await
    }

    async fn cheap_call(&self) -> Result<(), PlatformError> {
        self.store.cheap_calls.fetch_add(1, Ordering::Relaxed);
        self.respond(Duration::ZERO, async {}).await
    }

    async fn respond(
        &self,
        wait: Duration,
        ready: impl Future<Output = ()>,
    ) -> Result<(), PlatformError> {
        let mut changed = self.store.access_changed.subscribe();
        let access = self.store.access(self.vm);
        let failure = match access {
            Access::Sound | Access::Slow => {
                // A connection that fell silent once gives no answer later either.
                let is_lost = |_: &u64| self.store.access(self.vm) == Access::Silent;
                let lost = async { drop(changed.wait_for(is_lost).await) };
                tokio::select! {
                    () = ready => {
                        sleep(if access == Access::Slow { LATENCY_SLOW } else { LATENCY }).await;
                        self.eras.send_replace(Some(*self.store.era.borrow()));
                        return Ok(());
                    }
                    () = lost => {
                        sleep(wait + CLIENT_TIMEOUT).await;
                        PlatformError::AnswerLost
                    }
                }
            }
            Access::Silent => {
                sleep(wait + CLIENT_TIMEOUT).await;
                PlatformError::AnswerLost
            }
            Access::Refused => PlatformError::Unavailable,
            Access::TurnedAway => {
                PlatformError::RateLimited { retry_after: Duration::from_millis(500) }
            }
        };
        sleep(LATENCY).await;
        Err(failure)
    }

    /// Returns once a watch has something to tell: a change that `wanted` takes, or that it cannot go
    /// on.
    async fn changed(
        &self,
        after: StoreRevision,
        wait: Duration,
        wanted: impl Fn(&Written) -> bool,
    ) {
        let store = &self.store;
        let mut revision = store.revision.subscribe();
        let mut era = store.era.subscribe();
        let mut access = store.access_changed.subscribe();
        let began_in = *era.borrow_and_update();
        let is_due = |_: &StoreRevision| {
            store.written(after).is_ok_and(|written| written.iter().any(&wanted))
        };
        tokio::select! {
            _ = timeout(wait, revision.wait_for(is_due)) => {}
            _ = era.wait_for(|era| *era != began_in) => {}
            _ = access.wait_for(|_| !store.knows(after)) => {}
        }
    }
}

fn routes(version: u64) -> RouteDocument {
    RouteDocument { version, ..document(vec![route("read", "a.example", "/read/")]) }
}

#[async_trait]
impl FeedStore for VmStore {
    fn eras(&self) -> watch::Receiver<Option<StoreEra>> {
        self.eras.subscribe()
    }

    async fn list_upstreams(
        &self,
        freshness: Freshness,
    ) -> Result<Listing<UpstreamEntry>, PlatformError> {
        match freshness {
            Freshness::Current => self.call(Duration::ZERO, async {}).await?,
            Freshness::MayLag => self.cheap_call().await?,
        }
        let mut entries = BTreeMap::new();
        for written in self.store.written(0)? {
            if let Written::Upstream(name, entry) = written {
                match entry {
                    Some(entry) => entries.insert(name, entry),
                    None => entries.remove(&name),
                };
            }
        }
        let entries = entries.into_iter().map(|(name, entry)| named(&name, entry)).collect();
        Ok(Listing { entries, position: self.store.position() })
    }

    async fn watch_upstreams(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<UpstreamEntry>, PlatformError> {
        let wanted = |written: &Written| matches!(written, Written::Upstream(..));
        self.call(wait, self.changed(after, wait, wanted)).await?;
        let change = |written| match written {
            Written::Upstream(name, Some(entry)) => Some(Change::Put(named(&name, entry))),
            Written::Upstream(name, None) => Some(Change::Removed { name }),
            Written::Routes(_) | Written::Vm => None,
        };
        let changes = self.store.written(after)?.into_iter().filter_map(change).collect();
        Ok(Changes { changes, position: self.store.position() })
    }

    async fn list_routes(&self) -> Result<Listing<RouteDocument>, PlatformError> {
        self.call(Duration::ZERO, async {}).await?;
        let version = |written| match written {
            Written::Routes(version) => Some(version),
            Written::Upstream(..) | Written::Vm => None,
        };
        let newest = self.store.written(0)?.into_iter().rev().find_map(version);
        let entries = newest.into_iter().map(|version| named("main", routes(version))).collect();
        Ok(Listing { entries, position: self.store.position() })
    }

    async fn watch_routes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<RouteDocument>, PlatformError> {
        let wanted = |written: &Written| matches!(written, Written::Routes(_));
        self.call(wait, self.changed(after, wait, wanted)).await?;
        let change = |written| match written {
            Written::Routes(version) => Some(Change::Put(named("main", routes(version)))),
            Written::Upstream(..) | Written::Vm => None,
        };
        let changes = self.store.written(after)?.into_iter().filter_map(change).collect();
        Ok(Changes { changes, position: self.store.position() })
    }

    async fn register_vm(&self, _: &ListedVm) -> Result<(), PlatformError> {
        self.call(Duration::ZERO, async {}).await?;
        self.store.write(Written::Vm);
        Ok(())
    }

    async fn is_recorded(&self, _: &ListedVm) -> Result<bool, PlatformError> {
        self.cheap_call().await.map(|()| true)
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.call(Duration::ZERO, async {}).await.map(|()| Vec::new())
    }
}

/// The ways between the VMs.
#[derive(Default)]
pub(super) struct Peers {
    states: Mutex<Vec<Arc<ForwardState>>>,
    /// The VMs that answer nothing, as when they are frozen or cut off from the others.
    pub(super) silent: Mutex<BTreeSet<usize>>,
    /// Whether VMs with even and odd numbers do not hear each other.
    pub(super) halves_apart: AtomicBool,
    /// The VMs that repeat what they said first, once they have said something.
    pub(super) repeating: Mutex<BTreeMap<usize, Option<FeedReply>>>,
}

impl Peers {
    fn hears(&self, vm: usize, other: usize) -> bool {
        let silent = lock(&self.silent);
        let apart = self.halves_apart.load(Ordering::Relaxed) && vm % 2 != other % 2;
        !silent.contains(&vm) && !silent.contains(&other) && !apart
    }
}

/// The other VMs as one VM reaches them.
struct VmPeers {
    peers: Arc<Peers>,
    vm: usize,
}

#[async_trait]
impl FeedPeers for VmPeers {
    async fn ask(&self, reader: VmAddress, question: FeedQuestion) -> Option<FeedReply> {
        let reader = number_of(reader);
        sleep(Duration::from_millis(2)).await;
        if self.peers.hears(self.vm, reader) {
            let state = Arc::clone(&lock(&self.peers.states)[reader]);
            let mut replied = reply(&state, question).await;
            if let Some(first) = lock(&self.peers.repeating).get_mut(&reader) {
                replied = first.get_or_insert(replied).clone();
            }
            if self.peers.hears(self.vm, reader) {
                return Some(replied);
            }
        }
        std::future::pending().await
    }
}

/// One VM, running or not.
pub(super) struct Vm {
    pub(super) state: Arc<ForwardState>,
    members: watch::Sender<Arc<MemberView>>,
    tasks: Vec<JoinHandle<()>>,
}

/// The VMs of one region, and the store that they learn from.
pub(super) struct Fleet {
    pub(super) store: Arc<Store>,
    pub(super) peers: Arc<Peers>,
    pub(super) vms: Vec<Vm>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.iter().flat_map(|vm| &vm.tasks).for_each(|task| task.abort());
    }
}

fn address(vm: usize) -> VmAddress {
    ([10, 0, (vm / 200) as u8, (vm % 200) as u8], 7_101).into()
}

fn number_of(vm: VmAddress) -> usize {
    match vm.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 200 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("VMs of the model have IPv4 addresses"),
    }
}

fn view(vms: impl Iterator<Item = usize>) -> Arc<MemberView> {
    let member = |vm: usize| Member {
        identity: VmIdentity { address: address(vm), incarnation: 1 },
        data_centre: DATA_CENTRES[vm % DATA_CENTRES.len()].to_owned(),
        caller_address: address(vm),
        state: MemberState::Live,
        configuration_version: 1,
    };
    let members = vms.map(|vm| (address(vm), member(vm))).collect();
    Arc::new(MemberView { members, unreachable_regions: BTreeSet::new() })
}

impl Fleet {
    /// Starts VMs that know each other.
    pub(super) fn start(vms: usize) -> Self {
        let mut fleet = Self { store: Store::open(vms), peers: Arc::default(), vms: Vec::new() };
        for vm in 0..vms {
            let vm = new_vm(vm, vms);
            lock(&fleet.peers.states).push(Arc::clone(&vm.state));
            fleet.vms.push(vm);
        }
        (0..vms).for_each(|vm| fleet.run(vm));
        fleet
    }

    /// Starts a VM anew that knows nothing but the members.
    pub(super) fn restart(&mut self, vm: usize) {
        self.kill(vm);
        self.vms[vm] = new_vm(vm, self.vms.len());
        lock(&self.peers.states)[vm] = Arc::clone(&self.vms[vm].state);
        lock(&self.peers.silent).remove(&vm);
        self.run(vm);
    }

    /// Ends a VM without a word.
    pub(super) fn kill(&mut self, vm: usize) {
        self.vms[vm].tasks.drain(..).for_each(|task| task.abort());
        lock(&self.peers.silent).insert(vm);
    }

    pub(super) fn is_running(&self, vm: usize) -> bool {
        !self.vms[vm].tasks.is_empty()
    }

    /// Sets the members that each VM sees: those other VMs for which `sees` holds.
    pub(super) fn set_members(&self, sees: impl Fn(usize, usize) -> bool) {
        for (own, vm) in self.vms.iter().enumerate() {
            let view = view((0..self.vms.len()).filter(|other| own == *other || sees(own, *other)));
            vm.state.update_feed_role(&view);
            vm.members.send_replace(view);
        }
    }

    /// Returns the VMs that read the store for the others.
    pub(super) fn readers(&self) -> Vec<usize> {
        let reads = |vm: &usize| self.vms[*vm].state.feed_role.borrow().readers.is_empty();
        (0..self.vms.len()).filter(reads).collect()
    }

    /// Tells whether a VM uses an upstream.
    pub(super) fn uses(&self, vm: usize, number: usize) -> bool {
        let upstreams = self.vms[vm].state.upstreams.borrow().clone();
        upstreams.is_some_and(|set| set.index_of(&upstream(number)).is_some())
    }

    /// Returns how long it takes until all VMs have dropped an upstream.
    pub(super) async fn dropped_by_all(&self, number: usize) -> Duration {
        let started = Instant::now();
        while (0..self.vms.len()).any(|vm| self.uses(vm, number)) {
            assert!(started.elapsed() < Duration::from_secs(60), "never dropped by all");
            sleep(Duration::from_millis(1)).await;
        }
        started.elapsed()
    }

    /// Returns how long it takes until all VMs have a version of the routes in force.
    pub(super) async fn in_force_at_all(&self, version: u64) -> Duration {
        let started = Instant::now();
        while self.vms.iter().any(|vm| vm.state.routes_version() < version) {
            assert!(started.elapsed() < Duration::from_secs(60), "never in force at all");
            sleep(Duration::from_millis(1)).await;
        }
        started.elapsed()
    }

    fn run(&mut self, vm: usize) {
        let eras = watch::Sender::new(None);
        let store = Arc::new(VmStore { store: Arc::clone(&self.store), vm, eras });
        let peers = Arc::new(VmPeers { peers: Arc::clone(&self.peers), vm });
        let Vm { state, members, tasks } = &mut self.vms[vm];
        state.update_feed_role(&members.borrow());
        *tasks = spawn_feeds(state, store, address(vm));
        tasks.push(tokio::spawn(follow_readers(Arc::clone(state), peers)));
    }
}

/// Returns a VM that sees all others and does not run yet.
fn new_vm(vm: usize, vms: usize) -> Vm {
    let (members, receiver) = watch::channel(view(0..vms));
    let state = state_of(&DATA_CENTRES, vm, receiver);
    state.link_address.set(address(vm)).expect("nothing else sets it");
    Vm { state, members, tasks: Vec::new() }
}
