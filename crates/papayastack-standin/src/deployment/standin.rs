//! All stand-in upstreams of one deployment in one process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use papayastack::{
    Bundle, Catalogue, DataCentreSettings, Platform, PlatformError, ServiceName, ServiceSettings,
    SnapshotVersion, UpstreamId, UpstreamSettings,
};
use papayastack_macros::value;
use serde_json::json;

use super::publish::{publish_bundle, publish_catalogue, unpublish_snapshot};
use super::shapes::{Deployment, FIRST_SNAPSHOT, ServiceShape};
use crate::upstream::{UpstreamBehaviour, UpstreamSpec, UpstreamStandin};

/// The options with which the stand-ins of a deployment start.
#[value]
#[derive(Default)]
pub struct DeploymentOptions {
    /// The seed of the documents and of the sampled faults.
    pub seed: u64,
    /// The services to start; all of them if empty.
    pub services: BTreeSet<ServiceName>,
    /// The behaviour of the upstreams at the start.
    pub behaviour: UpstreamBehaviour,
}

/// The running upstreams of one deployment.
pub struct DeploymentStandin {
    deployment: Deployment,
    seed: u64,
    shapes: BTreeMap<ServiceName, ServiceShape>,
    upstreams: BTreeMap<UpstreamId, UpstreamStandin>,
    data_centres: BTreeMap<UpstreamId, &'static str>,
    catalogues: BTreeMap<ServiceName, Catalogue>,
}

