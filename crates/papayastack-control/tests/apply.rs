//! Tests of `papayactl` against a stand-in platform and running VMs.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use papayastack::{ListedState, ListedVm, LocalSettings, Platform, Vm};
use papayastack::{Object, configuration_object};
use papayastack_platform::PlatformStore;
use papayastack_standin::PlatformStandin;
use serde_json::{Value, json};

use support::{Run, example, papayactl, write_directory};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_platform() -> PlatformStandin {
    PlatformStandin::bind_seeded(any_port(), 1).await.expect("a free port can be bound")
}

async fn start_vm(platform: &PlatformStandin, data_centre: &str) -> Vm {
    let local = LocalSettings::on_loopback(
        data_centre,
        platform.address(),
        "a key of at least thirty-two characters",
    );
    let client = Arc::new(PlatformStore::open(vec![platform.address()]));
    let vm = Vm::bind(local, client).await.expect("a free port can be bound");
    platform.put_vm(ListedVm {
        address: vm.link_address(),
        data_centre: data_centre.to_owned(),
        entry_vm: true,
        state: ListedState::Live,
    });
    vm
}

/// Runs `papayactl` against `platform` on a blocking thread, so that the stand-ins keep running.
async fn run(platform: &PlatformStandin, arguments: &[&str]) -> Run {
    let mut arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    arguments.extend(["--platform".to_owned(), platform.address().to_string()]);
    tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        papayactl(&arguments)
    })
    .await
    .expect("papayactl runs")
}

async fn stored(platform: &PlatformStandin) -> Option<Object> {
    let client = PlatformStore::open(vec![platform.address()]);
    client.read(&configuration_object()).await.ok()
}

fn changed_armor(name: &str, queue_max: u64) -> String {
    let mut configuration = example("armor");
    configuration["base"]["routing"]["queue_max"] = json!(queue_max);
    write_directory(name, &configuration).display().to_string()
}

