//! One document at its adopted version, with the differences from recent versions.

use std::collections::VecDeque;
use std::sync::Arc;

use json_patch::{Patch, PatchOperation};
use papayastack_macros::value;
use serde_json::Value;
use twox_hash::XxHash3_64;

use super::message::{DocumentContent, DocumentUpdate};
use crate::platform::{Object, ObjectName, ObjectVersion};

/// Differences kept for peers that are a few versions behind.
const STEPS_MAX: usize = 64;

/// A document at its adopted version.
#[value]
pub(crate) struct Document {
    /// The platform's version.
    pub version: ObjectVersion,
    /// The content.
    pub value: Arc<Value>,
    /// The checksum of the content.
    pub checksum: u64,
    size_bytes: usize,
    steps: VecDeque<Step>,
}

/// A version that may replace the one that is held.
#[value]
pub(crate) struct NewVersion {
    /// The platform's version.
    pub version: ObjectVersion,
    /// The content.
    pub value: Value,
    /// What has changed since the version that is held, where that is known already.
    pub changes: Option<Patch>,
}

impl From<Object> for NewVersion {
    fn from(object: Object) -> Self {
        Self { version: object.version, value: object.value, changes: None }
    }
}

/// What changed from one adopted version to the next.
#[value]
struct Step {
    from: ObjectVersion,
    changes: Patch,
    size_bytes: usize,
}

/// Says why an update cannot be applied to the document that is held.
#[value]
pub(crate) enum ApplyError {
    /// The difference applies to another version than the one held.
    OtherBase,
    /// The result is not what the sender holds.
    Damaged,
}

impl Document {
    /// Holds the first version that becomes known.
    pub(crate) fn new(version: ObjectVersion, value: Value) -> Self {
        let (checksum, size_bytes) = fingerprint(&value);
        let steps = VecDeque::new();
        Self { version, value: Arc::new(value), checksum, size_bytes, steps }
    }

    /// Returns the document at a later version, keeping the differences that lead there.
    pub(crate) fn advance(&self, new: NewVersion) -> Self {
        let NewVersion { version, value, changes } = new;
        let (checksum, size_bytes) = fingerprint(&value);
        let changes = changes.unwrap_or_else(|| json_patch::diff(&self.value, &value));
        let step = Step { from: self.version, size_bytes: json_size(&changes), changes };
        let mut steps = self.steps.clone();
        steps.push_back(step);
        let mut kept_bytes: usize = steps.iter().map(|step| step.size_bytes).sum();
        while steps.len() > STEPS_MAX || kept_bytes > size_bytes {
            let Some(oldest) = steps.pop_front() else { break };
            kept_bytes -= oldest.size_bytes;
        }
        Self { version, value: Arc::new(value), checksum, size_bytes, steps }
    }

    /// Returns the version before the held one, where the difference from it is kept.
    pub(crate) fn previous_version(&self) -> Option<ObjectVersion> {
        self.steps.back().map(|step| step.from)
    }

    /// Writes the update for a peer that holds `peer_version`: the difference where it is kept,
    /// the whole document otherwise.
    ///
    /// Steps whose sum exceeds the whole document are dropped by [`Document::advance`], so a
    /// difference is never larger than the whole.
    pub(crate) fn update_since(
        &self,
        name: &ObjectName,
        peer_version: Option<ObjectVersion>,
    ) -> DocumentUpdate {
        let difference = peer_version.and_then(|version| self.changes_since(version));
        let content = match (difference, peer_version) {
            (Some(changes), Some(base_version)) => {
                DocumentContent::Difference { base_version, changes }
            }
            _ => DocumentContent::Whole(Value::clone(&self.value)),
        };
        let (version, checksum) = (self.version, self.checksum);
        DocumentUpdate { name: name.clone(), version, checksum, content }
    }

    /// Returns the size of the update that [`Document::update_since`] would write, in bytes of
    /// JSON.
    pub(crate) fn update_size_bytes(&self, peer_version: Option<ObjectVersion>) -> usize {
        let start = peer_version.and_then(|version| self.step_from(version));
        match start {
            Some(start) => self.steps.range(start..).map(|step| step.size_bytes).sum(),
            None => self.size_bytes,
        }
    }

    fn changes_since(&self, version: ObjectVersion) -> Option<Patch> {
        let start = self.step_from(version)?;
        let steps = self.steps.range(start..);
        Some(Patch(steps.flat_map(|step| step.changes.0.iter().cloned()).collect()))
    }

    fn step_from(&self, version: ObjectVersion) -> Option<usize> {
        self.steps.iter().position(|step| step.from == version)
    }
}

/// Returns the version that `update` stands for.
///
/// # Errors
/// A difference from another version than the one held, or a result with another checksum.
pub(crate) fn content_of(
    held: Option<&Document>,
    update: &DocumentUpdate,
) -> Result<NewVersion, ApplyError> {
    let (value, changes) = match &update.content {
        DocumentContent::Whole(value) => (value.clone(), None),
        DocumentContent::Difference { base_version, changes } => {
            let held = held.filter(|held| held.version == *base_version);
            let value = apply(held.ok_or(ApplyError::OtherBase)?, changes)?;
            (value, Some(changes.clone()))
        }
    };
    let (checksum, _) = fingerprint(&value);
    let new = NewVersion { version: update.version, value, changes };
    if checksum == update.checksum { Ok(new) } else { Err(ApplyError::Damaged) }
}

fn apply(held: &Document, changes: &Patch) -> Result<Value, ApplyError> {
    // Repeated copies could double the document with each operation; `diff` makes none.
    let copies = |change: &PatchOperation| matches!(change, PatchOperation::Copy(_));
    if changes.0.iter().any(copies) {
        return Err(ApplyError::Damaged);
    }
    let mut value = Value::clone(&held.value);
    json_patch::patch(&mut value, &changes.0).map_err(|_| ApplyError::Damaged)?;
    Ok(value)
}

fn fingerprint(value: &Value) -> (u64, usize) {
    let text = value.to_string();
    (XxHash3_64::oneshot(text.as_bytes()), text.len())
}

fn json_size(changes: &Patch) -> usize {
    serde_json::to_vec(changes).map_or(usize::MAX / STEPS_MAX.pow(2), |text| text.len())
}
