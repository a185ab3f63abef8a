//! Routes: which services a request goes to, and whether it may be repeated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use papayastack_macros::{closed_set, message};

use crate::ids::ServiceName;

/// One complete version of the routing configuration.
#[message]
pub struct RouteDocument {
    /// The version; a later document has a higher one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The configuration of the services that routes name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// The limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// The configuration of one service.
#[message]
#[derive(Copy)]
pub struct ServiceEntry {
    /// The most connections that one upstream accepts from all VMs together.
    pub connections_max: u32,
}

/// Limits on the size of callers' requests and on the time to send them.
#[message]
#[derive(Copy)]
pub struct CallerLimits {
    /// The largest header section of a request in bytes.
    pub head_max_bytes: usize,
    /// The largest body of a request in bytes.
    pub body_max_bytes: usize,
    /// How long a header section may take from its first byte to its last.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// Where the requests for one host and path prefix go, and how they are treated.
#[message]
pub struct Route {
    /// The unique name of the route.
    pub name: String,
    /// The host of the requests, without port.
    pub host: String,
    /// The prefix of the requests' paths; it begins and ends with a slash.
    pub path_prefix: String,
    /// Where requests go.
    pub target: RouteTarget,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// The time within which a request must be answered.
    pub timeout: Duration,
    /// The time within which a request should be answered.
    pub goal: Duration,
    /// The priority among the routes; 0 is the most urgent one.
    pub priority: u32,
    /// The largest number of upstreams of one service that a request is sent to.
    pub attempts_max: u32,
}

/// Where the requests of a route go.
#[message]
pub enum RouteTarget {
    /// To one upstream of a service.
    Service(ServiceName),
    /// To one upstream of one of several services.
    Split(Vec<SplitPart>),
    /// To one upstream of each of several services, whose parts make up the answer.
    Shards(ShardTarget),
}

/// One service of a split route.
#[message]
pub struct SplitPart {
    /// The service that gets a share of the requests.
    pub service: ServiceName,
    /// The service's share of the requests, relative to the weights of the other parts.
    pub weight: u32,
}

/// The shards of a route and the requirements on an answer.
#[message]
pub struct ShardTarget {
    /// One service for each shard.
    pub services: Arc<[ServiceName]>,
    /// The largest number of records in an answer.
    pub records_max: usize,
    /// The smallest share of the shards that an answer must cover, in millionths.
    pub covered_min_ppm: u32,
}

/// Whether a request may be repeated.
#[closed_set]
pub enum RequestKind {
    /// The request may run more than once.
    Safe,
    /// The request must run at most once.
    Unsafe,
}

impl ShardTarget {
    /// Returns the smallest number of shards that an answer must cover.
    pub fn covered_min(&self) -> usize {
        let shards = self.services.len() as u64;
        let needed = (shards * u64::from(self.covered_min_ppm)).div_ceil(1_000_000);
        usize::try_from(needed).unwrap_or(usize::MAX).max(1)
    }
}

impl RouteDocument {
    /// Tells whether any route sends requests to a service.
    pub fn uses(&self, service: &str) -> bool {
        self.routes.iter().any(|route| route.target.names(service))
    }
}

impl RouteTarget {
    /// Tells whether requests may go to a service.
    pub fn names(&self, service: &str) -> bool {
        match self {
            Self::Service(name) => name == service,
            Self::Split(parts) => parts.iter().any(|part| part.service == service),
            Self::Shards(shards) => shards.services.iter().any(|name| name == service),
        }
    }
}

/// The routes of one document, indexed by host.
#[derive(Debug)]
pub struct RouteTable {
    document: RouteDocument,
    /// The positions of each host's routes in the document, the longest prefix first.
    by_host: BTreeMap<String, Vec<usize>>,
}

impl RouteTable {
    /// Indexes the routes of a document.
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

    /// Returns the document whose routes are indexed.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// Finds the route of a request: among the host's routes, the one with the longest prefix.
    pub fn find(self: &Arc<Self>, host: &str, path: &str) -> Option<PinnedRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
        let begins =
            |position: &usize| path.starts_with(&self.document.routes[*position].path_prefix);
        let position = self.by_host.get(&host)?.iter().copied().find(begins)?;
        Some(PinnedRoute { table: Arc::clone(self), position })
    }
}

/// A route together with the table it was found in, so that a request keeps one version of the
/// routing configuration until it ends.
#[derive(Debug, Clone)]
pub struct PinnedRoute {
    table: Arc<RouteTable>,
    position: usize,
}

impl PinnedRoute {
    /// Returns the document that the route belongs to.
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
