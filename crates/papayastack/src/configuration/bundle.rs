//! The configuration bundle, and the configuration that a VM derives from it.

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

/// Maximum number of earlier change ids that a bundle records.
pub const EARLIER_CHANGES_MAX: usize = 32;

/// The base settings and the overlays of all sites, which one update replaces together.
#[message]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The id of the change that produced this bundle; after a lost answer, it shows whether the
    /// change took effect.
    pub change_id: String,
    /// The ids of the preceding changes, latest first, at most [`EARLIER_CHANGES_MAX`]; they show
    /// whether a change took effect even if a later one has replaced it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier_change_ids: Vec<String>,
    /// The base settings.
    pub base: serde_json::Value,
    /// A JSON merge patch (RFC 7396) for each site.
    pub overlays: BTreeMap<SiteName, serde_json::Value>,
}

impl Bundle {
    /// Returns base and overlays without the change ids.
    pub fn content(&self) -> serde_json::Value {
        serde_json::json!({ "base": self.base, "overlays": self.overlays })
    }

    /// Returns whether `change_id` is the id of this bundle's change or of a recorded earlier one.
    pub fn includes_change(&self, change_id: &str) -> bool {
        self.change_id == change_id || self.earlier_change_ids.iter().any(|id| id == change_id)
    }

    /// Returns this bundle with the change ids of `current` recorded as earlier ones.
    pub(crate) fn succeeding(mut self, current: Option<&Self>) -> Self {
        let earlier = current.iter().flat_map(|current| {
            std::iter::once(&current.change_id).chain(&current.earlier_change_ids)
        });
        self.earlier_change_ids = earlier.take(EARLIER_CHANGES_MAX).cloned().collect();
        self
    }
}

/// The configuration in force on this VM; a request uses the one it began with to its end.
#[value]
pub struct ActiveConfiguration {
    /// The version of the bundle's platform object.
    pub configuration_version: u64,
    /// The settings of this VM's site.
    pub settings: Arc<Settings>,
    /// The catalogue of each service that has one.
    pub catalogues: BTreeMap<ServiceName, Arc<Catalogue>>,
}
