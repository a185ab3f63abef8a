//! Forwarding: passes callers' requests unchanged to one upstream, or to one of each shard.
//!
//! | file | duty |
//! |---|---|
//! | `route` | which services a request goes to, and whether it may be repeated |
//! | `registry` | which upstreams may be used, according to the platform's store |
//! | `plan` | deadline, shards and fan-out rules of one request |
//! | `exchange` | one request in flight: drives its fan-out with connections and timers |
//! | `attempt` | one attempt at one upstream: the request sent and what the reply proves |
//! | `reply_body` | reading of replies' bodies, with a bound on all of them |
//! | `owners` | owners of upstreams, and this VM's part of the connections to each |
//! | `overload` | detection of overload, and the priority class of a route |
//! | `records` | merging of the shards' parts, which are lists of opaque records |
//! | `ingress` | the HTTP endpoints for callers |
//! | `response` | the outcome of a request and the HTTP response for it |
//! | `feeds` | lists and watches of the store: upstreams, routes, other VMs |
//! | `route_changes` | what one version of the routes changes in another |
//! | `history` | the entries of upstreams by the revision of their last change |
//! | `peer_feed` | what VMs tell each other of the store: roles, questions and answers |
//! | `following` | the task that asks another VM, and the answers to those that ask |
//! | `pace` | how soon a feed calls the store again |
//! | `store_health` | how long a watch is trusted; retries by one feed at a time |
//! | `limits` | reports between VMs about upstreams that limit their rate |
//! | `links` | whether this VM still reaches the upstreams |
//! | `probing` | probes of lost links, and notices about them to other VMs |
//! | `relay` | requests that another VM serves, because this one has lost its links |
//! | `through_owner` | attempts that an owner of the upstream sends for a VM without a free connection |
//! | `notices` | receipt of other VMs' notices |
//! | `silence` | notices between VMs about upstreams that do not answer |
//! | `departure` | which requests a VM that leaves still takes, and when all are answered |
//! | `state` | the state that all requests of one VM share |
//! | `gateway` | start and stop of one forwarding VM |
//! | `settings` | the settings of one forwarding VM |
//! | `metrics`, `operators` | metrics, and the endpoints for operators |
//! | `interface` | what the platform integration provides: header names, formats, store access |

mod attempt;
mod departure;
mod exchange;
mod feeds;
mod following;
mod gateway;
mod history;
mod ingress;
mod interface;
mod limits;
mod links;
mod metrics;
mod notices;
mod operators;
mod overload;
mod owners;
mod pace;
mod peer_feed;
mod plan;
mod probing;
mod records;
mod registry;
mod relay;
mod reply_body;
mod response;
mod route;
mod route_changes;
mod settings;
mod silence;
mod state;
mod store_health;
#[cfg(test)]
mod tests;
mod through_owner;

/// Returns the metrics of a VM that has forwarded nothing, for the test of the metrics page.
#[cfg(test)]
pub(crate) fn empty_metrics() -> String {
    metrics::ForwardMetrics::new().encode(&metrics::ForwardLevels::default())
}

pub use gateway::{Gateway, GatewayError};
pub use interface::{
    CallerLocation, Change, Changes, EntryFault, FeedStore, Freshness, HeaderNames, IngressFormat,
    Listing, NamedEntry, StorePosition, StoreRevision,
};
pub use registry::{UpstreamEntry, UpstreamState};
pub use route::{
    CallerLimits, PinnedRoute, RequestKind, Route, RouteDocument, RouteTable, RouteTarget,
    ServiceEntry, ShardTarget, SplitPart,
};
pub use settings::{GatewaySettings, RepeatSettings};
