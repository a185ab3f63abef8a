//! A platform in memory that counts its calls, and an upstream that counts its executions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use papayastack::{
    ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition,
    SendOutcome, SubmissionSender, SubmitRequest,
};
use tokio::sync::watch;

/// The platform's time for one call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// The time from a VM to an upstream.
const UPSTREAM_HOP: Duration = Duration::from_millis(1);
/// The upstream's time for one submission.
const EXECUTION_TIME: Duration = Duration::from_millis(30);

/// The platform's objects and the counts of its calls.
#[derive(Default)]
pub(crate) struct Store {
    objects: Mutex<BTreeMap<ObjectName, Object>>,
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) largest_bytes: AtomicU64,
}

/// What upstreams remember of keys that they ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamMemory {
    /// Nothing.
    None,
    /// Every key.
    Lasting,
    /// Every key until the upstream is replaced.
    UntilReplaced,
}

/// The upstream side of a service.
pub(crate) struct Upstream {
    memory: UpstreamMemory,
    keys: Mutex<UpstreamKeys>,
}

#[derive(Default)]
struct UpstreamKeys {
    executions: BTreeMap<String, u32>,
    remembered: BTreeSet<String>,
}

impl Upstream {
    pub(crate) fn new(memory: UpstreamMemory) -> Self {
        Self { memory, keys: Mutex::default() }
    }

    /// Counts keys that ran more than once.
    pub(crate) fn run_twice(&self) -> u64 {
        let keys = self.keys.lock().expect("no holder panics");
        keys.executions.values().filter(|executions| **executions > 1).count() as u64
    }

    /// Puts a new process in the upstream's place.
    pub(crate) fn replace(&self) {
        if self.memory == UpstreamMemory::UntilReplaced {
            self.keys.lock().expect("no holder panics").remembered.clear();
        }
    }

    fn execute(&self, key: &str) {
        let mut keys = self.keys.lock().expect("no holder panics");
        let known = !keys.remembered.insert(key.to_owned());
        if !known || self.memory == UpstreamMemory::None {
            *keys.executions.entry(key.to_owned()).or_default() += 1;
        }
    }
}

/// Whether a VM's process has been killed; nothing of it goes on after that.
#[derive(Clone)]
pub(crate) struct Life {
    killed: watch::Receiver<bool>,
}

impl Life {
    pub(crate) fn new(killed: watch::Receiver<bool>) -> Self {
        Self { killed }
    }

    pub(crate) fn is_over(&self) -> bool {
        *self.killed.borrow()
    }

    /// Waits until the process is killed.
    pub(crate) async fn over(&self) {
        let mut killed = self.killed.clone();
        if killed.wait_for(|killed| *killed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Lets time pass; never returns to a process that was killed meanwhile.
    async fn spend(&self, time: Duration) {
        tokio::time::sleep(time).await;
        if self.is_over() {
            std::future::pending::<()>().await;
        }
    }
}

/// The platform as one VM reaches it.
pub(crate) struct VmPlatform {
    pub(crate) store: Arc<Store>,
    pub(crate) life: Life,
}

#[async_trait]
impl Platform for VmPlatform {
    async fn read(&self, name: &ObjectName) -> Result<Object, PlatformError> {
        self.life.spend(CALL_TIME / 2).await;
        self.store.reads.fetch_add(1, Ordering::Relaxed);
        let found = self.store.objects.lock().expect("no holder panics").get(name).cloned();
        self.life.spend(CALL_TIME / 2).await;
        found.ok_or(PlatformError::NotFound)
    }

    async fn watch(
        &self,
        _name: &ObjectName,
        _after: ObjectVersion,
        _wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn update(
        &self,
        name: &ObjectName,
        precondition: Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        self.life.spend(CALL_TIME / 2).await;
        let result = self.store.update(name, &precondition, value);
        self.life.spend(CALL_TIME / 2).await;
        result
    }

    async fn delete(
        &self,
        _name: &ObjectName,
        _version: ObjectVersion,
    ) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn list(&self, _kind: &str) -> Result<Vec<ObjectName>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

impl Store {
    fn update(
        &self,
        name: &ObjectName,
        precondition: &Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let bytes = value.to_string().len() as u64;
        self.largest_bytes.fetch_max(bytes, Ordering::Relaxed);
        let mut objects = self.objects.lock().expect("no holder panics");
        let version = objects.get(name).map(|object| object.version);
        if *precondition != version.map_or(Precondition::Absent, Precondition::Version) {
            return Err(PlatformError::Conflict);
        }
        let version = version.unwrap_or_default() + 1;
        objects.insert(name.clone(), Object { version, value });
        Ok(version)
    }
}

/// The upstreams as one VM reaches them.
pub(crate) struct VmSender {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) life: Life,
}

#[async_trait]
impl SubmissionSender for VmSender {
    async fn send(&self, request: SubmitRequest) -> SendOutcome {
        self.life.spend(UPSTREAM_HOP).await;
        self.upstream.execute(&request.key);
        self.life.spend(EXECUTION_TIME + UPSTREAM_HOP).await;
        SendOutcome::Done { receipt: request.key }
    }
}
