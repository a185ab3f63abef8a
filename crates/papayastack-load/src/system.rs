//! The system under load: the platform, the upstreams and the VMs.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use papayastack::{QueryClass, QueryRequest, RoutingPolicy, Selection, ServiceName};
use papayastack_platform::PlatformStore;
use papayastack_standin::{
    DeploymentOptions, DeploymentStandin, PlatformCounts, PlatformStandin, ServiceShape,
    UpstreamCounts, document_key, publish_bundle,
};
use serde_json::json;

use crate::check::KnownSnapshots;
use crate::client::{Caller, Reply};
use crate::experiment::{Case, Fault, Vms};
use crate::vm_host::VmHost;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The system under load of one run.
pub(crate) struct System {
    in_process: Option<InProcessSystem>,
    addresses: Vec<SocketAddr>,
    shapes: BTreeMap<ServiceName, ServiceShape>,
    known_snapshots: Arc<Mutex<KnownSnapshots>>,
}

/// The parts of the system that run in this process.
struct InProcessSystem {
    platform: PlatformStandin,
    platform_client: PlatformStore,
    place: DeploymentStandin,
    vms: Vec<VmHost>,
}

/// Counters of the parts of the system that run in this process.
#[derive(Debug, Clone, Default)]
pub(crate) struct SystemCounts {
    pub(crate) platform: PlatformCounts,
    pub(crate) upstreams: Vec<UpstreamCounts>,
    pub(crate) vm_cpu_time: Vec<Duration>,
}

impl SystemCounts {
    /// Returns the number of searches that upstreams received.
    pub(crate) fn searches_received(&self) -> u64 {
        self.upstreams.iter().map(|counts| counts.searches_received).sum()
    }
}

impl System {
    /// Starts the system of a case under a policy and waits until it is ready.
    ///
    /// # Errors
    /// A part does not start, or the system is not ready within [`READY_TIMEOUT`].
    pub(crate) async fn open(
        case: &Case,
        policy: RoutingPolicy,
        seed: u64,
    ) -> Result<Self, String> {
        let shapes: BTreeMap<ServiceName, ServiceShape> =
            case.place.services().into_iter().map(|shape| (shape.name.to_owned(), shape)).collect();
        let (in_process, addresses) = match &case.vms {
            Vms::Running { addresses } => (None, addresses.clone()),
            Vms::InProcess { count, threads } => {
                let in_process =
                    InProcessSystem::open(case, policy, seed, *count, *threads).await?;
                let addresses = in_process.vms.iter().map(VmHost::caller_address).collect();
                (Some(in_process), addresses)
            }
        };
        let known_snapshots = Arc::new(Mutex::new(initial_snapshots(&shapes)));
        let system = Self { in_process, addresses, shapes, known_snapshots };
        system.wait_until_ready(case).await?;
        Ok(system)
    }

    /// Returns the addresses on which the VMs serve callers.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the shape of a service.
    pub(crate) fn shape(&self, service: &str) -> &ServiceShape {
        self.shapes.get(service).expect("validation rejects unknown services")
    }

    /// Returns the snapshots published so far.
    pub(crate) fn known_snapshots(&self) -> Arc<Mutex<KnownSnapshots>> {
        Arc::clone(&self.known_snapshots)
    }

    /// Returns the counters so far; `None` if the VMs run in other processes.
    pub(crate) fn counts(&self) -> Option<SystemCounts> {
        let in_process = self.in_process.as_ref()?;
        Some(SystemCounts {
            platform: in_process.platform.counts(),
            upstreams: in_process
                .place
                .upstreams()
                .values()
                .map(|upstream| upstream.counts())
                .collect(),
            vm_cpu_time: in_process.vms.iter().map(VmHost::cpu_time).collect(),
        })
    }

    /// Returns the number of executions of each submission key.
    pub(crate) fn executions(&self) -> BTreeMap<String, u64> {
        self.in_process.as_ref().map(|in_process| in_process.place.executions()).unwrap_or_default()
    }

    /// Injects a fault.
    ///
    /// # Errors
    /// The VMs run in other processes, or the platform or an upstream rejects the change.
    pub(crate) async fn apply(&mut self, fault: &Fault) -> Result<(), String> {
        let Some(in_process) = &mut self.in_process else {
            return Err("faults need VMs that run in this process".to_owned());
        };
        match fault {
            Fault::Upstreams { service, replica, ids, behaviour } => {
                let shape = &self.shapes[service];
                let targets = in_process.place.upstreams_of(service).filter(|upstream| {
                    replica.is_none_or(|number| shape.replica_index(upstream.id()) == Some(number))
                        && (ids.is_empty() || ids.contains(upstream.id()))
                });
                for upstream in targets {
                    upstream.patch_behaviour(behaviour).map_err(|error| error.to_string())?;
                }
                Ok(())
            }
            Fault::Platform(patch) => {
                in_process.platform.patch_behaviour(patch).map_err(|error| error.to_string())
            }
            Fault::KillVm(index) => {
                in_process.vms[*index].kill();
                Ok(())
            }
            Fault::StopVm(index) => {
                in_process.vms[*index].stop().await;
                Ok(())
            }
            Fault::Repartition { service, shards } => {
                // Registers the snapshot before the first answer from it can arrive.
                let next =
                    in_process.place.catalogues()[service].newest().map_or(1, |(v, _)| v + 1);
                let key = (service.clone(), next);
                lock(&self.known_snapshots).insert(key, (0..*shards).collect());
                let published = in_process
                    .place
                    .repartition(&in_process.platform_client, service, *shards)
                    .await;
                published.map(|_| ()).map_err(|error| error.to_string())
            }
            Fault::Retire { service, snapshot } => in_process
                .place
                .retire(&in_process.platform_client, service, *snapshot)
                .await
                .map_err(|error| error.to_string()),
        }
    }

