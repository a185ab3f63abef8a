//! A configuration document at its adopted version, with the differences from recent versions.

use std::collections::VecDeque;
use std::sync::Arc;

use json_patch::{Patch, PatchOperation};
use papayastack_macros::value;
use serde_json::Value;
use twox_hash::XxHash3_64;

use super::message::{DocumentContent, DocumentUpdate};
use crate::platform::{Object, ObjectName, ObjectVersion};

/// Maximum number of differences kept for peers that are a few versions behind.
const DIFFERENCES_MAX: usize = 64;

/// A document at its adopted version.
#[value]
pub(crate) struct Document {
    /// The version that the platform gave to the content.
    pub version: ObjectVersion,
    /// The content.
    pub value: Arc<Value>,
    /// The checksum of the content.
    pub checksum: u64,
    /// The size of the content in bytes of JSON.
    size_bytes: usize,
    /// The differences between successive adopted versions, oldest first.
    differences: VecDeque<Difference>,
}

/// A version that may replace the adopted one.
#[value]
pub(crate) struct NewVersion {
    /// The version that the platform gave to the content.
    pub version: ObjectVersion,
    /// The content.
    pub value: Value,
    /// The difference from the adopted version, if the new version was sent as a difference.
    pub changes: Option<Patch>,
}

impl From<Object> for NewVersion {
    fn from(object: Object) -> Self {
        Self { version: object.version, value: object.value, changes: None }
    }
}

/// The changes from one adopted version to the next.
#[value]
struct Difference {
    base_version: ObjectVersion,
    changes: Patch,
    size_bytes: usize,
}

/// Why an update from a peer could not be applied.
#[value]
pub(crate) enum UpdateError {
    /// The difference is based on a version other than the adopted one.
    BaseMismatch,
    /// The changes are invalid, or the result does not match the sender's checksum.
    Corrupt,
}

impl Document {
    /// Creates a document from the first version that is adopted.
    pub(crate) fn new(version: ObjectVersion, value: Value) -> Self {
        let (checksum, size_bytes) = checksum_and_size(&value);
        let differences = VecDeque::new();
        Self { version, value: Arc::new(value), checksum, size_bytes, differences }
    }

    /// Returns the document at a later version, together with the differences from recent versions.
    ///
    /// Drops the oldest differences while together they are larger than the whole document.
    pub(crate) fn advance(&self, new: NewVersion) -> Self {
        let NewVersion { version, value, changes } = new;
        let (checksum, size_bytes) = checksum_and_size(&value);
        let changes = changes.unwrap_or_else(|| json_patch::diff(&self.value, &value));
        let difference = Difference {
            base_version: self.version,
            size_bytes: json_size_bytes(&changes),
            changes,
        };
        let mut differences = self.differences.clone();
        differences.push_back(difference);
        let mut kept_bytes: usize =
            differences.iter().map(|difference| difference.size_bytes).sum();
        while differences.len() > DIFFERENCES_MAX || kept_bytes > size_bytes {
            let Some(oldest) = differences.pop_front() else { break };
            kept_bytes -= oldest.size_bytes;
        }
        Self { version, value: Arc::new(value), checksum, size_bytes, differences }
    }

    /// Returns the previously adopted version, if the difference from it is kept.
    pub(crate) fn previous_version(&self) -> Option<ObjectVersion> {
        self.differences.back().map(|difference| difference.base_version)
    }

    /// Builds the update for a peer at `peer_version`: the difference if it is kept, and the whole
    /// document otherwise.
    ///
    /// [`Document::advance`] limits the differences to the size of the whole document, so the
    /// update is never larger than that.
    pub(crate) fn update_since(
        &self,
        name: &ObjectName,
        peer_version: Option<ObjectVersion>,
    ) -> DocumentUpdate {
        let changes = peer_version.and_then(|version| self.changes_since(version));
        let content = match (changes, peer_version) {
            (Some(changes), Some(base_version)) => {
                DocumentContent::Difference { base_version, changes }
            }
            _ => DocumentContent::Whole(Value::clone(&self.value)),
        };
        let (version, checksum) = (self.version, self.checksum);
        DocumentUpdate { name: name.clone(), version, checksum, content }
    }

    /// Returns the size of the content that [`Document::update_since`] would send, in bytes of
    /// JSON.
    pub(crate) fn update_size_bytes(&self, peer_version: Option<ObjectVersion>) -> usize {
        let start = peer_version.and_then(|version| self.position_of_base(version));
        match start {
            Some(start) => {
                self.differences.range(start..).map(|difference| difference.size_bytes).sum()
            }
            None => self.size_bytes,
        }
    }

    fn changes_since(&self, version: ObjectVersion) -> Option<Patch> {
        let start = self.position_of_base(version)?;
        let differences = self.differences.range(start..);
        Some(Patch(
            differences.flat_map(|difference| difference.changes.0.iter().cloned()).collect(),
        ))
    }

    fn position_of_base(&self, version: ObjectVersion) -> Option<usize> {
        self.differences.iter().position(|difference| difference.base_version == version)
    }
}

/// Returns the version that `update` carries, applying its difference to the adopted document.
///
/// # Errors
/// The difference is based on a version other than the adopted one, its changes are invalid, or
/// the result has a different checksum.
pub(crate) fn resolve_update(
    held: Option<&Document>,
    update: &DocumentUpdate,
) -> Result<NewVersion, UpdateError> {
    let (value, changes) = match &update.content {
        DocumentContent::Whole(value) => (value.clone(), None),
        DocumentContent::Difference { base_version, changes } => {
            let held = held.filter(|held| held.version == *base_version);
            let value = apply_changes(held.ok_or(UpdateError::BaseMismatch)?, changes)?;
            (value, Some(changes.clone()))
        }
    };
    let (checksum, _) = checksum_and_size(&value);
    let new = NewVersion { version: update.version, value, changes };
    if checksum == update.checksum { Ok(new) } else { Err(UpdateError::Corrupt) }
}

fn apply_changes(held: &Document, changes: &Patch) -> Result<Value, UpdateError> {
    // Rejects copy operations, since each could double the size of the document;
    // `json_patch::diff` never produces them.
    let copies = |change: &PatchOperation| matches!(change, PatchOperation::Copy(_));
    if changes.0.iter().any(copies) {
        return Err(UpdateError::Corrupt);
    }
    let mut value = Value::clone(&held.value);
    json_patch::patch(&mut value, &changes.0).map_err(|_| UpdateError::Corrupt)?;
    Ok(value)
}

/// Returns the checksum of a content.
pub(crate) fn content_checksum(value: &Value) -> u64 {
    checksum_and_size(value).0
}

fn checksum_and_size(value: &Value) -> (u64, usize) {
    let text = value.to_string();
    (XxHash3_64::oneshot(text.as_bytes()), text.len())
}

/// Returns the size of `changes` in bytes of JSON.
///
/// A patch that cannot be serialized counts as larger than any document, so that it is not kept.
/// That size is only a fraction of `usize::MAX`, so that a sum of sizes does not overflow.
fn json_size_bytes(changes: &Patch) -> usize {
    serde_json::to_vec(changes).map_or(usize::MAX / DIFFERENCES_MAX.pow(2), |text| text.len())
}
