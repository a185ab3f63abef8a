//! The choice of the VM addresses that a caller receives.

use std::collections::BTreeMap;
use std::time::Duration;

use papayastack_macros::closed_set;
use rand::Rng;

use crate::caller::AddressesAnswer;
use crate::ids::{DataCentreName, VmAddress};
use crate::membership::{Member, MemberView};
use crate::settings::DataCentreSettings;

/// The maximum number of addresses in one answer.
pub const ADDRESSES_MAX: usize = 8;

/// The places in a full answer that are kept for addresses in other data centres.
const OTHER_DATA_CENTRES_MIN: usize = 2;
/// The share of the lifetime by which answers differ, so that callers do not all refresh at once.
const LIFETIME_SPREAD: f64 = 0.2;
const LOAD_FULL_PERMILLE: f64 = 1_000.0;
/// The smallest weight of a VM, so that a VM at full load still comes first sometimes.
const WEIGHT_MIN: f64 = 0.05;

/// The load of a VM in thousandths of its capacity.
pub type LoadPermille = u32;

/// What an answer depends on besides the members.
#[derive(Debug, Clone, Copy)]
pub struct AddressQuery<'a> {
    /// The data centre that the caller prefers.
    pub data_centre: Option<&'a str>,
    /// The known data centres with their regions.
    pub data_centres: &'a BTreeMap<DataCentreName, DataCentreSettings>,
    /// The reported loads; a VM without one counts as idle.
    pub loads: &'a BTreeMap<VmAddress, LoadPermille>,
    /// The longest time that a caller may keep the answer.
    pub lifetime_max: Duration,
}

/// Chooses addresses for a caller: nearest first, in random order among equally near ones.
///
/// Members that are leaving are left out, and so are those of a region that this VM cannot reach:
/// the view keeps them however long they are off. A busy VM comes first less often than an idle one.
pub fn choose_addresses(
    view: &MemberView,
    query: &AddressQuery<'_>,
    random: &mut impl Rng,
) -> AddressesAnswer {
    let mut ranked: Vec<(Nearness, f64, &Member)> = view
        .live()
        .filter(|member| !is_unreachable(member, view, query))
        .map(|member| (nearness(member, query), sampling_key(member, query, random), member))
        .collect();
    ranked.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
    let chosen = truncated(ranked.into_iter().map(|(_, _, member)| member).collect());
    let shortened = 1.0 - random.random_range(0.0..LIFETIME_SPREAD);
    AddressesAnswer {
        addresses: chosen.iter().map(|member| member.caller_address).collect(),
        data_centres: chosen.iter().map(|member| member.data_centre.clone()).collect(),
        lifetime_ms: query.lifetime_max.mul_f64(shortened).as_millis() as u64,
    }
}

/// How near a VM is to the caller, nearest first.
#[closed_set]
enum Nearness {
    DataCentre,
    Region,
    Elsewhere,
}

/// Tells whether no VM of the member's region answers.
fn is_unreachable(member: &Member, view: &MemberView, query: &AddressQuery<'_>) -> bool {
    let region = region_of(&member.data_centre, query);
    region.is_some_and(|region| view.unreachable_regions.contains(region))
}

fn nearness(member: &Member, query: &AddressQuery<'_>) -> Nearness {
    let region = region_of(&member.data_centre, query);
    let Some(preferred) = query.data_centre else { return Nearness::Elsewhere };
    if member.data_centre == preferred {
        return Nearness::DataCentre;
    }
    match region {
        Some(region) if region_of(preferred, query) == Some(region) => Nearness::Region,
        Some(_) | None => Nearness::Elsewhere,
    }
}

fn region_of<'a>(data_centre: &str, query: &AddressQuery<'a>) -> Option<&'a str> {
    query.data_centres.get(data_centre).map(|settings| settings.region.as_str())
}

/// Draws a random key for a weighted shuffle: the lowest goes first, and a higher weight lowers it.
fn sampling_key(member: &Member, query: &AddressQuery<'_>, random: &mut impl Rng) -> f64 {
    let load_permille = query.loads.get(&member.identity.address).copied().unwrap_or_default();
    let weight = (1.0 - f64::from(load_permille) / LOAD_FULL_PERMILLE).max(WEIGHT_MIN);
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() / weight
}

/// Truncates the list to `ADDRESSES_MAX` and keeps some addresses outside the first one's data
/// centre.
fn truncated(ranked: Vec<&Member>) -> Vec<&Member> {
    if ranked.len() <= ADDRESSES_MAX {
        return ranked;
    }
    let first = ranked[0].data_centre.clone();
    let (head, tail) = ranked.split_at(ADDRESSES_MAX - OTHER_DATA_CENTRES_MIN);
    let (elsewhere, same): (Vec<&Member>, Vec<&Member>) =
        tail.iter().partition(|member| member.data_centre != first);
    head.iter().copied().chain(elsewhere).chain(same).take(ADDRESSES_MAX).collect()
}