impl DeploymentStandin {
    /// Binds every upstream of a deployment to loopback, at ports chosen by the operating system.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub async fn bind(deployment: Deployment, options: DeploymentOptions) -> std::io::Result<Self> {
        let is_selected = |shape: &ServiceShape| {
            options.services.is_empty() || options.services.contains(shape.name)
        };
        let mut standin = Self {
            deployment,
            seed: options.seed,
            shapes: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            data_centres: BTreeMap::new(),
            catalogues: BTreeMap::new(),
        };
        for shape in deployment.services().into_iter().filter(is_selected) {
            standin.bind_service(shape, &options).await?;
        }
        Ok(standin)
    }

    async fn bind_service(
        &mut self,
        shape: ServiceShape,
        options: &DeploymentOptions,
    ) -> std::io::Result<()> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for (index, id) in (0_u32..).zip(shape.upstream_ids()) {
            let data_centre = self.deployment.data_centres()[shape.data_centre_index(index)];
            let spec = UpstreamSpec {
                id: id.clone(),
                service: shape.name.to_owned(),
                seed: options.seed,
                slots: shape.slots,
                connections: shape.connections,
                connection_setup_delay: Duration::from_millis(shape.new_connection_ms),
                shards_by_snapshot: BTreeMap::from([(
                    FIRST_SNAPSHOT,
                    shape.shards_held_by(index, shape.shards),
                )]),
                behaviour: options.behaviour.clone(),
            };
            self.upstreams.insert(id.clone(), UpstreamStandin::bind(any_port, spec).await?);
            self.data_centres.insert(id, data_centre);
        }
        let snapshots = BTreeMap::from([(FIRST_SNAPSHOT, shape.shard_map(shape.shards))]);
        self.catalogues.insert(shape.name.to_owned(), Catalogue { snapshots });
        self.shapes.insert(shape.name.to_owned(), shape);
        Ok(())
    }

    /// Returns the deployment.
    pub fn deployment(&self) -> Deployment {
        self.deployment
    }

    /// Returns the seed.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns the shapes of the services.
    pub fn shapes(&self) -> &BTreeMap<ServiceName, ServiceShape> {
        &self.shapes
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> &BTreeMap<UpstreamId, UpstreamStandin> {
        &self.upstreams
    }

    /// Iterates over the upstreams of one service.
    pub fn upstreams_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a UpstreamStandin> {
        self.upstreams.values().filter(move |upstream| upstream.service() == service)
    }

    /// Returns the data centre of an upstream.
    pub fn data_centre(&self, upstream: &str) -> Option<&'static str> {
        self.data_centres.get(upstream).copied()
    }

    /// Returns the local catalogues, including changes that could not be published.
    pub fn catalogues(&self) -> &BTreeMap<ServiceName, Catalogue> {
        &self.catalogues
    }

    /// Returns how often each submission key has run, summed over all upstreams.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for (key, count) in self.upstreams.values().flat_map(UpstreamStandin::executions) {
            *sum.entry(key).or_default() += count;
        }
        sum
    }

    /// Returns the configuration bundle with the addresses of the running upstreams.
    pub fn bundle(&self) -> Bundle {
        let region = self.deployment.region().to_owned();
        let data_centres: BTreeMap<_, _> = self
            .deployment
            .data_centres()
            .into_iter()
            .map(|name| (name, DataCentreSettings { region: region.clone() }))
            .collect();
        let services: BTreeMap<_, _> = self
            .shapes
            .iter()
            .map(|(name, shape)| (name.clone(), self.service_settings(shape)))
            .collect();
        Bundle {
            change_id: format!("standin-{}-{}", self.deployment.name(), self.seed),
            earlier_change_ids: Vec::new(),
            base: json!({ "data_centres": data_centres, "services": services }),
            overlays: BTreeMap::new(),
        }
    }

    /// Publishes the configuration bundle and all catalogues.
    ///
    /// # Errors
    /// The platform refused an update.
    pub async fn publish(&self, platform: &dyn Platform) -> Result<(), PlatformError> {
        for (service, catalogue) in &self.catalogues {
            for (snapshot, shard_map) in &catalogue.snapshots {
                publish_catalogue(platform, service, *snapshot, shard_map.clone()).await?;
            }
        }
        publish_bundle(platform, &self.bundle()).await.map(|_| ())
    }

    /// Creates the next snapshot of a service, with `shards` shards, and publishes it; earlier
    /// snapshots stay until they are retired.
    ///
    /// # Errors
    /// The deployment does not run the service, or the platform refused the update.
    pub async fn repartition(
        &mut self,
        platform: &dyn Platform,
        service: &str,
        shards: u32,
    ) -> Result<SnapshotVersion, PlatformError> {
        let shape = self.shapes.get(service).ok_or(PlatformError::NotFound)?;
        let catalogue = self.catalogues.get_mut(service).ok_or(PlatformError::NotFound)?;
        let snapshot = catalogue.newest().map_or(FIRST_SNAPSHOT, |(version, _)| version + 1);
        for (index, id) in (0_u32..).zip(shape.upstream_ids()) {
            self.upstreams[&id].add_snapshot(snapshot, shape.shards_held_by(index, shards));
        }
        let shard_map = shape.shard_map(shards);
        catalogue.snapshots.insert(snapshot, shard_map.clone());
        publish_catalogue(platform, service, snapshot, shard_map).await?;
        Ok(snapshot)
    }

    /// Removes a snapshot from every upstream of a service, then from its catalogue.
    ///
    /// # Errors
    /// The deployment does not run the service, or the platform refused the update.
    pub async fn retire(
        &mut self,
        platform: &dyn Platform,
        service: &str,
        snapshot: SnapshotVersion,
    ) -> Result<(), PlatformError> {
        let catalogue = self.catalogues.get_mut(service).ok_or(PlatformError::NotFound)?;
        catalogue.snapshots.remove(&snapshot);
        for upstream in self.upstreams.values().filter(|upstream| upstream.service() == service) {
            upstream.retire(snapshot);
        }
        unpublish_snapshot(platform, service, snapshot).await.map(|_| ())
    }

    fn service_settings(&self, shape: &ServiceShape) -> ServiceSettings {
        let upstreams = self
            .upstreams_of(shape.name)
            .map(|upstream| {
                let settings = UpstreamSettings {
                    data_centre: self.data_centres[upstream.id()].to_owned(),
                    address: upstream.address(),
                };
                (upstream.id().clone(), settings)
            })
            .collect();
        ServiceSettings {
            slots_per_upstream: shape.slots,
            connections_per_upstream: shape.connections,
            new_connection_ms: shape.new_connection_ms,
            accepts_submissions: shape.accepts_submissions,
            upstreams,
        }
    }
}
