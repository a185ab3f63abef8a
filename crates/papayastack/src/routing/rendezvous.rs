//! Rendezvous hashing of upstreams over the live VMs.

use twox_hash::XxHash3_64;

use crate::ids::VmAddress;
use crate::membership::{Member, MemberView};

/// Returns the live VMs in the order in which they may own `upstream`, the current owner first.
///
/// VMs in the upstream's own data centre come before all others, so that a request crosses between
/// data centres only once. When a VM leaves or fails, only the upstreams that it owned move.
pub fn owner_order(upstream: &str, data_centre: &str, view: &MemberView) -> Vec<VmAddress> {
    let mut ranked: Vec<(bool, u64, VmAddress)> = view
        .live()
        .map(|member| {
            let remote = member.data_centre != data_centre;
            (remote, u64::MAX - score(upstream, member), member.identity.address)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

/// Returns how many of an upstream's `slots` each VM may use when `live_vms` dispatch directly.
///
/// Each VM gets at least one slot, so the sum of the shares may exceed the slots; the upstream then
/// sheds the excess.
pub fn direct_share(slots: u32, live_vms: usize) -> u32 {
    let live_vms = u32::try_from(live_vms.max(1)).unwrap_or(u32::MAX);
    (slots / live_vms).max(1)
}

fn score(upstream: &str, member: &Member) -> u64 {
    let mut input = upstream.as_bytes().to_vec();
    input.push(0);
    input.extend_from_slice(member.identity.address.to_string().as_bytes());
    XxHash3_64::oneshot(&input)
}
