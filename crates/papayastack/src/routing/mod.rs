//! Routing: which VM owns an upstream, and the directory of shards, replicas and owners that a
//! query uses from start to end.

mod connections;
mod directory;
mod owners;
mod readers;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use connections::ConnectionShares;
pub use directory::{
    Directory, DirectoryResolver, ResolvedUpstream, ResolvedUpstreams, ShardReplicas, UpstreamIndex,
};
pub use owners::{DataCentreIndex, OWNERS_KEPT, OwnerTable, Owners, OwnersKey};
pub(crate) use readers::readers_first;
pub use rendezvous::{direct_share, owner_order};
