//! The services and sizes of each deployment.

use std::collections::BTreeSet;

use papayastack::{ShardId, ShardMap, UpstreamId};
use papayastack_macros::{closed_set, value};

/// The first snapshot that a deployment holds.
pub(crate) const FIRST_SNAPSHOT: u64 = 1;

/// A user's deployment of papayastack.
#[closed_set]
pub enum Deployment {
    /// Plazo Claro, three data centres in mx-centro.
    PlazoClaro,
    /// Armor, three data centres in bretagne.
    Armor,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::PlazoClaro, Self::Armor];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::PlazoClaro => "plazo-claro",
            Self::Armor => "armor",
        }
    }

    /// Returns the deployment with a name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|deployment| deployment.name() == name)
    }

    /// Returns the region.
    pub fn region(self) -> &'static str {
        match self {
            Self::PlazoClaro => "mx-centro",
            Self::Armor => "bretagne",
        }
    }

    /// Returns the data centres, which also name the sites.
    pub fn data_centres(self) -> [&'static str; 3] {
        match self {
            Self::PlazoClaro => ["centro-a", "centro-b", "centro-c"],
            Self::Armor => ["rennes", "brest", "vannes"],
        }
    }

    /// Returns the services.
    pub fn services(self) -> Vec<ServiceShape> {
        match self {
            Self::PlazoClaro => vec![
                ServiceShape::one_replica_per_data_centre("deadline-board", 10, 5, 40),
                ServiceShape::one_replica_per_data_centre("reminder-mailer", 15, 5, 40)
                    .with_submissions(),
                ServiceShape::round_robin("grant-archive", 40, 20, 1, 2, 110),
                ServiceShape::round_robin("office-sync", 20, 10, 1, 2, 110),
            ],
            Self::Armor => vec![
                ServiceShape::one_replica_per_data_centre("label-vetting", 10, 3, 30),
                ServiceShape::one_replica_per_data_centre("examiner-portal", 15, 3, 30)
                    .with_submissions(),
                ServiceShape::round_robin("dossier-viewer", 11, 5, 1, 4, 40),
                ServiceShape::round_robin("batch-ledger", 5, 5, 2, 4, 40),
            ],
        }
    }
}

/// The shards, replication and capacity of one service.
#[value]
pub struct ServiceShape {
    /// The service's name.
    pub name: &'static str,
    /// The number of shards of a snapshot.
    pub shards: u32,
    /// The number of upstreams.
    pub upstreams: u32,
    /// The number of shards that each upstream holds.
    pub shards_per_upstream: u32,
    /// The maximum number of requests that one upstream runs at once.
    pub slots: u32,
    /// The maximum number of connections that one upstream has open at once.
    pub connections: u32,
    /// The delay before a new connection is usable, in milliseconds.
    pub new_connection_ms: u64,
    /// Whether the service accepts submissions.
    pub accepts_submissions: bool,
}

impl ServiceShape {
    /// Returns a service of `shard_count` shards, each with one upstream per data centre.
    fn one_replica_per_data_centre(
        name: &'static str,
        shard_count: u32,
        slots: u32,
        connections: u32,
    ) -> Self {
        Self {
            name,
            shards: shard_count,
            upstreams: shard_count * 3,
            shards_per_upstream: 1,
            slots,
            connections,
            new_connection_ms: 6,
            accepts_submissions: false,
        }
    }

    /// Returns a service whose upstreams hold the shards round-robin, `shards_per_upstream` each.
    ///
    /// Eleven upstreams over five shards give the first shard three replicas and the others two.
    fn round_robin(
        name: &'static str,
        upstreams: u32,
        shards: u32,
        shards_per_upstream: u32,
        slots: u32,
        connections: u32,
    ) -> Self {
        Self {
            name,
            shards,
            upstreams,
            shards_per_upstream,
            slots,
            connections,
            new_connection_ms: 1,
            accepts_submissions: false,
        }
    }

    fn with_submissions(mut self) -> Self {
        self.accepts_submissions = true;
        self
    }

    /// Returns the ids of the upstreams, ordered by index.
    pub fn upstream_ids(&self) -> Vec<UpstreamId> {
        (0..self.upstreams).map(|index| format!("{}-{index:02}", self.name)).collect()
    }

    /// Returns the zero-based replica number that an upstream has within its shard.
    pub fn replica_index(&self, upstream: &str) -> Option<u32> {
        let index: u32 = upstream.rsplit_once('-')?.1.parse().ok()?;
        Some(index / self.shards)
    }

    /// Returns the index, in [`Deployment::data_centres`], of the data centre of upstream `index`.
    pub fn data_centre_index(&self, index: u32) -> usize {
        // With one shard per upstream, the replicas of a shard are `shards` indexes apart; adding
        // the round gives them different data centres even if `shards` is a multiple of three.
        let round = index / self.shards;
        usize::try_from((index % self.shards + round) % 3).unwrap_or(0)
    }

    /// Returns the shards that upstream `index` holds in a snapshot of `shards` shards.
    pub fn shards_held_by(&self, index: u32, shards: u32) -> BTreeSet<ShardId> {
        // If there are more shards than upstreams, the assignment wraps around the upstreams.
        let rounds = shards.div_ceil(self.upstreams);
        (0..self.shards_per_upstream)
            .flat_map(|offset| {
                (0..rounds).map(move |round| index + offset + round * self.upstreams)
            })
            .map(|position| position % shards)
            .collect()
    }

    /// Returns the shard map of a snapshot of `shards` shards.
    pub fn shard_map(&self, shards: u32) -> ShardMap {
        let mut map = ShardMap::new();
        for (index, id) in (0_u32..).zip(self.upstream_ids()) {
            for shard in self.shards_held_by(index, shards) {
                map.entry(shard).or_default().push(id.clone());
            }
        }
        map
    }
}