    /// Stops the VMs that this process started.
    pub(crate) async fn close(mut self) {
        if let Some(in_process) = &mut self.in_process {
            for vm in &mut in_process.vms {
                vm.stop().await;
            }
        }
    }

    async fn wait_until_ready(&self, case: &Case) -> Result<(), String> {
        let give_up_at = Instant::now() + READY_TIMEOUT;
        for address in &self.addresses {
            let caller = Caller::open(vec![*address]);
            for load in &case.load {
                let query = QueryRequest {
                    service: load.service.clone(),
                    class: load.class.query_class().unwrap_or(QueryClass::Sweep),
                    selection: Selection::Key(document_key(&load.service, 0, 0)),
                    deadline_ms: None,
                    hits_limit: Some(1),
                };
                wait_for_answer(&caller, &query, give_up_at).await.map_err(|last_failure| {
                    format!(
                        "{address} is not ready after {} s: {last_failure}",
                        READY_TIMEOUT.as_secs()
                    )
                })?;
            }
        }
        self.wait_for_membership(give_up_at).await
    }

    /// Waits until every VM lists all VMs, so that shard ownership is stable during the run.
    async fn wait_for_membership(&self, give_up_at: Instant) -> Result<(), String> {
        let count = self.addresses.len();
        for address in &self.addresses {
            let caller = Caller::open(vec![*address]);
            loop {
                let listed = caller.listed_vm_count().await?;
                if listed >= count {
                    break;
                }
                if Instant::now() > give_up_at {
                    return Err(format!(
                        "{address} lists {listed} of {count} VMs after {} s",
                        READY_TIMEOUT.as_secs()
                    ));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

impl InProcessSystem {
    async fn open(
        case: &Case,
        policy: RoutingPolicy,
        seed: u64,
        count: usize,
        threads: usize,
    ) -> Result<Self, String> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformStandin::bind_seeded(any_port, seed)
            .await
            .map_err(|error| format!("cannot start the platform stand-in: {error}"))?;
        let options = DeploymentOptions {
            seed,
            services: case.services.clone(),
            ..DeploymentOptions::default()
        };
        let place = DeploymentStandin::bind(case.place, options)
            .await
            .map_err(|error| format!("cannot start the upstream stand-ins: {error}"))?;
        let platform_client = PlatformStore::open(vec![platform.address()]);
        publish(&platform_client, &place, case, policy).await?;
        let data_centres = case.place.data_centres();
        let mut vms = Vec::new();
        for index in 0..count {
            let data_centre = data_centres[index % data_centres.len()];
            vms.push(VmHost::spawn(data_centre, platform.address(), threads).await?);
        }
        platform.set_vms(vms.iter().map(|vm| vm.list_entry().clone()).collect());
        Ok(Self { platform, platform_client, place, vms })
    }
}

async fn publish(
    platform_client: &PlatformStore,
    place: &DeploymentStandin,
    case: &Case,
    policy: RoutingPolicy,
) -> Result<(), String> {
    place
        .publish(platform_client)
        .await
        .map_err(|error| format!("cannot publish the place: {error}"))?;
    let mut bundle = place.bundle();
    if !case.settings.is_null() {
        json_patch::merge(&mut bundle.base, &case.settings);
    }
    json_patch::merge(&mut bundle.base, &json!({ "routing": { "policy": policy } }));
    bundle.change_id = format!("{}-{policy:?}", bundle.change_id);
    let published = publish_bundle(platform_client, &bundle).await;
    published.map(|_| ()).map_err(|error| format!("cannot publish the settings: {error}"))
}

async fn wait_for_answer(
    caller: &Caller,
    query: &QueryRequest,
    give_up_at: Instant,
) -> Result<(), String> {
    loop {
        let last_failure = match caller.query(query).await {
            Reply::Answered(answer) if answer.answer.coverage().complete().is_some() => {
                return Ok(());
            }
            Reply::Answered(_) => "the answers are partial".to_owned(),
            Reply::Refused(refused) => refused.refusal.detail().to_owned(),
            Reply::Failed(detail) => detail,
        };
        if Instant::now() > give_up_at {
            return Err(last_failure);
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}

fn initial_snapshots(shapes: &BTreeMap<ServiceName, ServiceShape>) -> KnownSnapshots {
    shapes
        .iter()
        .map(|(service, shape)| ((service.clone(), 1), (0..shape.shards).collect()))
        .collect()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
