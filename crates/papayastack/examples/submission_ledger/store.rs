//! An in-memory platform that counts calls, and an upstream that counts executions per key.

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

/// The duration of one platform call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// The one-way latency between a VM and an upstream.
const UPSTREAM_HOP: Duration = Duration::from_millis(1);
/// The time an upstream takes to execute one submission.
const EXECUTION_TIME: Duration = Duration::from_millis(30);

/// The objects of the platform, with the numbers of calls made to it.
#[derive(Default)]
pub(crate) struct Store {
    objects: Mutex<BTreeMap<ObjectName, Object>>,
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) largest_bytes: AtomicU64,
}

/// How long upstreams remember the keys that they executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamMemory {
    /// Upstreams remember no keys.
    None,
    /// Upstreams never forget a key.
    Lasting,
    /// Upstreams remember a key until they are replaced.
    UntilReplaced,
}

/// The upstreams of a service, which share one memory of keys.
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

    /// Returns the number of keys that were executed more than once.
    pub(crate) fn run_twice(&self) -> u64 {
        let keys = self.keys.lock().expect("the lock is not poisoned");
        keys.executions.values().filter(|executions| **executions > 1).count() as u64
    }

    /// Replaces the upstream by a new process, which under `UntilReplaced` remembers no key.
    pub(crate) fn replace(&self) {
        if self.memory == UpstreamMemory::UntilReplaced {
            self.keys.lock().expect("the lock is not poisoned").remembered.clear();
        }
    }

    fn execute(&self, key: &str) {
        let mut keys = self.keys.lock().expect("the lock is not poisoned");
        let known = !keys.remembered.insert(key.to_owned());
        if !known || self.memory == UpstreamMemory::None {
            *keys.executions.entry(key.to_owned()).or_default() += 1;
        }
    }
}

/// The signal that tells the tasks of a VM that its process has been killed.
///
/// A task of a killed process waits forever, as nothing of that process continues to run.
#[derive(Clone)]
pub(crate) struct KillSignal {
    killed: watch::Receiver<bool>,
}

impl KillSignal {
    pub(crate) fn new(killed: watch::Receiver<bool>) -> Self {
        Self { killed }
    }

    pub(crate) fn is_killed(&self) -> bool {
        *self.killed.borrow()
    }

    /// Returns once the process has been killed.
    pub(crate) async fn wait_killed(&self) {
        let mut killed = self.killed.clone();
        if killed.wait_for(|killed| *killed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for `time`, and never returns if the process was killed by then.
    async fn sleep(&self, time: Duration) {
        tokio::time::sleep(time).await;
        if self.is_killed() {
            std::future::pending::<()>().await;
        }
    }
}

/// The connection of one VM to the platform.
pub(crate) struct VmPlatform {
    pub(crate) store: Arc<Store>,
    pub(crate) kill_signal: KillSignal,
}

#[async_trait]
impl Platform for VmPlatform {
    async fn read(&self, name: &ObjectName) -> Result<Object, PlatformError> {
        self.kill_signal.sleep(CALL_TIME / 2).await;
        self.store.reads.fetch_add(1, Ordering::Relaxed);
        let found = self.store.objects.lock().expect("the lock is not poisoned").get(name).cloned();
        self.kill_signal.sleep(CALL_TIME / 2).await;
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
        self.kill_signal.sleep(CALL_TIME / 2).await;
        let result = self.store.update(name, &precondition, value);
        self.kill_signal.sleep(CALL_TIME / 2).await;
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
        let mut objects = self.objects.lock().expect("the lock is not poisoned");
        let version = objects.get(name).map(|object| object.version);
        if *precondition != version.map_or(Precondition::Absent, Precondition::Version) {
            return Err(PlatformError::Conflict);
        }
        let version = version.unwrap_or_default() + 1;
        objects.insert(name.clone(), Object { version, value });
        Ok(version)
    }
}

/// The connection of one VM to the upstreams.
pub(crate) struct VmSender {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) kill_signal: KillSignal,
}

#[async_trait]
impl SubmissionSender for VmSender {
    async fn send(&self, request: SubmitRequest) -> SendOutcome {
        self.kill_signal.sleep(UPSTREAM_HOP).await;
        self.upstream.execute(&request.key);
        self.kill_signal.sleep(EXECUTION_TIME + UPSTREAM_HOP).await;
        SendOutcome::Done { receipt: request.key }
    }
}
