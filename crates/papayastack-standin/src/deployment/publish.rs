//! Publishes the configuration and the catalogues of a deployment to the platform.

use papayastack::{
    Bundle, CATALOGUE_KIND, CONFIGURATION_KIND, CONFIGURATION_NAME, Catalogue, ObjectName,
    ObjectVersion, Platform, PlatformError, Precondition, ShardMap, SnapshotVersion,
};
use serde::Serialize;

const ATTEMPTS_MAX: u32 = 8;

/// Adds a snapshot to a service's catalogue, or replaces the shard map of that snapshot.
///
/// # Errors
/// The platform refused the update, or each attempt conflicted with an update by another client.
pub async fn publish_catalogue(
    platform: &dyn Platform,
    service: &str,
    snapshot: SnapshotVersion,
    shard_map: ShardMap,
) -> Result<ObjectVersion, PlatformError> {
    let name = ObjectName::new(CATALOGUE_KIND, service);
    let add = |current: Option<serde_json::Value>| {
        let current = current.map(serde_json::from_value).transpose().map_err(json_error)?;
        let mut catalogue: Catalogue = current.unwrap_or_default();
        catalogue.snapshots.insert(snapshot, shard_map.clone());
        to_json(&catalogue)
    };
    update_object(platform, &name, add).await
}

/// Removes a snapshot from a service's catalogue.
///
/// # Errors
/// The platform refused the update, or each attempt conflicted with an update by another client.
pub(crate) async fn unpublish_snapshot(
    platform: &dyn Platform,
    service: &str,
    snapshot: SnapshotVersion,
) -> Result<ObjectVersion, PlatformError> {
    let name = ObjectName::new(CATALOGUE_KIND, service);
    let remove = |current: Option<serde_json::Value>| {
        let current = current.ok_or(PlatformError::NotFound)?;
        let mut catalogue: Catalogue = serde_json::from_value(current).map_err(json_error)?;
        catalogue.snapshots.remove(&snapshot);
        to_json(&catalogue)
    };
    update_object(platform, &name, remove).await
}

/// Publishes a configuration bundle, replacing the current one.
///
/// # Errors
/// The platform refused the update, or each attempt conflicted with an update by another client.
pub async fn publish_bundle(
    platform: &dyn Platform,
    bundle: &Bundle,
) -> Result<ObjectVersion, PlatformError> {
    let name = ObjectName::new(CONFIGURATION_KIND, CONFIGURATION_NAME);
    update_object(platform, &name, |_| to_json(bundle)).await
}

/// Reads an object, applies `change` and writes the result conditionally; retries on conflicts.
async fn update_object(
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

fn to_json<T: Serialize>(value: &T) -> Result<serde_json::Value, PlatformError> {
    serde_json::to_value(value).map_err(json_error)
}

fn json_error(error: serde_json::Error) -> PlatformError {
    PlatformError::Rejected { detail: error.to_string() }
}
