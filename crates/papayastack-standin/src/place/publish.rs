//! Publishing a place's objects to the platform.

use papayastack::{
    Bundle, CATALOGUE_KIND, CONFIGURATION_KIND, CONFIGURATION_NAME, Catalogue, ObjectName,
    ObjectVersion, Platform, PlatformError, Precondition, ShardMap, SnapshotVersion,
};
use serde::Serialize;

const ATTEMPTS_MAX: u32 = 8;

/// Adds a snapshot to a service's catalogue, or replaces the shard map that it has there.
///
/// # Errors
/// The platform refused the update, or somebody else kept changing the object.
pub async fn publish_catalogue(
    platform: &dyn Platform,
    service: &str,
    snapshot: SnapshotVersion,
    shard_map: ShardMap,
) -> Result<ObjectVersion, PlatformError> {
    let name = ObjectName::new(CATALOGUE_KIND, service);
    let add = |current: Option<serde_json::Value>| {
        let current = current.map(serde_json::from_value).transpose().map_err(rejected)?;
        let mut catalogue: Catalogue = current.unwrap_or_default();
        catalogue.snapshots.insert(snapshot, shard_map.clone());
        encoded(&catalogue)
    };
    change_object(platform, &name, add).await
}

/// Removes a snapshot from a service's catalogue.
///
/// # Errors
/// The platform refused the update, or somebody else kept changing the object.
pub(crate) async fn unpublish_snapshot(
    platform: &dyn Platform,
    service: &str,
    snapshot: SnapshotVersion,
) -> Result<ObjectVersion, PlatformError> {
    let name = ObjectName::new(CATALOGUE_KIND, service);
    let remove = |current: Option<serde_json::Value>| {
        let current = current.ok_or(PlatformError::NotFound)?;
        let mut catalogue: Catalogue = serde_json::from_value(current).map_err(rejected)?;
        catalogue.snapshots.remove(&snapshot);
        encoded(&catalogue)
    };
    change_object(platform, &name, remove).await
}

/// Publishes a bundle, replacing the one that is there.
///
/// # Errors
/// The platform refused the update, or somebody else kept changing the object.
pub async fn publish_bundle(
    platform: &dyn Platform,
    bundle: &Bundle,
) -> Result<ObjectVersion, PlatformError> {
    let name = ObjectName::new(CONFIGURATION_KIND, CONFIGURATION_NAME);
    change_object(platform, &name, |_| encoded(bundle)).await
}

async fn change_object(
    platform: &dyn Platform,
    name: &ObjectName,
    change: impl Fn(Option<serde_json::Value>) -> Result<serde_json::Value, PlatformError>,
) -> Result<ObjectVersion, PlatformError> {
    let mut outcome = Err(PlatformError::Conflict);
    for _ in 0..ATTEMPTS_MAX {
        let (precondition, current) = match platform.read(name).await {
            Ok(object) => (Precondition::Version(object.version), Some(object.value)),
            Err(PlatformError::NotFound) => (Precondition::Absent, None),
            Err(error) => return Err(error),
        };
        outcome = platform.update(name, precondition, change(current)?).await;
        if outcome != Err(PlatformError::Conflict) {
            return outcome;
        }
    }
    outcome
}

fn encoded<T: Serialize>(value: &T) -> Result<serde_json::Value, PlatformError> {
    serde_json::to_value(value).map_err(rejected)
}

fn rejected(error: serde_json::Error) -> PlatformError {
    PlatformError::Rejected { detail: error.to_string() }
}
