//! An in-memory platform with scripted faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;

use crate::platform::{
    ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition, StoreEra,
    object_version, version_revision,
};

/// The objects of the platform, with the rules of conditional updates.
#[derive(Debug, Clone, Default)]
pub(super) struct Objects {
    pub(super) objects: BTreeMap<ObjectName, Object>,
    era: StoreEra,
    revision: u64,
}

impl Objects {
    pub(super) fn read(&self, name: &ObjectName) -> Result<Object, PlatformError> {
        self.objects.get(name).cloned().ok_or(PlatformError::NotFound)
    }

    pub(super) fn update(
        &mut self,
        name: &ObjectName,
        precondition: &Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        let version = self.objects.get(name).map(|object| object.version);
        match (precondition, version) {
            (Precondition::Absent, None) => {}
            (Precondition::Version(expected), Some(version)) if *expected == version => {}
            (Precondition::Version(_), None) => return Err(PlatformError::NotFound),
            (Precondition::Absent | Precondition::Version(_), Some(_)) => {
                return Err(PlatformError::Conflict);
            }
        }
        self.revision += 1;
        let version = object_version(self.era, self.revision);
        self.objects.insert(name.clone(), Object { version, value });
        Ok(version)
    }

    /// Comes back from an older copy, in the next era.
    pub(super) fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = copy.clone();
        self.era = era;
        for object in self.objects.values_mut() {
            object.version = object_version(era, version_revision(object.version));
        }
    }

    pub(super) fn delete(
        &mut self,
        name: &ObjectName,
        version: ObjectVersion,
    ) -> Result<(), PlatformError> {
        match self.objects.get(name).map(|object| object.version) {
            None => Err(PlatformError::NotFound),
            Some(found) if found != version => Err(PlatformError::Conflict),
            Some(_) => {
                self.objects.remove(name);
                Ok(())
            }
        }
    }
}

/// A fault of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFault {
    /// The call succeeds.
    None,
    /// The platform refuses the call.
    Unavailable,
    /// The answer is lost before the call took effect.
    LostBefore,
    /// The answer is lost after the call took effect.
    LostAfter,
    /// The answer takes this many milliseconds.
    Slow(u64),
}

/// A platform with [`Objects`], whose calls fail as scripted.
#[derive(Debug, Default)]
pub(super) struct MemoryPlatform {
    objects: Mutex<Objects>,
    script: Mutex<VecDeque<CallFault>>,
    calls: Mutex<Vec<String>>,
}

impl MemoryPlatform {
    /// Sets the faults of the next calls, in order.
    pub(super) fn script(&self, faults: &[CallFault]) {
        *self.script.lock().unwrap() = faults.iter().copied().collect();
    }

    /// Returns the names of the objects of one kind.
    pub(super) fn names(&self, kind: &str) -> Vec<ObjectName> {
        let objects = self.objects.lock().unwrap();
        objects.objects.keys().filter(|name| name.kind == kind).cloned().collect()
    }

    /// Returns the calls since the last use of this method.
    pub(super) fn take_calls(&self) -> Vec<String> {
        std::mem::take(&mut *self.calls.lock().unwrap())
    }

    async fn call<T>(
        &self,
        label: String,
        work: impl FnOnce(&mut Objects) -> Result<T, PlatformError> + Send,
    ) -> Result<T, PlatformError> {
        self.calls.lock().unwrap().push(label);
        let fault = self.script.lock().unwrap().pop_front().unwrap_or(CallFault::None);
        tokio::time::sleep(Duration::from_millis(2)).await;
        match fault {
            CallFault::None => work(&mut self.objects.lock().unwrap()),
            CallFault::Unavailable => Err(PlatformError::Unavailable),
            CallFault::LostBefore => Err(PlatformError::AnswerLost),
            CallFault::LostAfter => {
                // The call takes effect, but its result is lost.
                let _ = work(&mut self.objects.lock().unwrap());
                Err(PlatformError::AnswerLost)
            }
            CallFault::Slow(milliseconds) => {
                let result = work(&mut self.objects.lock().unwrap());
                tokio::time::sleep(Duration::from_millis(milliseconds)).await;
                result
            }
        }
    }
}

#[async_trait]
impl Platform for MemoryPlatform {
    async fn read(&self, name: &ObjectName) -> Result<Object, PlatformError> {
        self.call(format!("read {}", name.kind), |objects| objects.read(name)).await
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
        let work = |objects: &mut Objects| objects.update(name, &precondition, value);
        self.call(format!("update {}", name.kind), work).await
    }

    async fn delete(&self, name: &ObjectName, version: ObjectVersion) -> Result<(), PlatformError> {
        self.call(format!("delete {}", name.kind), |objects| objects.delete(name, version)).await
    }

    async fn list(&self, kind: &str) -> Result<Vec<ObjectName>, PlatformError> {
        let named = |objects: &mut Objects| {
            Ok(objects.objects.keys().filter(|name| name.kind == kind).cloned().collect())
        };
        self.call(format!("list {kind}"), named).await
    }

    async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        Ok(Vec::new())
    }
}
