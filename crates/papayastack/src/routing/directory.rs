//! The directory of shards, replicas and owners, resolved from configuration and membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use papayastack_macros::value;

use super::owners::{OwnerTable, Owners, OwnersKey};
use crate::configuration::ActiveConfiguration;
use crate::ids::{ServiceName, ShardId, SnapshotVersion, UpstreamId, VmAddress};
use crate::membership::MemberView;

/// The number of an upstream within one process.
pub type UpstreamIndex = u32;

/// The replicas of one shard.
#[value]
pub struct ShardReplicas {
    /// The shard.
    pub shard: ShardId,
    /// The upstreams that hold it.
    pub replicas: Vec<UpstreamIndex>,
}

/// An upstream with its address, its limits and the key to its owners.
#[value]
pub struct ResolvedUpstream {
    /// The upstream's name across VMs.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The key to its owners in [`Owners`].
    pub owners: OwnersKey,
}

/// The upstreams of one configuration.
#[value]
#[derive(Default)]
pub struct ResolvedUpstreams {
    /// The upstreams by index.
    pub by_index: BTreeMap<UpstreamIndex, ResolvedUpstream>,
    /// The indices of the upstreams by name.
    pub indices: BTreeMap<Arc<str>, UpstreamIndex>,
    /// The newest snapshot of each service with its shards.
    pub newest: BTreeMap<ServiceName, (SnapshotVersion, Arc<Vec<ShardReplicas>>)>,
}

/// A snapshot of the upstreams and their owners, used by a query from start to end.
///
/// A clone is cheap, and a change of members replaces only the owners.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The upstreams, replaced when the configuration changes.
    pub upstreams: Arc<ResolvedUpstreams>,
    /// The owners, replaced when the members change.
    pub owners: Owners,
}

impl Directory {
    /// Returns the upstream of this name with its index.
    pub fn find_upstream(&self, id: &str) -> Option<(UpstreamIndex, &ResolvedUpstream)> {
        let index = *self.upstreams.indices.get(id)?;
        Some((index, self.upstreams.by_index.get(&index)?))
    }

    /// Iterates over the candidate owners of an upstream, the current owner first.
    pub fn owners_of(&self, resolved: &ResolvedUpstream) -> impl Iterator<Item = VmAddress> + '_ {
        self.owners.of(resolved.owners)
    }
}

/// Builds the [`Directory`] and updates it when the configuration or the members change.
#[derive(Debug, Default)]
pub struct DirectoryResolver {
    indices: BTreeMap<Arc<str>, UpstreamIndex>,
    table: OwnerTable,
    upstreams: Arc<ResolvedUpstreams>,
}

impl DirectoryResolver {
    /// Starts without configuration and members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the active configuration.
    pub fn set_configuration(&mut self, configuration: &ActiveConfiguration) {
        let mut upstreams = ResolvedUpstreams::default();
        let mut numbered = Vec::new();
        for settings in configuration.settings.services.values() {
            for (id, upstream) in &settings.upstreams {
                let (id, index) = self.index_of(id);
                upstreams.indices.insert(Arc::clone(&id), index);
                numbered.push((index, id, &upstream.data_centre));
            }
        }
        let owners = self.table.set_upstreams(
            numbered.iter().map(|(index, id, data_centre)| (*index, id.as_ref(), *data_centre)),
        );
        let mut numbered = numbered.into_iter();
        for (service, settings) in &configuration.settings.services {
            let name: Arc<str> = Arc::from(service.as_str());
            for (upstream, (index, id, _)) in settings.upstreams.values().zip(&mut numbered) {
                let resolved = ResolvedUpstream {
                    id,
                    service: Arc::clone(&name),
                    address: upstream.address,
                    slots: settings.slots_per_upstream,
                    owners: owners[&index],
                };
                upstreams.by_index.insert(index, resolved);
            }
            resolve_snapshot(&mut upstreams, service, configuration);
        }
        self.upstreams = Arc::new(upstreams);
    }

    /// Sets the members.
    pub fn set_members(&mut self, view: &MemberView) {
        self.table.set_members(view);
    }

    /// Returns the current directory.
    pub fn directory(&self) -> Directory {
        Directory { upstreams: Arc::clone(&self.upstreams), owners: self.table.owners() }
    }

    /// Returns the interned name and the index of an upstream, assigning an index to a new name.
    ///
    /// An index is never reused while the process runs.
    fn index_of(&mut self, id: &UpstreamId) -> (Arc<str>, UpstreamIndex) {
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
    upstreams: &mut ResolvedUpstreams,
    service: &ServiceName,
    configuration: &ActiveConfiguration,
) {
    let catalogue = configuration.catalogues.get(service);
    let Some((snapshot, shards)) = catalogue.and_then(|catalogue| catalogue.newest()) else {
        return;
    };
    let resolved = shards.iter().map(|(shard, ids)| ShardReplicas {
        shard: *shard,
        replicas: ids.iter().filter_map(|id| upstreams.indices.get(id.as_str()).copied()).collect(),
    });
    let resolved = Arc::new(resolved.collect());
    upstreams.newest.insert(service.clone(), (snapshot, resolved));
}
