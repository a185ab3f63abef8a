//! Measures how long an accepted configuration takes until it is in force on all VMs.
//!
//! `cargo run --release -p papayastack-standin --example configuration_rollout [VMS] [CHANGES]`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{
    ListedState, ListedVm, LocalSettings, Object, Platform, Precondition, Vm, configuration_object,
};
use papayastack_platform::PlatformStore;
use papayastack_standin::{Place, PlaceOptions, PlaceStandin, PlatformStandin};
use serde_json::json;

const VMS: usize = 4;
const CHANGES: usize = 100;
/// The measured response delays of the platform.
const PLATFORM_DELAYS_MS: [u64; 2] = [0, 500];
/// The time after which a change counts as lost.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        arguments
            .next()
            .map_or(default, |text| text.parse().expect("VMS and CHANGES must be numbers"))
    };
    let (vms, changes) = (number(VMS), number(CHANGES));
    println!("| VMs | platform delay (ms) | changes | p50 (ms) | p99 (ms) | max (ms) | lost |");
    println!("|---|---|---|---|---|---|---|");
    for delay_ms in PLATFORM_DELAYS_MS {
        println!("{}", measure(vms, changes, delay_ms).await);
    }
}

async fn measure(vm_count: usize, changes: usize, delay_ms: u64) -> String {
    let platform =
        PlatformStandin::bind(loopback_any_port()).await.expect("a free port can be bound");
    let client = PlatformStore::open(vec![platform.address()]);
    let place = PlaceStandin::bind(Place::PlazoClaro, PlaceOptions::default())
        .await
        .expect("free ports can be bound");
    place.publish(&client).await.expect("the platform accepts the objects of the place");
    let data_centres = Place::PlazoClaro.data_centres();
    let mut vms = Vec::new();
    for number in 0..vm_count {
        vms.push(start_vm(&platform, data_centres[number % data_centres.len()]).await);
    }
    let mut object = client.read(&configuration_object()).await.expect("the platform answers");
    wait_until_in_force(&vms, object.version).await;
    platform.change_behaviour(|behaviour| behaviour.slow_ms = delay_ms);
    let mut rollout_times = Vec::new();
    for number in 0..changes {
        object = apply_change(&client, object, number).await;
        let accepted_at = Instant::now();
        let all_in_force = wait_until_in_force(&vms, object.version);
        if tokio::time::timeout(CHANGE_TIMEOUT, all_in_force).await.is_ok() {
            rollout_times.push(accepted_at.elapsed());
        }
    }
    rollout_times.sort();
    let at = |permille: usize| {
        let index =
            (rollout_times.len() * permille / 1_000).min(rollout_times.len().saturating_sub(1));
        rollout_times.get(index).map_or(f64::NAN, |time| time.as_secs_f64() * 1_000.0)
    };
    format!(
        "| {vm_count} | {delay_ms} | {changes} | {:.1} | {:.1} | {:.1} | {} |",
        at(500),
        at(990),
        at(1_000),
        changes - rollout_times.len()
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

/// Waits until all `vms` have at least `version` in force.
async fn wait_until_in_force(vms: &[Vm], version: u64) {
    for vm in vms {
        let mut in_force = vm.in_force();
        let reached = in_force.wait_for(|current| {
            current.as_ref().is_some_and(|current| current.configuration_version >= version)
        });
        reached.await.expect("the VM runs");
    }
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
