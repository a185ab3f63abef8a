//! A wrapper around the platform that counts every call.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

use crate::observe::{Metrics, PlatformCall};
use crate::platform::{
    ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition, StoreEra,
};

/// Passes calls on to a platform and counts them by kind and result.
pub(crate) struct MeteredPlatform {
    platform: Arc<dyn Platform>,
    metrics: Arc<Metrics>,
}

impl MeteredPlatform {
    pub(crate) fn new(platform: Arc<dyn Platform>, metrics: Arc<Metrics>) -> Self {
        Self { platform, metrics }
    }

    fn counted<T>(
        &self,
        call: PlatformCall,
        result: Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        self.metrics.platform_call(call, result.as_ref().err());
        result
    }
}

#[async_trait]
impl Platform for MeteredPlatform {
    fn eras(&self) -> Option<watch::Receiver<Option<StoreEra>>> {
        self.platform.eras()
    }

    async fn read(&self, name: &ObjectName) -> Result<Object, PlatformError> {
        let result = self.platform.read(name).await;
        self.counted(PlatformCall::Read, result)
    }

    async fn watch(
        &self,
        name: &ObjectName,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let result = self.platform.watch(name, after, wait).await;
        self.counted(PlatformCall::Watch, result)
    }

    async fn update(
        &self,
        name: &ObjectName,
        precondition: Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        let result = self.platform.update(name, precondition, value).await;
        self.counted(PlatformCall::Update, result)
    }

    async fn delete(&self, name: &ObjectName, version: ObjectVersion) -> Result<(), PlatformError> {
        let result = self.platform.delete(name, version).await;
        self.counted(PlatformCall::Delete, result)
    }

    async fn list(&self, kind: &str) -> Result<Vec<ObjectName>, PlatformError> {
        let result = self.platform.list(kind).await;
        self.counted(PlatformCall::List, result)
    }

    async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        let result = self.platform.vms().await;
        self.counted(PlatformCall::Vms, result)
    }
}
