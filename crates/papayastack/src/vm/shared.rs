//! The state that the parts of one VM share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use papayastack_macros::message;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, watch};

use super::dispatcher::UpstreamDispatcher;
use super::pending::PendingQueries;
use super::submit::PendingRelays;
use crate::addresses::Leaving;
use crate::admission::Admission;
use crate::configuration::{ActiveConfiguration, ConfigurationMessage, ConfigurationStatus};
use crate::ids::{ServiceName, VmAddress};
use crate::link::LinkHub;
use crate::membership::{MemberView, VmIdentity};
use crate::observe::{Metrics, Tracer};
use crate::query::{Budgets, FanoutContext, Observations, QuantileTracker};
use crate::routing::Directory;
use crate::settings::{LocalSettings, QueryClass};
use crate::submission::SubmissionCoordinator;

/// The state and the parts of one VM that its tasks and services use.
pub(crate) struct Shared {
    pub(crate) address: VmAddress,
    pub(crate) identity: VmIdentity,
    pub(crate) local: LocalSettings,
    pub(crate) drain_requested: watch::Sender<bool>,
    pub(crate) leaving: Mutex<Leaving>,
    pub(crate) in_force: watch::Receiver<Option<Arc<ActiveConfiguration>>>,
    pub(crate) members: watch::Receiver<Arc<MemberView>>,
    pub(crate) directory: watch::Receiver<Arc<Directory>>,
    pub(crate) hub: LinkHub,
    pub(crate) dispatcher: UpstreamDispatcher,
    pub(crate) pending: Arc<PendingQueries>,
    pub(crate) submissions: SubmissionCoordinator,
    pub(crate) relays: PendingRelays,
    pub(crate) configuration_status: watch::Receiver<ConfigurationStatus>,
    pub(crate) configuration_inbound: mpsc::Sender<(VmAddress, ConfigurationMessage)>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tracer: Arc<Tracer>,
    pub(crate) decisions: Mutex<Decisions>,
}

impl Shared {
    pub(crate) fn counts(&self) -> VmCounts {
        let dispatch = self.dispatcher.counts();
        let (links_dialled, links_accepted) = self.hub.link_counts();
        VmCounts {
            queries: self.pending.len(),
            sub_requests_waiting: dispatch.waiting,
            sub_requests_running: dispatch.running,
            replies_dropped: self.pending.dropped(),
            links_dialled,
            links_accepted,
        }
    }

    /// Locks the state that the decisions of all queries share.
    pub(crate) fn decisions(&self) -> MutexGuard<'_, Decisions> {
        lock(&self.decisions)
    }
}

/// How much work a VM holds at one moment.
#[message]
pub struct VmCounts {
    /// Callers' queries in flight.
    pub queries: usize,
    /// Sub-requests that wait for a slot here.
    pub sub_requests_waiting: usize,
    /// Sub-requests that hold a slot here.
    pub sub_requests_running: usize,
    /// Replies that arrived for queries that no longer waited.
    pub replies_dropped: u64,
    /// Links that this VM dialled.
    pub links_dialled: usize,
    /// Links that this VM accepted.
    pub links_accepted: usize,
}

impl VmCounts {
    /// Returns how many requests, of callers and of peers, are not finished.
    pub fn in_flight(&self) -> usize {
        self.queries + self.sub_requests_waiting + self.sub_requests_running
    }
}

/// The state of admission, routing and retry decisions, shared by all queries.
pub(crate) struct Decisions {
    pub(crate) admission: Admission,
    pub(crate) observations: Observations,
    budgets: Budgets,
    latencies: BTreeMap<(ServiceName, QueryClass), Vec<QuantileTracker>>,
    pub(crate) random: SmallRng,
}

impl Decisions {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            admission: Admission::new(),
            observations: Observations::new(),
            budgets: Budgets::new(),
            latencies: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Borrows the state for one step of a query's fan-out.
    pub(crate) fn context(
        &mut self,
        service: &ServiceName,
        class: QueryClass,
        now: Instant,
    ) -> FanoutContext<'_, SmallRng> {
        FanoutContext {
            observations: &mut self.observations,
            budgets: &mut self.budgets,
            latencies: self.latencies.entry((service.clone(), class)).or_default(),
            random: &mut self.random,
            now,
        }
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in one task does not disable the others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
