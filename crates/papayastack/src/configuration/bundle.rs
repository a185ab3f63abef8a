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

/// Base and overlays, accepted together.
#[message]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Identifies the change that made this bundle, so that a lost answer can be resolved.
    pub change_id: String,
    /// The base settings.
    pub base: serde_json::Value,
    /// A JSON merge patch for each site.
    pub overlays: BTreeMap<SiteName, serde_json::Value>,
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
