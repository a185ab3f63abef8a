//! The messages by which VMs tell each other of configuration and catalogues.

use json_patch::Patch;
use papayastack_macros::message;
use serde_json::Value;

use crate::platform::{ObjectName, ObjectVersion};

/// What one VM says to another about the documents of the configuration.
#[message]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationMessage {
    /// Says which versions the sender holds; the receiver sends what is newer and asks for what
    /// it lacks itself.
    Digest {
        /// The documents that the sender holds or has judged.
        held: Vec<HeldDocument>,
        /// Whether the sender holds nothing besides `held`.
        complete: bool,
        /// The time since the platform last answered a VM that the sender has heard of, in
        /// milliseconds.
        platform_silence_ms: Option<u64>,
    },
    /// Brings a newer version of a document.
    Update(DocumentUpdate),
}

/// One document as its holder describes it.
#[message]
pub struct HeldDocument {
    /// The document.
    pub name: ObjectName,
    /// The version that the holder has adopted; zero where it has none.
    pub version: ObjectVersion,
    /// The highest version that the holder has adopted or refused.
    pub judged_version: ObjectVersion,
}

/// A newer version of a document.
#[message]
pub struct DocumentUpdate {
    /// The document.
    pub name: ObjectName,
    /// Its version.
    pub version: ObjectVersion,
    /// The checksum of its whole content.
    pub checksum: u64,
    /// The content.
    pub content: DocumentContent,
}

/// How an update carries a document.
#[message]
#[serde(rename_all = "snake_case")]
pub enum DocumentContent {
    /// The whole document.
    Whole(Value),
    /// What has changed since an earlier version.
    Difference {
        /// The version that the difference applies to.
        base_version: ObjectVersion,
        /// The changes in their order.
        changes: Patch,
    },
}
