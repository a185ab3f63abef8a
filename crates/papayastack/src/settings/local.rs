//! The local settings of one VM.

use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, SiteName};

/// The startup settings of one VM: its location, its listen addresses, its peers and its keys.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
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
    /// Link addresses of other VMs, contacted in addition to those that the platform lists, so that
    /// a VM at a new address can join during an outage of the platform.
    #[serde(default)]
    pub peer_addresses: Vec<SocketAddr>,
    /// The system's keys as text: the first one signs, and signatures by any of them are accepted.
    pub system_keys: Vec<String>,
}

impl LocalSettings {
    /// Returns the settings of a VM on loopback with ports that the operating system chooses.
    ///
    /// The site is named like the data centre.
    pub fn on_loopback(data_centre: &str, platform: SocketAddr, system_key: &str) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            site: data_centre.to_owned(),
            data_centre: data_centre.to_owned(),
            link_address: any_port,
            caller_address: any_port,
            operator_address: any_port,
            platform_addresses: vec![platform],
            peer_addresses: Vec::new(),
            system_keys: vec![system_key.to_owned()],
        }
    }
}

impl std::fmt::Debug for LocalSettings {
    /// Leaves the keys out, so that they never reach a log.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("LocalSettings")
            .field("site", &self.site)
            .field("data_centre", &self.data_centre)
            .field("link_address", &self.link_address)
            .field("caller_address", &self.caller_address)
            .field("operator_address", &self.operator_address)
            .field("platform_addresses", &self.platform_addresses)
            .field("peer_addresses", &self.peer_addresses)
            .field("system_keys", &format_args!("{} keys", self.system_keys.len()))
            .finish()
    }
}
