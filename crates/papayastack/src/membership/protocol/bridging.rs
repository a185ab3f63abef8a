//! Contacts between regions: a few VMs of each region, chosen by rendezvous, speak for it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use crate::ids::{RegionName, VmAddress};
use crate::membership::message::Update;
use crate::membership::regions::contacts;
use crate::membership::updates::UpdateQueue;

use super::{MembershipProtocol, ViewChange};

const CONTACT_INTERVAL: Duration = Duration::from_millis(500);
const COMPARE_EVERY_CONTACTS: u64 = 20;
const TRANSMISSIONS_ACROSS: u32 = 4;

/// The regions that this VM is a contact for.
#[derive(Debug)]
pub(super) struct Bridges {
    by_region: BTreeMap<RegionName, Bridge>,
    next_at: Instant,
    contacts_made: u64,
    generation: Option<u64>,
}

/// One region that this VM is a contact for.
#[derive(Debug, Default)]
struct Bridge {
    receivers: Vec<VmAddress>,
    updates: UpdateQueue,
}

impl Bridges {
    pub(super) fn new(now: Instant) -> Self {
        Self { by_region: BTreeMap::new(), next_at: now, contacts_made: 0, generation: None }
    }

    /// Queues news for every region; suspicions and reachability concern one region alone.
    pub(super) fn enqueue(&mut self, update: &Update) {
        match update {
            Update::Claim(claim) if !claim.dead => return,
            Update::Region(_) => return,
            Update::Record(_) | Update::Claim(_) | Update::Version(_) => {}
        }
        for bridge in self.by_region.values_mut() {
            bridge.updates.push(update.clone());
        }
    }

    pub(super) fn take(&mut self, region: &str, bytes_max: usize) -> Vec<Update> {
        let bridge = self.by_region.get_mut(region);
        bridge.map_or_else(Vec::new, |it| it.updates.take(bytes_max, TRANSMISSIONS_ACROSS, 1))
    }

    pub(super) fn receivers(&self) -> impl Iterator<Item = VmAddress> {
        self.by_region.values().filter_map(|bridge| bridge.receivers.first()).copied()
    }
}

impl MembershipProtocol {
    /// Probes one contact of each region that this VM is a contact for.
    pub(super) fn contact_regions(&mut self, now: Instant) {
        if now < self.bridges.next_at {
            return;
        }
        self.bridges.next_at = now + CONTACT_INTERVAL;
        self.choose_bridges();
        self.bridges.contacts_made += 1;
        let compares = self.bridges.contacts_made.is_multiple_of(COMPARE_EVERY_CONTACTS);
        let regions: Vec<RegionName> = self.bridges.by_region.keys().cloned().collect();
        for region in regions {
            let receivers = &self.bridges.by_region[&region].receivers;
            let Some(receiver) = receivers.choose(&mut self.random).copied() else { continue };
            self.send_probe(receiver);
            if compares {
                self.send_comparison(receiver, true);
            }
            if let Some(note) = self.regions.check(&region, now) {
                self.enqueue(Update::Region(note));
                self.raise_change(ViewChange::Members);
            }
        }
    }

    /// Notes that a VM of `data_centre` was heard, if that lies in another region.
    pub(super) fn note_region_heard(&mut self, data_centre: &str, now: Instant) {
        let region = self.regions.of(data_centre).to_owned();
        if region == self.regions.of(&self.own.data_centre) {
            return;
        }
        if let Some(note) = self.regions.heard(&region, now) {
            self.enqueue(Update::Region(note));
            self.raise_change(ViewChange::Members);
        }
    }

    /// Decides again which regions this VM is a contact for, if members have changed.
    fn choose_bridges(&mut self) {
        let generation = self.peers.generation();
        if self.bridges.generation == Some(generation) {
            return;
        }
        self.bridges.generation = Some(generation);
        let own_region = self.regions.of(&self.own.data_centre);
        let mut remote: BTreeMap<RegionName, Vec<VmAddress>> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| !peer.is_dead()) {
            let region = self.regions.of(&peer.record.data_centre);
            if region != own_region {
                remote.entry(region.to_owned()).or_default().push(peer.record.identity.address);
            }
        }
        let own = self.own.identity.address;
        let mut earlier = std::mem::take(&mut self.bridges.by_region);
        for (region, members) in remote {
            let near = self.peers.neighbours().iter().copied().chain([own]);
            if !contacts(&region, near).contains(&own) {
                continue;
            }
            let receivers = contacts(own_region, members.into_iter());
            let updates = earlier.remove(&region).unwrap_or_default().updates;
            self.bridges.by_region.insert(region, Bridge { receivers, updates });
        }
    }
}
