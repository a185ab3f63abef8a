//! The system under load: platform and upstreams, and the VMs that take the load.

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
const READY_PAUSE: Duration = Duration::from_millis(50);

/// A system that takes load.
pub(crate) struct System {
    inside: Option<Inside>,
    addresses: Vec<SocketAddr>,
    shapes: BTreeMap<ServiceName, ServiceShape>,
    known: Arc<Mutex<KnownSnapshots>>,
}

/// The parts that this process started.
struct Inside {
    platform: PlatformStandin,
    client: PlatformStore,
    place: DeploymentStandin,
    vms: Vec<VmHost>,
}

/// Counts of the parts that this process started.
#[derive(Debug, Clone, Default)]
pub(crate) struct SystemCounts {
    pub(crate) platform: PlatformCounts,
    pub(crate) upstreams: Vec<UpstreamCounts>,
    pub(crate) vm_processor_time: Vec<Duration>,
}

impl SystemCounts {
    /// Returns the searches that upstreams received.
    pub(crate) fn searches_received(&self) -> u64 {
        self.upstreams.iter().map(|counts| counts.searches_received).sum()
    }
}

impl System {
    /// Opens the system of a case under a policy and waits until it answers.
    ///
    /// # Errors
    /// A part does not start, or the system does not answer in time.
    pub(crate) async fn open(
        case: &Case,
        policy: RoutingPolicy,
        seed: u64,
    ) -> Result<Self, String> {
        let shapes: BTreeMap<ServiceName, ServiceShape> =
            case.place.services().into_iter().map(|shape| (shape.name.to_owned(), shape)).collect();
        let (inside, addresses) = match &case.vms {
            Vms::Running { addresses } => (None, addresses.clone()),
            Vms::InProcess { count, threads } => {
                let inside = Inside::open(case, policy, seed, *count, *threads).await?;
                let addresses = inside.vms.iter().map(VmHost::caller_address).collect();
                (Some(inside), addresses)
            }
        };
        let known = Arc::new(Mutex::new(first_snapshots(&shapes)));
        let system = Self { inside, addresses, shapes, known };
        system.wait_until_ready(case).await?;
        Ok(system)
    }

    /// Returns the addresses for callers.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the shape of a service.
    pub(crate) fn shape(&self, service: &str) -> &ServiceShape {
        self.shapes.get(service).expect("the experiment was checked")
    }

    /// Returns the snapshots published so far.
    pub(crate) fn known(&self) -> Arc<Mutex<KnownSnapshots>> {
        Arc::clone(&self.known)
    }

    /// Returns the counts so far; empty where the VMs run elsewhere.
    pub(crate) fn counts(&self) -> Option<SystemCounts> {
        let inside = self.inside.as_ref()?;
        Some(SystemCounts {
            platform: inside.platform.counts(),
            upstreams: inside.place.upstreams().values().map(|one| one.counts()).collect(),
            vm_processor_time: inside.vms.iter().map(VmHost::processor_time).collect(),
        })
    }

    /// Returns how often each submission key ran.
    pub(crate) fn executions(&self) -> BTreeMap<String, u64> {
        self.inside.as_ref().map(|inside| inside.place.executions()).unwrap_or_default()
    }

    /// Carries out a fault.
    ///
    /// # Errors
    /// The fault does not fit the system.
    pub(crate) async fn apply(&mut self, fault: &Fault) -> Result<(), String> {
        let Some(inside) = &mut self.inside else {
            return Err("the VMs run elsewhere".to_owned());
        };
        match fault {
            Fault::Upstreams { service, replica, ids, behaviour } => {
                let shape = &self.shapes[service];
                let chosen = inside.place.upstreams_of(service).filter(|upstream| {
                    replica.is_none_or(|number| shape.replica_index(upstream.id()) == Some(number))
                        && (ids.is_empty() || ids.contains(upstream.id()))
                });
                for upstream in chosen {
                    upstream.patch_behaviour(behaviour).map_err(|error| error.to_string())?;
                }
                Ok(())
            }
            Fault::Platform(change) => {
                inside.platform.patch_behaviour(change).map_err(|error| error.to_string())
            }
            Fault::KillVm(index) => {
                inside.vms[*index].kill();
                Ok(())
            }
            Fault::StopVm(index) => {
                inside.vms[*index].stop().await;
                Ok(())
            }
            Fault::Repartition { service, shards } => {
                // The snapshot must be known before the first answer from it can arrive.
                let next = inside.place.catalogues()[service].newest().map_or(1, |(v, _)| v + 1);
                let key = (service.clone(), next);
                lock(&self.known).insert(key, (0..*shards).collect());
                let published = inside.place.repartition(&inside.client, service, *shards).await;
                published.map(|_| ()).map_err(|error| error.to_string())
            }
            Fault::Retire { service, snapshot } => inside
                .place
                .retire(&inside.client, service, *snapshot)
                .await
                .map_err(|error| error.to_string()),
        }
    }

