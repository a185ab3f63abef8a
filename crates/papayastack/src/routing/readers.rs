//! Selection of the VMs of a region that read the platform's store for the others.

use std::collections::BTreeMap;

use twox_hash::XxHash3_64;

use crate::ids::{DataCentreName, VmAddress};
use crate::membership::{Member, MemberView};
use crate::settings::DataCentreSettings;

/// Returns the live VMs of the region of `own_address`, ordered by hash as in rendezvous hashing; the
/// first ones read the store. A VM that leaves is not among them. Returns `None` if the VM is unknown.
///
/// Without `data_centres` the regions are unknown, and all VMs count as one region.
pub(crate) fn readers_first(
    own_address: VmAddress,
    view: &MemberView,
    data_centres: Option<&BTreeMap<DataCentreName, DataCentreSettings>>,
) -> Option<Vec<VmAddress>> {
    let region_of = |member: &Member| {
        let data_centre = data_centres?.get(&member.data_centre)?;
        Some(data_centre.region.as_str())
    };
    let region = region_of(view.members.get(&own_address)?);
    let in_region = view.live().filter(|member| region_of(member) == region);
    let mut ranked: Vec<(u64, VmAddress)> =
        in_region.map(|member| (score(member.identity.address), member.identity.address)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    Some(ranked.into_iter().map(|(_, address)| address).collect())
}

fn score(address: VmAddress) -> u64 {
    XxHash3_64::oneshot(format!("configuration\0{address}").as_bytes())
}
