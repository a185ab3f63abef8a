//! The gossip messages by which VMs exchange the configuration bundle and the catalogues.

use json_patch::Patch;
use papayastack_macros::message;
use serde_json::Value;

use crate::platform::{ObjectName, ObjectVersion};

/// A gossip message about configuration documents: the bundle and the catalogues.
#[message]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationMessage {
    /// The versions that the sender holds; the receiver replies with newer versions and requests
    /// those that it lacks.
    Digest {
        /// The documents that the sender has adopted, refused or still needs.
        held: Vec<HeldDocument>,
        /// Whether `held` lists all documents of the sender, so that it lacks any other.
        complete: bool,
        /// The milliseconds since the latest platform answer that the sender knows of, to itself or
        /// to another VM; `None` if it knows of none.
        platform_silence_ms: Option<u64>,
    },
    /// A newer version of a document.
    Update(DocumentUpdate),
}

/// The versions of one document on one VM.
#[message]
pub struct HeldDocument {
    /// The name of the document.
    pub name: ObjectName,
    /// The version that the VM has adopted; zero if none.
    pub version: ObjectVersion,
    /// The highest version that the VM has adopted or refused; zero if none.
    pub judged_version: ObjectVersion,
}

/// A newer version of a document.
#[message]
pub struct DocumentUpdate {
    /// The name of the document.
    pub name: ObjectName,
    /// The version that the update carries.
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
    /// The changes since an earlier version.
    Difference {
        /// The version that the difference applies to.
        base_version: ObjectVersion,
        /// The changes, in the order in which they apply.
        changes: Patch,
    },
}
