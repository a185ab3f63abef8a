//! Routing: which VM owns an upstream, and the directory of shards, replicas and owners that a
//! query pins.

mod directory;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use directory::{Directory, ShardReplicas, UpstreamIndex, UpstreamPlace, UpstreamRegistry};
pub use rendezvous::{direct_share, owner_order};