    /// Stops the VMs that this process started.
    pub(crate) async fn close(mut self) {
        if let Some(inside) = &mut self.inside {
            for vm in &mut inside.vms {
                vm.stop().await;
            }
        }
    }

    async fn wait_until_ready(&self, case: &Case) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
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
                wait_for_answer(&caller, &query, end)
                    .await
                    .map_err(|last| format!("{address} is not ready: {last}"))?;
            }
        }
        self.wait_for_members(end).await
    }

    /// Waits until every VM knows all of them, so that ownership does not move any more.
    async fn wait_for_members(&self, end: Instant) -> Result<(), String> {
        let count = self.addresses.len();
        for address in &self.addresses {
            let caller = Caller::open(vec![*address]);
            loop {
                let known = caller.known_vms().await?;
                if known >= count {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("{address} knows {known} of {count} VMs"));
                }
                tokio::time::sleep(READY_PAUSE).await;
            }
        }
        Ok(())
    }
}

impl Inside {
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
            .map_err(|error| format!("cannot bind the platform: {error}"))?;
        let options = DeploymentOptions {
            seed,
            services: case.services.clone(),
            ..DeploymentOptions::default()
        };
        let place = DeploymentStandin::bind(case.place, options)
            .await
            .map_err(|error| format!("cannot bind the upstreams: {error}"))?;
        let client = PlatformStore::open(vec![platform.address()]);
        publish(&client, &place, case, policy).await?;
        let centres = case.place.data_centres();
        let mut vms = Vec::new();
        for index in 0..count {
            let centre = centres[index % centres.len()];
            vms.push(VmHost::spawn(centre, platform.address(), threads).await?);
        }
        platform.set_vms(vms.iter().map(|vm| vm.listed().clone()).collect());
        Ok(Self { platform, client, place, vms })
    }
}

async fn publish(
    client: &PlatformStore,
    place: &DeploymentStandin,
    case: &Case,
    policy: RoutingPolicy,
) -> Result<(), String> {
    place.publish(client).await.map_err(|error| format!("cannot publish the place: {error}"))?;
    let mut bundle = place.bundle();
    if !case.settings.is_null() {
        json_patch::merge(&mut bundle.base, &case.settings);
    }
    json_patch::merge(&mut bundle.base, &json!({ "routing": { "policy": policy } }));
    bundle.change_id = format!("{}-{policy:?}", bundle.change_id);
    let published = publish_bundle(client, &bundle).await;
    published.map(|_| ()).map_err(|error| format!("cannot publish the settings: {error}"))
}

async fn wait_for_answer(
    caller: &Caller,
    query: &QueryRequest,
    end: Instant,
) -> Result<(), String> {
    loop {
        let last = match caller.query(query).await {
            Reply::Answered(answer) if answer.answer.coverage().complete().is_some() => {
                return Ok(());
            }
            Reply::Answered(_) => "its answers are partial".to_owned(),
            Reply::Refused(refused) => refused.refusal.detail().to_owned(),
            Reply::Failed(detail) => detail,
        };
        if Instant::now() > end {
            return Err(last);
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
}

fn first_snapshots(shapes: &BTreeMap<ServiceName, ServiceShape>) -> KnownSnapshots {
    shapes
        .iter()
        .map(|(service, shape)| ((service.clone(), 1), (0..shape.shards).collect()))
        .collect()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
