//! The system that the quickstart runs: a platform, the upstreams of one deployment and four VMs.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use papayastack::{CallerClient, ListedState, ListedVm, LocalSettings, Platform, Vm};
use papayastack_platform::PlatformStore;
use papayastack_standin::{Deployment, DeploymentOptions, DeploymentStandin, PlatformStandin};

/// The service that receives the queries.
pub(crate) const QUERY_SERVICE: &str = "deadline-board";
/// The service that receives the submissions.
pub(crate) const SUBMISSION_SERVICE: &str = "reminder-mailer";
/// The seed from which the stand-ins generate their indexes.
pub(crate) const SEED: u64 = 2026;

/// The lifetime of address answers in milliseconds; short, because a leaving VM keeps serving until
/// the last address answer that names it has expired.
const ADDRESS_LIFETIME_MS: u64 = 1_000;
/// The data centre of each VM.
const DATA_CENTRES: [&str; 4] = ["centro-a", "centro-a", "centro-b", "centro-c"];
/// The system key that the VMs share.
const SYSTEM_KEY: &str = "the key of the quickstart";
/// The time limit of [`wait_until`].
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The running system.
pub(crate) struct System {
    pub(crate) platform_standin: PlatformStandin,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) place: DeploymentStandin,
    pub(crate) vms: Vec<Vm>,
    pub(crate) caller: CallerClient,
}

impl System {
    /// Starts the stand-ins and the VMs and waits until each VM knows the other three and has the
    /// configuration in force.
    pub(crate) async fn start() -> Result<Self, String> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform_standin =
            PlatformStandin::bind(any_port).await.map_err(|error| error.to_string())?;
        let options = DeploymentOptions {
            seed: SEED,
            services: BTreeSet::from([QUERY_SERVICE.to_owned(), SUBMISSION_SERVICE.to_owned()]),
            ..DeploymentOptions::default()
        };
        let place = DeploymentStandin::bind(Deployment::PlazoClaro, options)
            .await
            .map_err(|error| error.to_string())?;
        let platform = Arc::new(PlatformStore::open(vec![platform_standin.address()]));
        publish(&place, platform.as_ref()).await?;
        let mut vms = Vec::new();
        for data_centre in DATA_CENTRES {
            let local =
                LocalSettings::on_loopback(data_centre, platform_standin.address(), SYSTEM_KEY);
            let vm = Vm::bind(local, Arc::clone(&platform) as _)
                .await
                .map_err(|report| report.to_string())?;
            platform_standin.put_vm(list_entry(&vm, data_centre));
            vms.push(vm);
        }
        for vm in &vms {
            wait_until("every VM knows the others and the configuration", || is_ready(vm)).await?;
        }
        let entry_addresses = vms.iter().map(Vm::caller_address).collect();
        let caller = CallerClient::open(entry_addresses, Some("centro-b".to_owned())).await;
        Ok(Self { platform_standin, platform, place, vms, caller })
    }

    /// Stops the VMs that still run; the stand-ins end with the process.
    pub(crate) async fn stop(self) {
        for vm in self.vms {
            vm.shutdown().await;
        }
    }
}

/// Waits until a condition holds.
///
/// # Errors
/// The condition does not hold within [`READY_TIMEOUT`].
pub(crate) async fn wait_until(condition: &str, holds: impl Fn() -> bool) -> Result<(), String> {
    let polls = READY_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if holds() {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(format!("timed out after {} s waiting until {condition}", READY_TIMEOUT.as_secs()))
}

async fn publish(place: &DeploymentStandin, platform: &dyn Platform) -> Result<(), String> {
    place.publish(platform).await.map_err(|error| error.to_string())?;
    let mut bundle = place.bundle();
    bundle.change_id = "quickstart-address-lifetime".to_owned();
    bundle.base["addresses"] = serde_json::json!({ "lifetime_ms": ADDRESS_LIFETIME_MS });
    papayastack_standin::publish_bundle(platform, &bundle)
        .await
        .map(|_| ())
        .map_err(|error| error.to_string())
}

fn is_ready(vm: &Vm) -> bool {
    let members = vm.members().borrow().live().count();
    let configured = vm
        .in_force()
        .borrow()
        .as_ref()
        .is_some_and(|current| current.catalogues.len() == current.settings.services.len());
    members == DATA_CENTRES.len() && configured
}

fn list_entry(vm: &Vm, data_centre: &str) -> ListedVm {
    ListedVm {
        address: vm.link_address(),
        data_centre: data_centre.to_owned(),
        entry_vm: true,
        state: ListedState::Live,
    }
}
