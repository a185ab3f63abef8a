//! The schema of a site's configuration after base and overlay are merged.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use papayastack_macros::{closed_set, message};

use super::classes;
use crate::ids::{DataCentreName, RegionName, ServiceName, UpstreamId};

/// The configuration of one site.
#[message]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The data centres, each with its region.
    pub data_centres: BTreeMap<DataCentreName, DataCentreSettings>,
    /// The services that callers may query.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// The settings of each query class; omitted classes use their defaults.
    #[serde(default = "classes::defaults", deserialize_with = "classes::deserialize")]
    pub classes: BTreeMap<QueryClass, ClassSettings>,
    /// How queries reach upstreams.
    #[serde(default)]
    pub routing: RoutingSettings,
    /// Limits on what a VM accepts.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How address queries from callers are answered.
    #[serde(default)]
    pub addresses: AddressSettings,
    /// How VMs detect failures of each other.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// How the platform is used.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// How submissions are recorded.
    #[serde(default)]
    pub submissions: SubmissionSettings,
}

/// One data centre.
#[message]
#[serde(deny_unknown_fields)]
pub struct DataCentreSettings {
    /// The region that the data centre lies in.
    pub region: RegionName,
}

/// One service.
#[message]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Concurrent requests that one upstream takes.
    pub slots_per_upstream: u32,
    /// Connections that one upstream accepts, summed over all VMs.
    pub connections_per_upstream: u32,
    /// The cost of a new connection in milliseconds.
    #[serde(default)]
    pub new_connection_ms: u64,
    /// Whether the service accepts submissions.
    #[serde(default)]
    pub accepts_submissions: bool,
    /// The upstreams, by id.
    pub upstreams: BTreeMap<UpstreamId, UpstreamSettings>,
}

/// One upstream.
#[message]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The data centre that the upstream runs in.
    pub data_centre: DataCentreName,
    /// The upstream's HTTP address.
    pub address: SocketAddr,
}

/// The class of a query, which decides its priority, deadlines and hedging.
#[closed_set]
pub enum QueryClass {
    /// Prefers complete coverage and uses the whole deadline to reach it.
    Sweep,
    /// Prefers low tail latency: hedges early and has the highest priority.
    Lookup,
    /// Has the lowest priority and a long deadline, since its queries must finish.
    Archive,
}

impl QueryClass {
    /// All classes, most urgent first.
    pub const BY_PRIORITY: [Self; 3] = [Self::Lookup, Self::Sweep, Self::Archive];

    /// Returns the name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sweep => "sweep",
            Self::Lookup => "lookup",
            Self::Archive => "archive",
        }
    }
}

/// The settings of one query class.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct ClassSettings {
    /// The deadline of a query that gives none, in milliseconds.
    pub deadline_default_ms: u64,
    /// The longest deadline that a caller may ask for, in milliseconds.
    pub deadline_max_ms: u64,
    /// Whether slow shards are hedged.
    pub hedge: bool,
    /// The quantile of shard latency after which a shard is hedged, in thousandths.
    pub hedge_quantile_permille: u32,
    /// Queries of the class that one VM runs at once.
    pub in_flight_max: u32,
}

impl ClassSettings {
    /// Returns the defaults of `class`.
    pub fn default_of(class: QueryClass) -> Self {
        match class {
            QueryClass::Sweep => Self {
                deadline_default_ms: 1_000,
                deadline_max_ms: 10_000,
                hedge: true,
                hedge_quantile_permille: 950,
                in_flight_max: 512,
            },
            QueryClass::Lookup => Self {
                deadline_default_ms: 300,
                deadline_max_ms: 2_000,
                hedge: true,
                hedge_quantile_permille: 900,
                in_flight_max: 512,
            },
            QueryClass::Archive => Self {
                deadline_default_ms: 20_000,
                deadline_max_ms: 120_000,
                hedge: false,
                hedge_quantile_permille: 990,
                in_flight_max: 64,
            },
        }
    }
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self::default_of(QueryClass::Sweep)
    }
}

