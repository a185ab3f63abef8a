//! The handle of one running stand-in upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayastack::{ServiceName, ShardId, SnapshotVersion, UpstreamId};
use papayastack_macros::value;
use twox_hash::XxHash3_64;

use super::behaviour::UpstreamBehaviour;
use super::service::router;
use super::state::{State, UpstreamCounts};
use crate::patch::{PatchError, apply_merge_patch};
use crate::server::{ConnectionGate, Server};

/// The parameters with which a stand-in upstream starts.
#[value]
pub struct UpstreamSpec {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The service whose shards the upstream holds.
    pub service: ServiceName,
    /// The seed of the documents and of the sampled faults.
    pub seed: u64,
    /// The maximum number of requests that run at once.
    pub slots: u32,
    /// The maximum number of connections that are open at once.
    pub connections: u32,
    /// The delay before requests on a new connection are served.
    pub connection_setup_delay: Duration,
    /// The shards that the upstream holds, by snapshot.
    pub shards_by_snapshot: BTreeMap<SnapshotVersion, BTreeSet<ShardId>>,
    /// The behaviour at the start.
    pub behaviour: UpstreamBehaviour,
}

impl UpstreamSpec {
    /// Returns the seed of the sampled faults, which differs between upstreams.
    pub(crate) fn fault_seed(&self) -> u64 {
        let mut hasher = XxHash3_64::with_seed(self.seed);
        hasher.write(self.id.as_bytes());
        hasher.finish()
    }
}

/// A running stand-in upstream; dropping it closes every connection.
pub struct UpstreamStandin {
    state: Arc<State>,
    server: Server,
}

impl UpstreamStandin {
    /// Binds an upstream to `address`; port 0 lets the operating system choose.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, spec: UpstreamSpec) -> std::io::Result<Self> {
        let connections = usize::try_from(spec.connections).unwrap_or(usize::MAX);
        let gate = ConnectionGate::new(connections, spec.connection_setup_delay);
        gate.set_reachable(!spec.behaviour.dead);
        let state = Arc::new(State::new(spec, Arc::clone(&gate)));
        let server = Server::bind(address, gate, router(Arc::clone(&state))).await?;
        Ok(Self { state, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the id.
    pub fn id(&self) -> &UpstreamId {
        &self.state.spec.id
    }

    /// Returns the service.
    pub fn service(&self) -> &ServiceName {
        &self.state.spec.service
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> UpstreamBehaviour {
        self.state.behaviour()
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Changes parts of the behaviour by a JSON merge patch.
    ///
    /// # Errors
    /// The patch has an unknown field or a value of the wrong type.
    pub fn patch_behaviour(&self, patch: &serde_json::Value) -> Result<(), PatchError> {
        self.set_behaviour(apply_merge_patch(&self.behaviour(), patch)?);
        Ok(())
    }

    /// Changes parts of the behaviour.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut UpstreamBehaviour)) {
        let mut behaviour = self.behaviour();
        change(&mut behaviour);
        self.set_behaviour(behaviour);
    }

    /// Adds a snapshot of which the upstream holds `shards`.
    pub fn add_snapshot(&self, snapshot: SnapshotVersion, shards: BTreeSet<ShardId>) {
        self.state.add_snapshot(snapshot, shards);
    }

    /// Removes a snapshot with its documents.
    pub fn retire(&self, snapshot: SnapshotVersion) {
        self.state.retire(snapshot);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> UpstreamCounts {
        self.state.counts()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.gate.open()
    }

    /// Returns how often each submission key has run.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.state.executions()
    }
}
