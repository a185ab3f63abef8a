//! The directory: shards, replicas and owners resolved from configuration and membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use papayastack_macros::value;

use super::rendezvous::owner_order;
use crate::configuration::InForce;
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

/// Where an upstream is and who owns it.
#[value]
pub struct UpstreamPlace {
    /// The upstream's name across VMs.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Concurrent requests that it takes.
    pub slots: u32,
    /// The VMs that may own it, the owner first.
    pub owners: Vec<VmAddress>,
}

/// Gives each upstream a number that stays the same while the process runs.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    indices: BTreeMap<UpstreamId, UpstreamIndex>,
}

impl UpstreamRegistry {
    /// Returns the number of `id`, giving it one where it has none.
    pub fn index_of(&mut self, id: &UpstreamId) -> UpstreamIndex {
        let next = UpstreamIndex::try_from(self.indices.len()).unwrap_or(UpstreamIndex::MAX);
        *self.indices.entry(id.clone()).or_insert(next)
    }
}

/// The resolved view that queries pin; replaced whole when configuration or membership changes.
#[value]
#[derive(Default)]
pub struct Directory {
    /// The upstreams by number.
    pub upstreams: BTreeMap<UpstreamIndex, UpstreamPlace>,
    /// The numbers of the upstreams by name.
    pub indices: BTreeMap<UpstreamId, UpstreamIndex>,
    /// The newest snapshot of each service with its shards.
    pub newest: BTreeMap<ServiceName, (SnapshotVersion, Arc<Vec<ShardReplicas>>)>,
}

impl Directory {
    /// Resolves what is in force against the members.
    pub fn resolve(in_force: &InForce, view: &MemberView, registry: &mut UpstreamRegistry) -> Self {
        let mut directory = Self::default();
        for (service, settings) in &in_force.settings.services {
            for (id, upstream) in &settings.upstreams {
                let index = registry.index_of(id);
                let place = UpstreamPlace {
                    id: id.clone(),
                    service: service.clone(),
                    address: upstream.address,
                    slots: settings.slots_per_upstream,
                    owners: owner_order(id, &upstream.data_centre, view),
                };
                directory.indices.insert(id.clone(), index);
                directory.upstreams.insert(index, place);
            }
            directory.resolve_snapshot(service, in_force);
        }
        directory
    }

    fn resolve_snapshot(&mut self, service: &ServiceName, in_force: &InForce) {
        let catalogue = in_force.catalogues.get(service);
        let Some((snapshot, shards)) = catalogue.and_then(|catalogue| catalogue.newest()) else {
            return;
        };
        let resolved = shards.iter().map(|(shard, ids)| ShardReplicas {
            shard: *shard,
            replicas: ids.iter().filter_map(|id| self.indices.get(id).copied()).collect(),
        });
        self.newest.insert(service.clone(), (snapshot, Arc::new(resolved.collect())));
    }
}
