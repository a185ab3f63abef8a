//! The directory: shards, replicas and owners resolved from configuration and membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use papayastack_macros::value;

use super::owners::{OwnerPlace, OwnerTable, Owners};
use crate::configuration::ActiveConfiguration;
use crate::ids::{ServiceName, ShardId, SnapshotVersion, UpstreamId, VmAddress};
use crate::membership::MemberView;

/// Numbers an upstream within one process.
pub type UpstreamIndex = u32;

/// The replicas of one shard.
#[value]
pub struct ShardReplicas {
    /// The shard.
    pub shard: ShardId,
    /// The upstreams that hold it.
    pub replicas: Vec<UpstreamIndex>,
}

/// Where an upstream is and where its owners are found.
#[value]
pub struct UpstreamPlace {
    /// The upstream's name across VMs.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Concurrent requests that it takes.
    pub slots: u32,
    /// Where its owners are found.
    pub owners: OwnerPlace,
}

/// The upstreams of one configuration.
#[value]
#[derive(Default)]
pub struct UpstreamPlaces {
    /// The upstreams by number.
    pub by_index: BTreeMap<UpstreamIndex, UpstreamPlace>,
    /// The numbers of the upstreams by name.
    pub indices: BTreeMap<Arc<str>, UpstreamIndex>,
    /// The newest snapshot of each service with its shards.
    pub newest: BTreeMap<ServiceName, (SnapshotVersion, Arc<Vec<ShardReplicas>>)>,
}

/// The resolved view that queries pin; a change of members shares all but the owners.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The upstreams, replaced when the configuration changes.
    pub places: Arc<UpstreamPlaces>,
    /// The owners, replaced when the members change.
    pub owners: Owners,
}

impl Directory {
    /// Returns an upstream with its number.
    pub fn named(&self, id: &str) -> Option<(UpstreamIndex, &UpstreamPlace)> {
        let index = *self.places.indices.get(id)?;
        Some((index, self.places.by_index.get(&index)?))
    }

    /// Iterates over the VMs that may own an upstream, the owner first.
    pub fn owners_of(&self, place: &UpstreamPlace) -> impl Iterator<Item = VmAddress> + '_ {
        self.owners.of(place.owners)
    }
}

/// Resolves the directory again as configuration and members change.
#[derive(Debug, Default)]
pub struct DirectorySource {
    indices: BTreeMap<Arc<str>, UpstreamIndex>,
    table: OwnerTable,
    places: Arc<UpstreamPlaces>,
}

impl DirectorySource {
    /// Starts without configuration and members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the configuration in force.
    pub fn set_in_force(&mut self, in_force: &ActiveConfiguration) {
        let mut places = UpstreamPlaces::default();
        let mut located = Vec::new();
        for settings in in_force.settings.services.values() {
            for (id, upstream) in &settings.upstreams {
                let (id, index) = self.named_index(id);
                places.indices.insert(Arc::clone(&id), index);
                located.push((index, id, &upstream.data_centre));
            }
        }
        let owners = self.table.set_upstreams(
            located.iter().map(|(index, id, data_centre)| (*index, id.as_ref(), *data_centre)),
        );
        let mut located = located.into_iter();
        for (service, settings) in &in_force.settings.services {
            let name: Arc<str> = Arc::from(service.as_str());
            for (upstream, (index, id, _)) in settings.upstreams.values().zip(&mut located) {
                let place = UpstreamPlace {
                    id,
                    service: Arc::clone(&name),
                    address: upstream.address,
                    slots: settings.slots_per_upstream,
                    owners: owners[&index],
                };
                places.by_index.insert(index, place);
            }
            resolve_snapshot(&mut places, service, in_force);
        }
        self.places = Arc::new(places);
    }

    /// Takes the members.
    pub fn set_members(&mut self, view: &MemberView) {
        self.table.set_members(view);
    }

    /// Returns the directory as it is now.
    pub fn directory(&self) -> Directory {
        Directory { places: Arc::clone(&self.places), owners: self.table.owners() }
    }

    /// Returns the name and the number of an upstream, which stay the same while the process runs.
    fn named_index(&mut self, id: &UpstreamId) -> (Arc<str>, UpstreamIndex) {
        if let Some((id, index)) = self.indices.get_key_value(id.as_str()) {
            return (Arc::clone(id), *index);
        }
        let id: Arc<str> = Arc::from(id.as_str());
        let index = UpstreamIndex::try_from(self.indices.len()).unwrap_or(UpstreamIndex::MAX);
        self.indices.insert(Arc::clone(&id), index);
        (id, index)
    }
}

fn resolve_snapshot(
    places: &mut UpstreamPlaces,
    service: &ServiceName,
    in_force: &ActiveConfiguration,
) {
    let catalogue = in_force.catalogues.get(service);
    let Some((snapshot, shards)) = catalogue.and_then(|catalogue| catalogue.newest()) else {
        return;
    };
    let resolved = shards.iter().map(|(shard, ids)| ShardReplicas {
        shard: *shard,
        replicas: ids.iter().filter_map(|id| places.indices.get(id.as_str()).copied()).collect(),
    });
    let resolved = Arc::new(resolved.collect());
    places.newest.insert(service.clone(), (snapshot, resolved));
}
