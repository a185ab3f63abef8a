//! Regions: which data centres form them, which VMs are their contacts, and which are reachable.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use twox_hash::XxHash3_64;

use crate::ids::{DataCentreName, RegionName, VmAddress};

use super::message::RegionUpdate;

/// The number of VMs of a region that exchange membership updates with another region.
pub(crate) const CONTACTS_PER_REGION: usize = 3;

const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// The regions of the data centres and the reachability of each region.
///
/// A data centre without a configured region counts as a region of its own. A VM without a
/// configuration therefore suspects only VMs of its own data centre, and cannot declare dead the
/// VMs that a network partition separates from it.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    by_data_centre: BTreeMap<DataCentreName, RegionName>,
    reachability: BTreeMap<RegionName, Reachability>,
}

#[derive(Debug)]
struct Reachability {
    heard_at: Instant,
    latest: RegionUpdate,
}

impl Regions {
    /// Replaces the regions by those of the configuration; returns whether they changed.
    pub(crate) fn assign(&mut self, by_data_centre: BTreeMap<DataCentreName, RegionName>) -> bool {
        if self.by_data_centre == by_data_centre {
            return false;
        }
        self.by_data_centre = by_data_centre;
        self.reachability.clear();
        true
    }

    /// Returns the region of a data centre.
    pub(crate) fn of<'a>(&'a self, data_centre: &'a str) -> &'a str {
        self.by_data_centre.get(data_centre).map_or(data_centre, String::as_str)
    }

    /// Records that a VM of `region` was heard; returns an update to gossip if the region
    /// was marked unreachable.
    pub(crate) fn mark_heard(&mut self, region: &str, now: Instant) -> Option<RegionUpdate> {
        let reachability = self.reachability_of(region, now);
        reachability.heard_at = now;
        (!reachability.latest.reachable).then(|| reachability.set_reachable(true))
    }

    /// Marks `region`, which this VM contacts, unreachable if it was silent for too long; returns
    /// the update to gossip.
    pub(crate) fn check_silence(&mut self, region: &str, now: Instant) -> Option<RegionUpdate> {
        let reachability = self.reachability_of(region, now);
        let silent = now.saturating_duration_since(reachability.heard_at) >= UNREACHABLE_AFTER;
        (silent && reachability.latest.reachable).then(|| reachability.set_reachable(false))
    }

    /// Merges another VM's update; returns whether it was newer.
    pub(crate) fn merge(&mut self, update: &RegionUpdate, now: Instant) -> bool {
        let reachability = self.reachability_of(&update.region, now);
        if update.sequence <= reachability.latest.sequence {
            return false;
        }
        reachability.latest = update.clone();
        if update.reachable {
            reachability.heard_at = now;
        }
        true
    }

    /// Restarts the time-out of each region after this VM was stalled.
    pub(crate) fn restart_waits(&mut self, now: Instant) {
        for reachability in self.reachability.values_mut() {
            reachability.heard_at = now;
        }
    }

    /// Returns the regions that are marked unreachable.
    pub(crate) fn unreachable(&self) -> BTreeSet<RegionName> {
        let unreachable = self.reachability.values().filter(|region| !region.latest.reachable);
        unreachable.map(|region| region.latest.region.clone()).collect()
    }

    fn reachability_of(&mut self, region: &str, now: Instant) -> &mut Reachability {
        self.reachability.entry(region.to_owned()).or_insert_with(|| Reachability {
            heard_at: now,
            latest: RegionUpdate { region: region.to_owned(), sequence: 0, reachable: true },
        })
    }
}

impl Reachability {
    fn set_reachable(&mut self, reachable: bool) -> RegionUpdate {
        self.latest.reachable = reachable;
        self.latest.sequence += 1;
        self.latest.clone()
    }
}

/// Chooses the contacts for `region` among `candidates` by rendezvous hashing.
pub(crate) fn choose_contacts(
    region: &str,
    candidates: impl Iterator<Item = VmAddress>,
) -> Vec<VmAddress> {
    let mut weighted: Vec<(u64, VmAddress)> =
        candidates.map(|address| (rendezvous_weight(region, address), address)).collect();
    weighted.sort_unstable_by(|one, other| other.cmp(one));
    weighted.into_iter().take(CONTACTS_PER_REGION).map(|(_, address)| address).collect()
}

fn rendezvous_weight(region: &str, address: VmAddress) -> u64 {
    XxHash3_64::oneshot(format!("{region} {address}").as_bytes())
}