/// How sub-requests are sent to upstreams.
#[closed_set]
pub enum RoutingPolicy {
    /// Through the VM that owns the upstream.
    Owner,
    /// From the entry VM, within its share of the slots.
    Direct,
    /// From the entry VM without limits, hedges or retries; the baseline of measurements.
    Naive,
}

/// How queries reach upstreams.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Which VM sends to an upstream, and within which limits.
    pub policy: RoutingPolicy,
    /// Hedges allowed per thousand sub-requests.
    pub hedge_budget_permille: u32,
    /// Retries allowed per thousand sub-requests.
    pub retry_budget_permille: u32,
    /// Sub-requests that may wait for one upstream.
    pub queue_max: u32,
    /// The part of a deadline reserved for returning the answer over one hop, in milliseconds.
    pub hop_margin_ms: u64,
    /// How long an ejected upstream is avoided while another replica is available, in
    /// milliseconds.
    pub ejection_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::Owner,
            hedge_budget_permille: 50,
            retry_budget_permille: 50,
            queue_max: 256,
            hop_margin_ms: 5,
            ejection_ms: 2_000,
        }
    }
}

/// Limits on what a VM accepts from callers.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// The largest request body in bytes.
    pub body_max_bytes: u64,
    /// The largest sum of header names and values in bytes.
    pub header_max_bytes: u64,
    /// The most terms in one query.
    pub terms_max: u32,
    /// The longest term or key in bytes.
    pub term_max_bytes: u32,
    /// The most hits that a caller may ask for.
    pub hits_max: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 65_536,
            header_max_bytes: 16_384,
            terms_max: 32,
            term_max_bytes: 256,
            hits_max: 1_000,
        }
    }
}

/// How address queries from callers are answered.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct AddressSettings {
    /// How long a caller may cache an address answer, in milliseconds.
    pub lifetime_ms: u64,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self { lifetime_ms: 5_000 }
    }
}

/// How VMs detect failures of each other.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// The time between two probes by one VM, in milliseconds.
    pub probe_interval_ms: u64,
    /// How long a probe waits for its acknowledgement, in milliseconds.
    pub probe_timeout_ms: u64,
    /// How long a suspected VM has to refute the suspicion before it is declared dead, in
    /// milliseconds; longer in regions of more than 10 VMs.
    pub suspicion_ms: u64,
    /// VMs that are asked for an indirect probe after a direct probe failed.
    pub indirect_probes: u32,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval_ms: 200,
            probe_timeout_ms: 100,
            suspicion_ms: 400,
            indirect_probes: 3,
        }
    }
}

/// How the platform is used.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// VMs per region that watch the platform's objects.
    pub watchers_per_region: u32,
    /// How long the platform keeps a watch request open while nothing changes, in milliseconds.
    pub watch_wait_ms: u64,
    /// The longest back-off after a failed call, in milliseconds.
    pub backoff_max_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self { watchers_per_region: 2, watch_wait_ms: 10_000, backoff_max_ms: 5_000 }
    }
}

/// How submissions are recorded.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct SubmissionSettings {
    /// Buckets that submission keys are spread over.
    pub buckets: u32,
    /// The range of issue times covered by one ledger object, in milliseconds.
    pub slot_ms: u64,
    /// How far in the future a key's time of issue may lie, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// How long outcomes are kept after the key's time of issue, in milliseconds.
    pub retention_ms: u64,
    /// The longest time that a submission waits for others to share its platform write, in
    /// milliseconds.
    pub group_wait_ms: u64,
    /// The shortest time between the starts of two writes of one ledger object, in milliseconds.
    pub write_interval_ms: u64,
    /// The longest time that an outcome with no waiting caller waits for others to share its
    /// platform write, in milliseconds.
    pub outcome_wait_ms: u64,
    /// The largest submission body in bytes.
    pub body_max_bytes: u64,
}

impl Default for SubmissionSettings {
    fn default() -> Self {
        Self {
            buckets: 16,
            slot_ms: 10_000,
            clock_skew_max_ms: 5_000,
            retention_ms: 86_400_000,
            group_wait_ms: 20,
            write_interval_ms: 100,
            outcome_wait_ms: 100,
            body_max_bytes: 16_384,
        }
    }
}
