//! The settings of one VM that forwards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, RegionName};
use crate::query::RepeatWindowSettings;

/// What one forwarding VM is told when it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the VM, for logs.
    pub vm: String,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentreName,
    /// The region of each data centre.
    pub data_centres: BTreeMap<DataCentreName, RegionName>,
    /// The address for callers' requests.
    pub caller_address: SocketAddr,
    /// The address that tells whether callers are served.
    pub ready_address: SocketAddr,
    /// The address that answers which addresses callers may use.
    pub directory_address: SocketAddr,
    /// The address for datagrams between VMs.
    pub link_address: SocketAddr,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The keys of the system as text; the first one signs, all are accepted.
    pub system_keys: Vec<String>,
    /// How long callers may keep an answer about addresses at most, in seconds.
    pub address_lifetime_max_s: u64,
    /// The time between the order to stop and the kill, in seconds.
    pub stop_grace_s: u64,
    /// How many repeats a service may get from the whole system.
    pub repeats: RepeatSettings,
}

/// How many repeats a service may get from the whole system within a window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatSettings {
    /// The length of the window in seconds.
    pub window_s: u64,
    /// Repeats for each request.
    pub per_request: f64,
    /// Repeats beside those.
    pub extra: u32,
}

impl RepeatSettings {
    /// Returns the bound in the types of the decisions.
    pub(crate) fn window_settings(&self) -> RepeatWindowSettings {
        RepeatWindowSettings {
            window: Duration::from_secs(self.window_s),
            repeats_permille: (self.per_request * 1_000.0) as u32,
            repeats_extra: self.extra,
        }
    }
}
