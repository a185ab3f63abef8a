//! An upstream that the platform lists as leaving gets no new work from any VM.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use papayastack::{
    CallContext, CallerClient, ListedState, ListedVm, LocalSettings, Platform, QueryClass,
    QueryRequest, Selection, ShardId, Vm,
};
use papayastack_platform::PlatformStore;
use papayastack_standin::{
    Deployment, DeploymentOptions, DeploymentStandin, PlatformStandin, UpstreamStandin,
};

const SERVICE: &str = "deadline-board";
/// The shard that only the leaving upstream can answer.
const SHARD: ShardId = 0;
/// Consecutive sweeps without new work after which the upstream counts as unused.
const QUIET_SWEEPS: u32 = 5;
/// Sweeps after which the test gives up.
const SWEEPS_MAX: u32 = 200;

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_listed_as_leaving_gets_no_new_work_from_any_vm() {
    let platform =
        PlatformStandin::bind(any_port()).await.expect("the stand-ins and VMs on loopback work");
    let deployment = open_deployment(&platform).await;
    let vms = [open_vm("centro-a", &platform).await, open_vm("centro-b", &platform).await];
    let callers = [open_caller(&vms[0]).await, open_caller(&vms[1]).await];
    let holders = &deployment.catalogues()[SERVICE].newest().expect("a snapshot").1[&SHARD];
    let upstream = &deployment.upstreams()[&holders[0]];
    // With the other replicas dead, work for the shard can only go to the leaving upstream.
    for holder in &holders[1..] {
        deployment.upstreams()[holder].change_behaviour(|behaviour| behaviour.dead = true);
    }
    while upstream.counts().searches_received == 0 {
        sweep(&callers).await;
    }

    platform.put_vm(ListedVm {
        address: upstream.address(),
        data_centre: "centro-a".to_owned(),
        entry_vm: false,
        state: ListedState::Leaving,
    });

    assert!(stops_receiving_work(upstream, &callers).await, "new work after {SWEEPS_MAX} sweeps");
}

/// Sweeps through each VM and returns whether [`QUIET_SWEEPS`] sweeps in a row brought no work.
async fn stops_receiving_work(upstream: &UpstreamStandin, callers: &[CallerClient]) -> bool {
    let mut quiet = 0;
    for _ in 0..SWEEPS_MAX {
        let before = upstream.counts().searches_received;
        sweep(callers).await;
        quiet = if upstream.counts().searches_received == before { quiet + 1 } else { 0 };
        if quiet == QUIET_SWEEPS {
            return true;
        }
    }
    false
}

/// Sweeps once through each VM and checks that only [`SHARD`] may be missing in the answers.
async fn sweep(callers: &[CallerClient]) {
    for caller in callers {
        let request = QueryRequest {
            service: SERVICE.to_owned(),
            class: QueryClass::Sweep,
            selection: Selection::Terms(vec!["dgapa".to_owned()]),
            deadline_ms: Some(400),
            hits_limit: None,
        };
        let answer = caller
            .query(request, CallContext::default())
            .await
            .expect("the stand-ins and VMs on loopback work");
        assert!(answer.answer.coverage().missing().keys().all(|shard| *shard == SHARD));
    }
}

async fn open_deployment(platform: &PlatformStandin) -> DeploymentStandin {
    let options = DeploymentOptions {
        services: BTreeSet::from([SERVICE.to_owned()]),
        ..DeploymentOptions::default()
    };
    let deployment = DeploymentStandin::bind(Deployment::PlazoClaro, options)
        .await
        .expect("the stand-ins and VMs on loopback work");
    let client: Arc<dyn Platform> = Arc::new(PlatformStore::open(vec![platform.address()]));
    deployment.publish(client.as_ref()).await.expect("the stand-ins and VMs on loopback work");
    deployment
}

async fn open_vm(data_centre: &str, platform: &PlatformStandin) -> Vm {
    let local = LocalSettings::on_loopback(data_centre, platform.address(), "the key of the test");
    let client = Arc::new(PlatformStore::open(vec![platform.address()]));
    let vm = Vm::bind(local, client).await.expect("the stand-ins and VMs on loopback work");
    platform.put_vm(ListedVm {
        address: vm.link_address(),
        data_centre: data_centre.to_owned(),
        entry_vm: true,
        state: ListedState::Live,
    });
    while vm.in_force().borrow().as_ref().is_none_or(|current| current.catalogues.is_empty()) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    vm
}

async fn open_caller(vm: &Vm) -> CallerClient {
    CallerClient::open(vec![vm.caller_address()], None).await
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
