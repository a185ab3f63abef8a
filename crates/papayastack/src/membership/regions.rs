//! Regions: which data centre lies where, which VMs stand for a region, and which regions answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use twox_hash::XxHash3_64;

use crate::ids::{DataCentreName, RegionName, VmAddress};

use super::message::RegionNote;

/// VMs of a region that speak for it towards another region.
pub(crate) const CONTACTS_PER_REGION: usize = 3;

const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// What is known about regions; a data centre without a known region is a region by itself.
///
/// A VM that has no configuration yet therefore judges only its own data centre, and can't declare
/// dead what lies across a cut.
#[derive(Debug, Default)]
pub(crate) struct Regions {
    by_data_centre: BTreeMap<DataCentreName, RegionName>,
    reach: BTreeMap<RegionName, Reach>,
}

#[derive(Debug)]
struct Reach {
    heard_at: Instant,
    note: RegionNote,
}

impl Regions {
    /// Takes the regions of the configuration and says whether they changed.
    pub(crate) fn assign(&mut self, by_data_centre: BTreeMap<DataCentreName, RegionName>) -> bool {
        if self.by_data_centre == by_data_centre {
            return false;
        }
        self.by_data_centre = by_data_centre;
        self.reach.clear();
        true
    }

    /// Returns the region of a data centre.
    pub(crate) fn of<'a>(&'a self, data_centre: &'a str) -> &'a str {
        self.by_data_centre.get(data_centre).map_or(data_centre, String::as_str)
    }

    /// Notes that a VM of `region` was heard; returns a note to spread if the region is back.
    pub(crate) fn heard(&mut self, region: &str, now: Instant) -> Option<RegionNote> {
        let reach = self.reach_of(region, now);
        reach.heard_at = now;
        (!reach.note.reachable).then(|| reach.turn(true))
    }

    /// Returns a note to spread if `region`, which this VM contacts, has fallen silent.
    pub(crate) fn check(&mut self, region: &str, now: Instant) -> Option<RegionNote> {
        let reach = self.reach_of(region, now);
        let silent = now.saturating_duration_since(reach.heard_at) >= UNREACHABLE_AFTER;
        (silent && reach.note.reachable).then(|| reach.turn(false))
    }

    /// Takes another VM's note and says whether it is news.
    pub(crate) fn merge(&mut self, note: &RegionNote, now: Instant) -> bool {
        let reach = self.reach_of(&note.region, now);
        if note.sequence <= reach.note.sequence {
            return false;
        }
        reach.note = note.clone();
        if note.reachable {
            reach.heard_at = now;
        }
        true
    }

    /// Restarts the waits for regions after this VM stood still.
    pub(crate) fn stalled(&mut self, now: Instant) {
        for reach in self.reach.values_mut() {
            reach.heard_at = now;
        }
    }

    /// Returns the regions that do not answer.
    pub(crate) fn unreachable(&self) -> BTreeSet<RegionName> {
        let unreachable = self.reach.values().filter(|reach| !reach.note.reachable);
        unreachable.map(|reach| reach.note.region.clone()).collect()
    }

    fn reach_of(&mut self, region: &str, now: Instant) -> &mut Reach {
        self.reach.entry(region.to_owned()).or_insert_with(|| Reach {
            heard_at: now,
            note: RegionNote { region: region.to_owned(), sequence: 0, reachable: true },
        })
    }
}

impl Reach {
    fn turn(&mut self, reachable: bool) -> RegionNote {
        self.note.reachable = reachable;
        self.note.sequence += 1;
        self.note.clone()
    }
}

/// Chooses by rendezvous the VMs among `candidates` that deal with `region`.
pub(crate) fn contacts(
    region: &str,
    candidates: impl Iterator<Item = VmAddress>,
) -> Vec<VmAddress> {
    let mut weighed: Vec<(u64, VmAddress)> =
        candidates.map(|address| (weight(region, address), address)).collect();
    weighed.sort_unstable_by(|one, other| other.cmp(one));
    weighed.into_iter().take(CONTACTS_PER_REGION).map(|(_, address)| address).collect()
}

fn weight(region: &str, address: VmAddress) -> u64 {
    XxHash3_64::oneshot(format!("{region} {address}").as_bytes())
}