fn outcome(run: &Run) -> Value {
    run.json()["outcome"].clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fetched_configuration_applies_to_the_version_it_was_read_at() {
    let platform = start_platform().await;
    let first = run(&platform, &["apply", "--json", "examples/armor"]).await;
    let fetched = run(&platform, &["fetch"]).await;
    let directory = write_directory("fetched", &example("armor"));
    let file = directory.join("fetched.json");
    let mut edited = fetched.json();
    edited["base"]["routing"]["queue_max"] = json!(9);
    std::fs::write(&file, edited.to_string()).unwrap();

    let second = run(&platform, &["apply", "--json", file.to_str().unwrap()]).await;
    let again = run(&platform, &["apply", "--json", file.to_str().unwrap()]).await;

    assert_eq!((first.code, fetched.code, second.code), (0, 0, 0), "{}", second.errors);
    assert_eq!(outcome(&first)["applied"]["version"], fetched.json()["version"]);
    assert_eq!(again.code, 4, "{}", again.output);
    let stored = stored(&platform).await.unwrap();
    assert_eq!(outcome(&second)["applied"]["version"], stored.version);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_apply_that_lost_a_race_is_refused_with_its_own_difference() {
    let platform = start_platform().await;
    let read = run(&platform, &["apply", "--json", "examples/armor"]).await;
    let read_version = outcome(&read)["applied"]["version"].to_string();
    let (theirs, own) = (changed_armor("theirs", 7), changed_armor("own", 8));
    run(&platform, &["apply", &theirs]).await;
    let before = stored(&platform).await;

    let refused =
        run(&platform, &["apply", "--json", &own, "--expect-version", &read_version]).await;
    let explained = run(&platform, &["apply", &own, "--expect-version", &read_version]).await;

    assert_eq!((refused.code, explained.code), (4, 4));
    let path = "/base/routing/queue_max";
    let expected = json!([{"op": "replace", "path": path, "value": 8}]);
    assert_eq!(outcome(&refused)["raced"]["own_difference"], expected);
    assert!(explained.output.contains("change /base/routing/queue_max: 8"));
    assert_eq!(stored(&platform).await, before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let platform = start_platform().await;
    platform.change_behaviour(|behaviour| behaviour.lost_after_permille = 1_000);

    let applied = run(&platform, &["apply", "--json", "examples/armor"]).await;

    let stored = stored(&platform).await.unwrap();
    assert_eq!(applied.code, 0, "{}", applied.output);
    assert_eq!(outcome(&applied)["applied"]["version"], stored.version);
    assert_eq!(applied.json()["change_id"], stored.value["change_id"]);
    assert_eq!(stored.value["earlier_change_ids"], Value::Null);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_whose_outcome_is_unknown_is_repeated_under_its_id() {
    let platform = start_platform().await;
    run(&platform, &["apply", "examples/armor"]).await;
    let changed = changed_armor("repeated", 8);

    let first = run(&platform, &["apply", "--json", &changed, "--change-id", "mine"]).await;
    let again = run(&platform, &["apply", "--json", &changed, "--change-id", "mine"]).await;

    assert_eq!((first.code, again.code), (0, 0));
    assert_eq!(outcome(&first), outcome(&again));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_configuration_never_reaches_the_platform() {
    let platform = start_platform().await;
    let mut configuration = example("armor");
    configuration["overlays"]["brest"]["limits"] = json!({"terms_max": 0});
    let directory = write_directory("never", &configuration);

    let refused = run(&platform, &["apply", directory.to_str().unwrap()]).await;

    assert_eq!(refused.code, 3);
    assert!(refused.errors.contains("brest.json: /limits/terms_max"), "{}", refused.errors);
    assert_eq!(stored(&platform).await, None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_ends_when_the_change_is_in_force_on_all_vms() {
    let platform = start_platform().await;
    let mut vms = Vec::new();
    for data_centre in ["rennes", "brest", "vannes", "rennes"] {
        vms.push(start_vm(&platform, data_centre).await);
    }
    let operator = vms[0].operator_address().to_string();
    let wait = ["--wait", "--timeout-ms", "60000", "--operator", &operator];

    let applied =
        run(&platform, &[&["apply", "--json", "examples/armor"][..], &wait].concat()).await;

    assert_eq!(applied.code, 0, "{}{}", applied.output, applied.errors);
    assert_eq!(applied.json()["in_force_everywhere"], json!(true));
    let version = outcome(&applied)["applied"]["version"].clone();
    for vm in &vms {
        let in_force = vm.in_force().borrow().clone().unwrap();
        assert_eq!(json!(in_force.configuration_version), version);
    }
    let status = run(&platform, &["status", "--operator", &operator]).await;
    assert_eq!(status.code, 0, "{}", status.output);
    assert!(status.output.contains("is in force everywhere, on 4 VMs"), "{}", status.output);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_reports_a_vm_that_no_other_vm_knows() {
    let platform = start_platform().await;
    let vm = start_vm(&platform, "rennes").await;
    platform.put_vm(ListedVm {
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "brest".into(),
        entry_vm: true,
        state: ListedState::Live,
    });
    let operator = vm.operator_address().to_string();
    let wait = ["--wait", "--timeout-ms", "1500", "--operator", &operator];

    let applied = run(&platform, &[&["apply", "examples/armor"][..], &wait].concat()).await;

    assert_eq!(applied.code, 6, "{}{}", applied.output, applied.errors);
    assert!(applied.output.contains("127.0.0.1:9"), "{}", applied.output);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_asks_the_vm_to_leave() {
    let platform = start_platform().await;
    let vm = start_vm(&platform, "rennes").await;
    let operator = vm.operator_address().to_string();

    let drained =
        tokio::task::spawn_blocking(move || papayactl(&["drain", "--operator", &operator]));
    let nobody = tokio::task::spawn_blocking(|| papayactl(&["drain", "--operator", "127.0.0.1:9"]));

    let drained = drained.await.unwrap();
    assert_eq!(drained.code, 0, "{}", drained.errors);
    assert!(drained.output.ends_with(": leaving\n"));
    assert_eq!(nobody.await.unwrap().code, 1);
}
