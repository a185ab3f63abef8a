//! The experiment file: its schema and its validation.

mod validation;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use papayastack::{QueryClass, RoutingPolicy, ServiceName, UpstreamId};
use papayastack_macros::{closed_set, message};
use papayastack_standin::Deployment;
use serde_json::Value;

const DEADLINE_DEFAULT_MS: u64 = 1_000;
const HITS_LIMIT_DEFAULT: u32 = 100;
const IN_FLIGHT_MAX_DEFAULT: usize = 10_000;

/// A seeded experiment: cases that run one after the other, each under every policy.
#[message]
#[serde(deny_unknown_fields)]
pub(crate) struct Experiment {
    /// The name of the experiment in the report.
    pub(crate) name: String,
    /// The seed from which indexes, arrivals, selections and all other random choices are drawn.
    #[serde(default)]
    pub(crate) seed: u64,
    /// The measured time of each run, in seconds.
    pub(crate) duration_s: u64,
    /// The time under load before the measurement, in seconds.
    #[serde(default)]
    pub(crate) warmup_s: u64,
    /// The policies to compare.
    #[serde(default = "all_policies")]
    pub(crate) policies: Vec<RoutingPolicy>,
    /// The share of answers that are compared with the naive search, in thousandths.
    #[serde(default = "checked_permille_default")]
    pub(crate) checked_permille: u32,
    /// The maximum number of requests in flight; further ones are dropped and counted.
    #[serde(default = "in_flight_max_default")]
    pub(crate) in_flight_max: usize,
    pub(crate) cases: Vec<Case>,
}

/// One deployment under one load, with its faults.
#[message]
#[serde(deny_unknown_fields)]
pub(crate) struct Case {
    /// The name of the case in the report.
    pub(crate) name: String,
    /// The simulated deployment: `plazo_claro` or `armor`.
    pub(crate) place: Deployment,
    /// The services to start; all services of the deployment if empty.
    #[serde(default)]
    pub(crate) services: BTreeSet<ServiceName>,
    #[serde(default)]
    pub(crate) vms: Vms,
    /// A JSON merge patch on the settings of the deployment.
    #[serde(default)]
    pub(crate) settings: Value,
    pub(crate) load: Vec<Load>,
    #[serde(default)]
    pub(crate) faults: Vec<TimedFault>,
}

/// The VMs that take the load.
#[message]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Vms {
    /// VMs started by this process, each on threads of its own.
    InProcess {
        /// The number of VMs.
        count: usize,
        /// The number of worker threads of each VM.
        threads: usize,
    },
    /// VMs that already run in other processes, by the addresses on which they serve callers; the
    /// experiment does not change their policy.
    Running {
        /// The addresses, all of them loopback.
        addresses: Vec<SocketAddr>,
    },
}

impl Default for Vms {
    fn default() -> Self {
        Self::InProcess { count: 4, threads: 2 }
    }
}

/// A stream of requests.
#[message]
#[serde(deny_unknown_fields)]
pub(crate) struct Load {
    pub(crate) service: ServiceName,
    pub(crate) class: LoadClass,
    /// Requests per second on average; arrivals are random and do not wait for answers.
    pub(crate) rate_per_s: u32,
    /// The deadline of each request in milliseconds.
    #[serde(default = "deadline_default_ms")]
    pub(crate) deadline_ms: u64,
    #[serde(default)]
    pub(crate) looks_for: LooksFor,
    /// The maximum number of hits to return.
    #[serde(default = "hits_limit_default")]
    pub(crate) hits_limit: u32,
}

/// The class of a stream of requests.
#[closed_set]
pub(crate) enum LoadClass {
    /// Queries of the class `sweep`.
    Sweep,
    /// Queries of the class `lookup`.
    Lookup,
    /// Queries of the class `archive`.
    Archive,
    /// Submissions, each with a unique key.
    Submission,
}

impl LoadClass {
    /// Returns the query class; `None` for submissions.
    pub(crate) fn query_class(self) -> Option<QueryClass> {
        match self {
            Self::Sweep => Some(QueryClass::Sweep),
            Self::Lookup => Some(QueryClass::Lookup),
            Self::Archive => Some(QueryClass::Archive),
            Self::Submission => None,
        }
    }

    /// Returns the name of the class in the report.
    pub(crate) fn name(self) -> &'static str {
        self.query_class().map_or("submission", QueryClass::name)
    }
}

/// The kind of selection in a stream of queries.
#[closed_set]
#[derive(Default)]
pub(crate) enum LooksFor {
    /// One or two terms of the service's vocabulary.
    #[default]
    Terms,
    /// The key of one document.
    Key,
}

/// A fault and its time.
#[message]
#[serde(deny_unknown_fields)]
pub(crate) struct TimedFault {
    /// The time relative to the start of the measurement, in seconds; negative times are in the
    /// warm-up.
    pub(crate) at_s: i64,
    pub(crate) fault: Fault,
}

/// A change that injects or ends a fault.
#[message]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Fault {
    /// Changes the behaviour of upstreams.
    Upstreams {
        /// The service whose upstreams change.
        service: ServiceName,
        /// Only the upstreams of this replica, counted from 0.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        replica: Option<u32>,
        /// Only these upstreams.
        #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
        ids: BTreeSet<UpstreamId>,
        /// A JSON merge patch on the behaviour of each upstream.
        behaviour: Value,
    },
    /// Applies a JSON merge patch to the behaviour of the platform.
    Platform(Value),
    /// Ends a VM and all its connections at once; VMs are counted from 0.
    KillVm(usize),
    /// Shuts a VM down gracefully; VMs are counted from 0.
    StopVm(usize),
    /// Publishes a new snapshot with the given number of shards.
    Repartition {
        /// The service that gets the snapshot.
        service: ServiceName,
        /// The number of shards of the new snapshot.
        shards: u32,
    },
    /// Retires a snapshot at all upstreams.
    Retire {
        service: ServiceName,
        /// The version of the snapshot.
        snapshot: u64,
    },
}

impl Experiment {
    /// Returns the duration of each run, including the warm-up.
    pub(crate) fn run_time(&self) -> Duration {
        Duration::from_secs(self.warmup_s + self.duration_s)
    }
}

impl Vms {
    /// Returns the number of VMs.
    pub(crate) fn count(&self) -> usize {
        match self {
            Self::InProcess { count, .. } => *count,
            Self::Running { addresses } => addresses.len(),
        }
    }
}

fn all_policies() -> Vec<RoutingPolicy> {
    vec![RoutingPolicy::Owner, RoutingPolicy::Direct, RoutingPolicy::Naive]
}

fn checked_permille_default() -> u32 {
    100
}

fn in_flight_max_default() -> usize {
    IN_FLIGHT_MAX_DEFAULT
}

fn deadline_default_ms() -> u64 {
    DEADLINE_DEFAULT_MS
}

fn hits_limit_default() -> u32 {
    HITS_LIMIT_DEFAULT
}
