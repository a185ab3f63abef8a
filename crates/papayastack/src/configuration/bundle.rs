//! The bundle that one conditional update accepts, and its result on one VM.

use std::collections::BTreeMap;
use std::sync::Arc;

use papayastack_macros::{message, value};

use crate::catalogue::Catalogue;
use crate::ids::{ServiceName, SiteName};
use crate::settings::Settings;

/// The kind of the platform object that holds the bundle.
pub const CONFIGURATION_KIND: &str = "configuration";
/// The name of the platform object that holds the bundle.
pub const CONFIGURATION_NAME: &str = "bundle";

/// Earlier changes that a bundle names.
pub const EARLIER_CHANGES_MAX: usize = 32;

/// Base and overlays, accepted together.
#[message]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Identifies the change that made this bundle, so that a lost answer can be resolved.
    pub change_id: String,
    /// The changes before this one, the latest first, so that a lost answer can be resolved after
    /// a later change too; at most [`EARLIER_CHANGES_MAX`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier_change_ids: Vec<String>,
    /// The base settings.
    pub base: serde_json::Value,
    /// A JSON merge patch for each site.
    pub overlays: BTreeMap<SiteName, serde_json::Value>,
}

impl Bundle {
    /// Returns what a reader sees: base and overlays without the record of changes.
    pub fn content(&self) -> serde_json::Value {
        serde_json::json!({ "base": self.base, "overlays": self.overlays })
    }

    /// Returns whether change `change_id` made this bundle or one before it.
    pub fn includes_change(&self, change_id: &str) -> bool {
        self.change_id == change_id || self.earlier_change_ids.iter().any(|id| id == change_id)
    }

    /// Returns this bundle as the successor of `current`.
    pub(crate) fn after(mut self, current: Option<&Self>) -> Self {
        let earlier = current.iter().flat_map(|current| {
            std::iter::once(&current.change_id).chain(&current.earlier_change_ids)
        });
        self.earlier_change_ids = earlier.take(EARLIER_CHANGES_MAX).cloned().collect();
        self
    }
}

/// What is in force on this VM; requests keep the value that they began with.
#[value]
pub struct InForce {
    /// The platform's version of the bundle.
    pub configuration_version: u64,
    /// The settings of this VM's site.
    pub settings: Arc<Settings>,
    /// The catalogues by service.
    pub catalogues: BTreeMap<ServiceName, Arc<Catalogue>>,
}
