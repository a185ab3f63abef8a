//! The running handle of one stand-in upstream.

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
use crate::patch::{PatchError, merged};
use crate::server::{ConnectionGate, Server};

/// What a stand-in upstream is.
#[value]
pub struct UpstreamSpec {
    /// Its id.
    pub id: UpstreamId,
    /// The service whose shards it holds.
    pub service: ServiceName,
    /// The seed of the index and of its chances.
    pub seed: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes at once.
    pub connections: u32,
    /// The delay before a new connection is usable.
    pub connection_setup: Duration,
    /// The shards that it holds, by snapshot.
    pub held: BTreeMap<SnapshotVersion, BTreeSet<ShardId>>,
    /// How it behaves at first.
    pub behaviour: UpstreamBehaviour,
}

impl UpstreamSpec {
    /// Returns the seed of the chances, which differs between upstreams.
    pub(crate) fn chance_seed(&self) -> u64 {
        let mut hasher = XxHash3_64::with_seed(self.seed);
        hasher.write(self.id.as_bytes());
        hasher.finish()
    }
}

/// A running stand-in upstream; dropping it cuts every connection.
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
        let gate = ConnectionGate::new(connections, spec.connection_setup);
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

    /// Returns the behaviour now.
    pub fn behaviour(&self) -> UpstreamBehaviour {
        self.state.behaviour()
    }

    /// Switches the behaviour.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Changes parts of the behaviour by a JSON merge patch.
    ///
    /// # Errors
    /// The patch names an unknown field or a value of the wrong type.
    pub fn patch_behaviour(&self, change: &serde_json::Value) -> Result<(), PatchError> {
        self.set_behaviour(merged(&self.behaviour(), change)?);
        Ok(())
    }

    /// Changes parts of the behaviour.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut UpstreamBehaviour)) {
        let mut behaviour = self.behaviour();
        change(&mut behaviour);
        self.set_behaviour(behaviour);
    }

    /// Makes the upstream hold shards of a snapshot.
    pub fn hold(&self, snapshot: SnapshotVersion, shards: BTreeSet<ShardId>) {
        self.state.hold(snapshot, shards);
    }

    /// Drops a snapshot.
    pub fn retire(&self, snapshot: SnapshotVersion) {
        self.state.retire(snapshot);
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> UpstreamCounts {
        self.state.counts()
    }

    /// Returns the connections open now.
    pub fn connections(&self) -> usize {
        self.state.gate.open()
    }

    /// Returns how often each submission key ran.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.state.executions()
    }
}
