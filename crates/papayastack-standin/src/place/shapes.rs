//! The shape of each place.

use std::collections::BTreeSet;

use papayastack::{ShardId, ShardMap, UpstreamId};
use papayastack_macros::{closed_set, value};

/// The first snapshot that a place holds.
pub(crate) const FIRST_SNAPSHOT: u64 = 1;

/// A user's place.
#[closed_set]
pub enum Place {
    /// Plazo Claro, three data centres in mx-centro.
    PlazoClaro,
    /// Armor, three data centres in bretagne.
    Armor,
}

impl Place {
    /// All places.
    pub const ALL: [Self; 2] = [Self::PlazoClaro, Self::Armor];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::PlazoClaro => "plazo-claro",
            Self::Armor => "armor",
        }
    }

    /// Finds a place by its name on the command line.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|place| place.name() == name)
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
                ServiceShape::instances("deadline-board", 10, 5, 40),
                ServiceShape::instances("reminder-mailer", 15, 5, 40).with_submissions(),
                ServiceShape::spread("grant-archive", 40, 20, 1, 2, 110),
                ServiceShape::spread("office-sync", 20, 10, 1, 2, 110),
            ],
            Self::Armor => vec![
                ServiceShape::instances("label-vetting", 10, 3, 30),
                ServiceShape::instances("examiner-portal", 15, 3, 30).with_submissions(),
                ServiceShape::spread("dossier-viewer", 11, 5, 1, 4, 40),
                ServiceShape::spread("batch-ledger", 5, 5, 2, 4, 40),
            ],
        }
    }
}

/// The shape of one service.
#[value]
pub struct ServiceShape {
    /// The service's name.
    pub name: &'static str,
    /// Shards of a snapshot.
    pub shards: u32,
    /// Upstreams in all.
    pub upstreams: u32,
    /// Shards that each upstream holds.
    pub shards_per_upstream: u32,
    /// Requests that one upstream runs at once.
    pub slots: u32,
    /// Connections that one upstream takes at once.
    pub connections: u32,
    /// The cost of a new connection in milliseconds.
    pub new_connection_ms: u64,
    /// Whether the service accepts submissions.
    pub accepts_submissions: bool,
}

impl ServiceShape {
    /// Describes a service of `instances` shards, each with one upstream per data centre.
    fn instances(name: &'static str, instances: u32, slots: u32, connections: u32) -> Self {
        Self {
            name,
            shards: instances,
            upstreams: instances * 3,
            shards_per_upstream: 1,
            slots,
            connections,
            new_connection_ms: 6,
            accepts_submissions: false,
        }
    }

    /// Describes a service whose upstreams take the shards in turn, `shards_per_upstream` each.
    ///
    /// Eleven upstreams over five shards give the first shard three replicas and the others two.
    fn spread(
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

    /// Returns the ids of the upstreams in their order.
    pub fn upstream_ids(&self) -> Vec<UpstreamId> {
        (0..self.upstreams).map(|index| format!("{}-{index:02}", self.name)).collect()
    }

    /// Returns which replica of its shard an upstream is, counted from 0.
    pub fn replica_of(&self, upstream: &str) -> Option<u32> {
        let index: u32 = upstream.rsplit_once('-')?.1.parse().ok()?;
        Some(index / self.shards)
    }

    /// Returns the index of the data centre, of three, that upstream `index` runs in.
    pub fn data_centre_index(&self, index: u32) -> usize {
        // Successive replicas of one shard stand `shards` apart; the round number moves them to
        // different data centres where `shards` is a multiple of three.
        let round = index / self.shards;
        usize::try_from((index % self.shards + round) % 3).unwrap_or(0)
    }

    /// Returns the shards, of `shards` in the snapshot, that upstream `index` holds.
    pub fn held_by(&self, index: u32, shards: u32) -> BTreeSet<ShardId> {
        // With more shards than upstreams, each upstream takes every n-th shard as well.
        let rounds = shards.div_ceil(self.upstreams);
        (0..self.shards_per_upstream)
            .flat_map(|neighbour| {
                (0..rounds).map(move |round| index + neighbour + round * self.upstreams)
            })
            .map(|position| position % shards)
            .collect()
    }

    /// Returns the shard map of a snapshot of `shards` shards.
    pub fn shard_map(&self, shards: u32) -> ShardMap {
        let mut map = ShardMap::new();
        for (index, id) in (0_u32..).zip(self.upstream_ids()) {
            for shard in self.held_by(index, shards) {
                map.entry(shard).or_default().push(id.clone());
            }
        }
        map
    }
}
