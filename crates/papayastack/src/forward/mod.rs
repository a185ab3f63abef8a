//! Forwarding: callers' requests go unchanged to upstreams, one or one of each shard.
//!
//! | file | duty |
//! |---|---|
//! | `route` | which services a request goes to, and what may be repeated |
//! | `registry` | which upstreams may be used, from what the platform's store says |
//! | `plan` | deadlines, shards and rules of one request |
//! | `exchange` | one request in flight: the gathering wired to connections and clock |
//! | `attempt` | one attempt at one upstream: what is sent, what the reply proves |
//! | `overload` | whether upstreams are overloaded, and who goes first then |
//! | `records` | the merging of opaque parts |
//! | `ingress` | what callers send and get |
//! | `feeds` | following the store |
//! | `store_gate` | who asks a lost store again |
//! | `news` | which upstreams other VMs found silent |
//! | `gateway` | one VM that forwards, wired together |
//! | `metrics`, `operators` | what operators see |
//! | `edge` | what the platform's side provides: names, formats, the store |

mod attempt;
mod edge;
mod exchange;
mod feeds;
mod gateway;
mod ingress;
mod metrics;
mod news;
mod operators;
mod overload;
mod plan;
mod records;
mod registry;
mod reply;
mod route;
mod settings;
mod state;
mod store_gate;
#[cfg(test)]
mod tests;

/// Returns the metrics of a VM that has forwarded nothing, for the check of their page.
#[cfg(test)]
pub(crate) fn empty_metrics() -> String {
    metrics::ForwardMetrics::new().encode(&metrics::ForwardLevels::default())
}

pub use edge::{
    AddressCaller, Change, Changes, EntryFault, FeedStore, Freshness, HeaderNames, IngressFormat,
    Listing, Named, StoreRevision,
};
pub use gateway::{Gateway, GatewayError};
pub use registry::{UpstreamEntry, UpstreamState};
pub use route::{
    CallerLimits, PinnedRoute, RequestKind, Route, RouteDocument, RouteTable, RouteTarget,
    ServiceEntry, ShardTarget, SplitPart,
};
pub use settings::{GatewaySettings, RepeatSettings};
