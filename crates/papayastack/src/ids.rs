//! Type aliases for the identifiers that several modules share.

/// Names a service, a set of shards that callers query as one.
pub type ServiceName = String;
/// Names a region, a group of data centres.
pub type RegionName = String;
/// Names a data centre.
pub type DataCentreName = String;
/// Names a site, the scope of one configuration overlay.
pub type SiteName = String;
/// Names an upstream, one replica of one or more shards.
pub type UpstreamId = String;
/// Names a VM within the whole system by its link address, for example `127.0.0.1:7101`.
pub type VmAddress = std::net::SocketAddr;
/// Distinguishes successive processes at one [`VmAddress`]; a later process has a higher number.
pub type Incarnation = u64;
/// Numbers a shard within one snapshot of a service.
pub type ShardId = u32;
/// Numbers a snapshot of a service's index; a later snapshot has a higher number.
pub type SnapshotVersion = u64;
/// Identifies a query across all VMs.
pub type QueryId = u128;
/// Identifies one attempt to answer one shard, unique within its query.
pub type AttemptId = u64;
