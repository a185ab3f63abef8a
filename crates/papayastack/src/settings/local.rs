//! The settings that belong to one VM alone.

use std::net::SocketAddr;

use papayastack_macros::message;

use crate::ids::{DataCentreName, SiteName};

/// What one VM is told when it starts: who it is and where the platform is.
#[message]
#[serde(deny_unknown_fields)]
pub struct LocalSettings {
    /// The site whose overlay applies.
    pub site: SiteName,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentreName,
    /// The address for links and datagrams between VMs.
    pub link_address: SocketAddr,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The platform's addresses.
    pub platform_addresses: Vec<SocketAddr>,
    /// The system's keys as text; the first one signs, all are accepted.
    pub system_keys: Vec<String>,
}
