//! Selection of the VMs of a region that watch the platform.

use twox_hash::XxHash3_64;

use crate::ids::VmAddress;
use crate::membership::{Member, MemberView};
use crate::settings::Settings;

/// Returns the rank of `own_address` among the live VMs of its region, ordered by hash as in
/// rendezvous hashing; the lowest ranks watch the platform. Returns `None` if the VM is not live.
///
/// Before the first configuration the regions are unknown, and all VMs count as one region.
pub(crate) fn watcher_rank(
    own_address: VmAddress,
    view: &MemberView,
    settings: Option<&Settings>,
) -> Option<usize> {
    let region_of = |member: &Member| {
        let data_centre = settings?.data_centres.get(&member.data_centre)?;
        Some(data_centre.region.as_str())
    };
    let own_member = view.live().find(|member| member.identity.address == own_address)?;
    let region = region_of(own_member);
    let own_score = score(own_address);
    let before = view.live().filter(|member| {
        let address = member.identity.address;
        region_of(member) == region && (score(address), address) > (own_score, own_address)
    });
    Some(before.count())
}

fn score(address: VmAddress) -> u64 {
    XxHash3_64::oneshot(format!("configuration\0{address}").as_bytes())
}
