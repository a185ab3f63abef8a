//! Measures the time from the acceptance of a configuration until it is in force on all VMs.
//!
//! `cargo run --release -p papayastack-standin --example configuration_rollout [VMS] [CHANGES]`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{
    ListedState, ListedVm, LocalSettings, Object, Platform, Precondition, Vm, configuration_object,
};
use papayastack_platform::PlatformStore;
use papayastack_standin::{Deployment, DeploymentOptions, DeploymentStandin, PlatformStandin};
use serde_json::json;

const VMS: usize = 4;
const CHANGES: usize = 100;
/// The platform delays with which the rollout is measured, in milliseconds.
const PLATFORM_DELAYS_MS: [u64; 2] = [0, 500];
/// The longest wait for one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        arguments.next().map_or(default, |text| text.parse().expect("the arguments are numbers"))
    };
    let (vms, changes) = (number(VMS), number(CHANGES));
    println!("| VMs | platform delay (ms) | changes | p50 (ms) | p99 (ms) | max (ms) | lost |");
    println!("|---|---|---|---|---|---|---|");
    for delay_ms in PLATFORM_DELAYS_MS {
        println!("{}", measure(vms, changes, delay_ms).await);
    }
}

async fn measure(vm_count: usize, changes: usize, delay_ms: u64) -> String {
    let platform = PlatformStandin::bind(any_port()).await.expect("a free port can be bound");
    let client = PlatformStore::open(vec![platform.address()]);
    let deployment = DeploymentStandin::bind(Deployment::PlazoClaro, DeploymentOptions::default())
        .await
        .expect("free ports can be bound");
    deployment.publish(&client).await.expect("the platform accepts the deployment");
    let data_centres = Deployment::PlazoClaro.data_centres();
    let mut vms = Vec::new();
    for number in 0..vm_count {
        vms.push(start_vm(&platform, data_centres[number % data_centres.len()]).await);
    }
    let mut object = client.read(&configuration_object()).await.expect("the platform answers");
    wait_until_in_force(&vms, object.version).await;
    platform.change_behaviour(|behaviour| behaviour.slow_ms = delay_ms);
    let mut times = Vec::new();
    for number in 0..changes {
        object = apply_change(&client, object, number).await;
        let accepted_at = Instant::now();
        let in_force = wait_until_in_force(&vms, object.version);
        if tokio::time::timeout(CHANGE_TIMEOUT, in_force).await.is_ok() {
            times.push(accepted_at.elapsed());
        }
    }
    times.sort();
    let percentile_ms = |permille: usize| {
        let index = (times.len() * permille / 1_000).min(times.len().saturating_sub(1));
        times.get(index).map_or(f64::NAN, |time| time.as_secs_f64() * 1_000.0)
    };
    format!(
        "| {vm_count} | {delay_ms} | {changes} | {:.1} | {:.1} | {:.1} | {} |",
        percentile_ms(500),
        percentile_ms(990),
        percentile_ms(1_000),
        changes - times.len()
    )
}

async fn start_vm(platform: &PlatformStandin, data_centre: &str) -> Vm {
    let local = LocalSettings::on_loopback(
        data_centre,
        platform.address(),
        "a key for measurements of this machine alone",
    );
    let client = Arc::new(PlatformStore::open(vec![platform.address()]));
    let vm = Vm::bind(local, client).await.expect("free ports can be bound");
    platform.put_vm(ListedVm {
        address: vm.link_address(),
        data_centre: data_centre.to_owned(),
        entry_vm: true,
        state: ListedState::Live,
    });
    vm
}

async fn apply_change(client: &PlatformStore, object: Object, number: usize) -> Object {
    let mut value = object.value;
    value["change_id"] = json!(format!("measured-{number}"));
    value["base"]["routing"] = json!({ "queue_max": 200 + number });
    let precondition = Precondition::Version(object.version);
    let version = client
        .update(&configuration_object(), precondition, value.clone())
        .await
        .expect("the platform accepts the change");
    Object { version, value }
}

async fn wait_until_in_force(vms: &[Vm], version: u64) {
    for vm in vms {
        let mut in_force = vm.in_force();
        let reached = in_force.wait_for(|current| {
            current.as_ref().is_some_and(|current| current.configuration_version >= version)
        });
        reached.await.expect("the VM runs");
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
