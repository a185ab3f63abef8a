//! The catalogue of a service: its index snapshots, and the upstreams that hold each shard.
//!
//! The platform stores one object of kind `catalogue` per service, named after the service and
//! written by the index builder. Snapshot versions only increase.

use std::collections::BTreeMap;

use papayastack_macros::message;

use crate::ids::{ShardId, SnapshotVersion, UpstreamId};

/// The kind of the platform objects that store catalogues.
pub const CATALOGUE_KIND: &str = "catalogue";

/// The upstreams that hold each shard.
pub type ShardMap = BTreeMap<ShardId, Vec<UpstreamId>>;

/// The snapshots of one service that its upstreams currently hold.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// The shard map of each snapshot; a new query uses the highest version.
    pub snapshots: BTreeMap<SnapshotVersion, ShardMap>,
}

impl Catalogue {
    /// Returns the newest snapshot with its shard map; `None` in an empty catalogue.
    pub fn newest(&self) -> Option<(SnapshotVersion, &ShardMap)> {
        self.snapshots.last_key_value().map(|(version, shards)| (*version, shards))
    }
}
