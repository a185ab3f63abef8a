//! Four `papayad` processes with a stand-in platform and stand-in upstreams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use papayastack::{ListedState, ListedVm, MemberView, VmStatus, owner_order};
use papayastack_platform::PlatformStore;
use papayastack_standin::{
    Deployment, DeploymentOptions, DeploymentStandin, PlatformStandin, publish_bundle,
};
use serde_json::json;
use tokio::sync::{Mutex, MutexGuard};

use crate::process::{Process, any_port};

/// The service that the tests query.
pub(crate) const QUERY_SERVICE: &str = "deadline-board";
/// The service that the tests submit to.
pub(crate) const SUBMISSION_SERVICE: &str = "reminder-mailer";
/// The seed of the stand-ins' indexes.
pub(crate) const SEED: u64 = 2026;

/// How long callers may cache addresses, in milliseconds; short, so that a VM leaves quickly.
const ADDRESS_LIFETIME_MS: u64 = 1_000;
const DATA_CENTRES: [&str; 4] = ["centro-a", "centro-a", "centro-b", "centro-c"];
/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of checks after which waiting for a condition fails.
const POLLS_MAX: u32 = 3_000;

/// Runs one system at a time, so that the tests do not slow each other down.
static SYSTEM_LOCK: Mutex<()> = Mutex::const_new(());

/// Four processes, a stand-in platform and the stand-in upstreams of one deployment.
pub(crate) struct System {
    pub(crate) processes: Vec<Process>,
    pub(crate) platform: PlatformStandin,
    pub(crate) place: DeploymentStandin,
    _lock: MutexGuard<'static, ()>,
}

impl System {
    /// Starts the system and waits until each process knows the other three and is configured.
    pub(crate) async fn start() -> Self {
        let lock = SYSTEM_LOCK.lock().await;
        let platform = PlatformStandin::bind(any_port()).await.expect("a port is free");
        let options = DeploymentOptions {
            seed: SEED,
            services: BTreeSet::from([QUERY_SERVICE.to_owned(), SUBMISSION_SERVICE.to_owned()]),
            ..DeploymentOptions::default()
        };
        let place =
            DeploymentStandin::bind(Deployment::PlazoClaro, options).await.expect("ports are free");
        let client = Arc::new(PlatformStore::open(vec![platform.address()]));
        place.publish(client.as_ref()).await.expect("the platform takes the bundle");
        let mut bundle = place.bundle();
        bundle.change_id = "process-tests".to_owned();
        bundle.base["addresses"] = json!({ "lifetime_ms": ADDRESS_LIFETIME_MS });
        bundle.base["submissions"] = json!({ "buckets": 1 });
        publish_bundle(client.as_ref(), &bundle).await.expect("the platform takes the change");
        let mut system = Self { processes: Vec::new(), platform, place, _lock: lock };
        for data_centre in DATA_CENTRES {
            let platform = system.platform.address();
            let process = Process::spawn(data_centre, platform, any_port(), Vec::new());
            system.platform.put_vm(ListedVm {
                address: process.addresses.link_address,
                data_centre: data_centre.to_owned(),
                entry_vm: true,
                state: ListedState::Live,
            });
            system.processes.push(process);
        }
        system.wait_for_membership().await;
        for process in &system.processes {
            wait_until("a process serves queries", async || is_configured(process).await).await;
        }
        system
    }

    /// Waits until the live members of each process are exactly the remaining processes.
    pub(crate) async fn wait_for_membership(&self) {
        let addresses: BTreeSet<_> =
            self.processes.iter().map(|process| process.addresses.link_address).collect();
        for process in &self.processes {
            wait_until("the live members of a process are the remaining processes", async || {
                BTreeSet::from_iter(process.live_members().await) == addresses
            })
            .await;
        }
    }

    /// Sets the base service time of all upstreams.
    pub(crate) fn slow_upstreams(&self, base_us: u64) {
        for upstream in self.place.upstreams().values() {
            upstream.change_behaviour(|behaviour| behaviour.service_time.base_us = base_us);
        }
    }

    /// Returns how often the upstreams ran the submission with `key`.
    pub(crate) fn executions(&self, key: &str) -> u64 {
        self.place.executions().get(key).copied().unwrap_or_default()
    }

    /// Returns the index of the process that owns the only submission bucket.
    pub(crate) async fn bucket_owner(&self) -> usize {
        let status = self.processes[0].status().await.expect("the process answers");
        let status: VmStatus = serde_json::from_value(status).expect("the answer is a status");
        let members = status.members.into_iter().map(|it| (it.identity.address, it)).collect();
        let view = MemberView { members, unreachable_regions: BTreeSet::new() };
        let owner = owner_order("ledger-bucket-0", "", &view)[0];
        let is_owner = |process: &Process| process.addresses.link_address == owner;
        self.processes.iter().position(is_owner).expect("the owner is one of the processes")
    }

    /// Starts a process at the link address of an ended one.
    pub(crate) fn restart(&mut self, ended: Process) {
        let link = ended.addresses.link_address;
        drop(ended);
        let platform = self.platform.address();
        self.processes.push(Process::spawn(DATA_CENTRES[0], platform, link, Vec::new()));
    }

    /// Starts a process at a new link address, with one peer in its settings.
    pub(crate) fn start_with_peer(&mut self) {
        let peers = vec![self.processes[0].addresses.link_address];
        let platform = self.platform.address();
        self.processes.push(Process::spawn(DATA_CENTRES[0], platform, any_port(), peers));
    }
}

/// Returns whether a process has a configuration in force and knows the snapshot of the service.
pub(crate) async fn is_configured(process: &Process) -> bool {
    let snapshots = process.status().await.map(|status| status["snapshots"].clone());
    snapshots.is_some_and(|snapshots| snapshots[QUERY_SERVICE].is_u64())
}

/// Waits until a condition holds; panics if it never does.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..POLLS_MAX {
        if holds().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("not true after {POLLS_MAX} checks: {what}");
}
