//! The catalogue of snapshots: which snapshots a service has and which upstreams hold each shard.
//!
//! The platform keeps one object per service, kind `catalogue`, name the service's; whoever
//! builds the index writes it. Versions only rise.

use std::collections::BTreeMap;

use papayastack_macros::message;

use crate::ids::{ShardId, SnapshotVersion, UpstreamId};

/// The kind of the platform objects that hold catalogues.
pub const CATALOGUE_KIND: &str = "catalogue";

/// Maps each shard to the upstreams that hold it.
pub type ShardMap = BTreeMap<ShardId, Vec<UpstreamId>>;

/// The snapshots of one service that upstreams hold now.
#[message]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// The snapshots with their shard maps; queries pin the highest.
    pub snapshots: BTreeMap<SnapshotVersion, ShardMap>,
}

impl Catalogue {
    /// Returns the newest snapshot with its shard map; `None` in an empty catalogue.
    pub fn newest(&self) -> Option<(SnapshotVersion, &ShardMap)> {
        self.snapshots.last_key_value().map(|(version, shards)| (*version, shards))
    }
}
