//! JSON merge patches (RFC 7396) of behaviours.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The error of a merge patch that does not fit a behaviour.
#[derive(Debug)]
pub struct PatchError {
    detail: String,
}

impl std::fmt::Display for PatchError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the merge patch does not fit the behaviour: {}", self.detail)
    }
}

impl std::error::Error for PatchError {}

/// Applies a JSON merge patch to a value; unknown fields are errors where the type denies them.
pub(crate) fn apply_merge_patch<T: Serialize + DeserializeOwned>(
    current: &T,
    patch: &serde_json::Value,
) -> Result<T, PatchError> {
    let failed = |error: serde_json::Error| PatchError { detail: error.to_string() };
    let mut value = serde_json::to_value(current).map_err(failed)?;
    json_patch::merge(&mut value, patch);
    serde_json::from_value(value).map_err(failed)
}
