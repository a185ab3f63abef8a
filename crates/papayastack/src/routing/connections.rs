//! How many connections each VM may open to an upstream that accepts a limited number of all VMs
//! together.

use papayastack_macros::value;

/// The connections that the VMs may open to one upstream.
#[value]
#[derive(Copy)]
pub struct ConnectionShares {
    /// The connections of each VM.
    pub each: u32,
    /// The connections that each owner of the upstream may open in addition. It also uses them for
    /// requests of VMs that have no connection left.
    pub owner_extra: u32,
}

impl ConnectionShares {
    /// Divides the connections that an upstream accepts among `vms` VMs.
    pub fn divide(connections_max: u32, vms: u32) -> Self {
        Self { each: (connections_max / vms.max(1)).max(1), owner_extra: 0 }
    }

    /// Returns the most connections of one VM.
    pub fn of_vm(&self, is_owner: bool) -> u32 {
        if is_owner { self.each + self.owner_extra } else { self.each }
    }
}
