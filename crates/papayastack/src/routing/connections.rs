//! How many connections each VM may open to an upstream that accepts a limited number of all VMs
//! together.

use papayastack_macros::value;

use super::owners::OWNERS_KEPT;

/// The part of the connections that is used, in thousandths. The rest is for VMs that start: the
/// others learn of them a moment later, and until then do not make room.
const USED_PERMILLE: u32 = 875;
/// The equal share from which on a VM needs no connections of other VMs.
const AMPLE_SHARE: u32 = 4;
/// The part of the connections that is divided equally where equal shares are not ample, in
/// thousandths; the rest belongs to the upstream's owners.
const EQUAL_PART_PERMILLE: u32 = 750;
/// How many sets of owners may hold connections at a time. VMs learn of each other at different
/// times, and a frozen owner keeps its connections while another VM takes its place.
const OWNER_SETS: u32 = 3;

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
    ///
    /// Where equal shares are small, owners get a part, so that a VM whose share is in use or zero
    /// can send through an owner.
    pub fn divide(connections_max: u32, vms: u32) -> Self {
        let vms = vms.max(1);
        let used = part(connections_max, USED_PERMILLE);
        let equal = used / vms;
        if equal >= AMPLE_SHARE {
            return Self { each: equal, owner_extra: 0 };
        }
        let each = part(used, EQUAL_PART_PERMILLE) / vms;
        let rest = used - each * vms;
        let owners = OWNERS_KEPT as u32 * OWNER_SETS;
        Self { each, owner_extra: (rest / owners).max(1) }
    }

    /// Returns the most connections of one VM.
    pub fn of_vm(&self, is_owner: bool) -> u32 {
        if is_owner { self.each + self.owner_extra } else { self.each }
    }
}

fn part(connections: u32, permille: u32) -> u32 {
    let part = u64::from(connections) * u64::from(permille) / 1_000;
    u32::try_from(part).unwrap_or(connections)
}
