//! Which VMs of a region watch the platform.

use twox_hash::XxHash3_64;

use crate::ids::VmAddress;
use crate::membership::{Member, MemberView};
use crate::settings::Settings;

/// Returns the place of `own` in the order in which the live VMs of its region are chosen to
/// watch, zero first; `None` where it is not live.
///
/// Before the first configuration no regions are known, and all VMs count as one region.
pub(crate) fn watcher_rank(
    own: VmAddress,
    view: &MemberView,
    settings: Option<&Settings>,
) -> Option<usize> {
    let region_of = |member: &Member| {
        let data_centre = settings?.data_centres.get(&member.data_centre)?;
        Some(data_centre.region.as_str())
    };
    let own_member = view.live().find(|member| member.identity.address == own)?;
    let region = region_of(own_member);
    let own_score = score(own);
    let before = view.live().filter(|member| {
        let address = member.identity.address;
        region_of(member) == region && (score(address), address) > (own_score, own)
    });
    Some(before.count())
}

fn score(address: VmAddress) -> u64 {
    XxHash3_64::oneshot(format!("configuration\0{address}").as_bytes())
}
