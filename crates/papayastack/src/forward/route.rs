//! Routes: which services a request goes to, and what may be repeated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use papayastack_macros::{closed_set, value};

use crate::ids::ServiceName;

/// One version of the routes, complete in itself.
#[value]
pub struct RouteDocument {
    /// The version; a later document has a higher one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

/// What is configured for one service.
#[value]
#[derive(Copy)]
pub struct ServiceEntry {
    /// Connections that one upstream takes from all VMs together.
    pub connections_max: u32,
}

/// What callers may send, and how long they may take.
#[value]
#[derive(Copy)]
pub struct CallerLimits {
    /// The largest head of a request in bytes.
    pub head_max_bytes: usize,
    /// The largest body of a request in bytes.
    pub body_max_bytes: usize,
    /// How long a head may take from its first byte.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One route.
#[value]
pub struct Route {
    /// Names the route.
    pub name: String,
    /// The host that the request names.
    pub host: String,
    /// What the path begins with; it begins and ends with a slash.
    pub path_prefix: String,
    /// Where requests go.
    pub target: RouteTarget,
    /// What may be repeated.
    pub kind: RequestKind,
    /// How long a request may be kept waiting.
    pub timeout: Duration,
    /// Within which time an answer is of full use.
    pub goal: Duration,
    /// The rank among the routes, 0 the most urgent.
    pub priority: u32,
    /// The most upstreams of one service that one request is sent to.
    pub attempts_max: u32,
}

/// Where the requests of a route go.
#[value]
pub enum RouteTarget {
    /// To one upstream of a service.
    Service(ServiceName),
    /// To one upstream of one of several services.
    Split(Vec<SplitPart>),
    /// To one upstream of each of several services, whose parts make up the answer.
    Shards(ShardTarget),
}

/// One service of a split route.
#[value]
pub struct SplitPart {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other parts'.
    pub weight: u32,
}

/// The shards of a route and what an answer must hold.
#[value]
pub struct ShardTarget {
    /// The services, one for each shard.
    pub services: Arc<[ServiceName]>,
    /// The most records of an answer.
    pub records_max: usize,
    /// The least share of the shards that an answer covers, in millionths.
    pub covered_min_ppm: u32,
}

/// What may be repeated.
#[closed_set]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
}

impl ShardTarget {
    /// Returns the least number of shards that an answer covers.
    pub fn covered_min(&self) -> usize {
        let shards = self.services.len() as u64;
        let needed = (shards * u64::from(self.covered_min_ppm)).div_ceil(1_000_000);
        usize::try_from(needed).unwrap_or(usize::MAX).max(1)
    }
}

impl RouteDocument {
    /// Tells whether some route sends requests to a service.
    pub fn uses(&self, service: &str) -> bool {
        self.routes.iter().any(|route| match &route.target {
            RouteTarget::Service(name) => name == service,
            RouteTarget::Split(parts) => parts.iter().any(|part| part.service == service),
            RouteTarget::Shards(shards) => shards.services.iter().any(|name| name == service),
        })
    }
}

/// The routes of one document, ready for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    document: RouteDocument,
    /// Positions of the routes of each host, the longest prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Prepares the look-ups.
    pub fn new(document: RouteDocument) -> Self {
        let mut by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (position, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|position| {
                std::cmp::Reverse(document.routes[*position].path_prefix.len())
            });
        }
        Self { document, by_host }
    }

    /// Returns the document.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// Finds the route of a request: of those of the host, the one with the longest prefix.
    pub fn find(self: &Arc<Self>, host: &str, path: &str) -> Option<PinnedRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
        let begins =
            |position: &usize| path.starts_with(&self.document.routes[*position].path_prefix);
        let position = self.by_host.get(&host)?.iter().copied().find(begins)?;
        Some(PinnedRoute { table: Arc::clone(self), position })
    }
}

/// A route with the version of the routes that it is of, which a request keeps to its end.
#[derive(Debug, Clone)]
pub struct PinnedRoute {
    table: Arc<RouteTable>,
    position: usize,
}

impl PinnedRoute {
    /// Returns the document that the route is of.
    pub fn document(&self) -> &RouteDocument {
        &self.table.document
    }
}

impl std::ops::Deref for PinnedRoute {
    type Target = Route;

    fn deref(&self) -> &Route {
        &self.table.document.routes[self.position]
    }
}
