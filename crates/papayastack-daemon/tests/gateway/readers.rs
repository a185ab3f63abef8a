//! VMs that learn of changes in the store from a VM that reads it for them.

use std::time::Duration;

use papayastack::ObjectName;
use papayastack_standin::PlatformStandin;

use crate::support::{
    CONFIGURATION, GatewayProcess, Upstream, announce_leaving, put_backend, start_store, status_of,
};

const VMS: usize = 5;
const READERS: usize = 3;
/// The time in which a change in the store must take effect.
const APPLY_MAX: Duration = Duration::from_secs(3);
/// How long a VM that follows a reader may take to say so.
const FOLLOWED_AFTER_MAX: Duration = Duration::from_secs(4);

/// VMs that know each other, parted by whether they read the store.
struct Fleet {
    readers: Vec<GatewayProcess>,
    followers: Vec<GatewayProcess>,
    store: PlatformStandin,
}

impl Fleet {
    async fn start(upstream: &Upstream) -> Self {
        let store = start_store(Some(upstream)).await;
        let mut vms = Vec::new();
        for _ in 0..VMS {
            vms.push(GatewayProcess::start(store.address()).await);
        }
        let (mut readers, mut followers) = (Vec::new(), Vec::new());
        for mut vm in vms {
            vm.wait_until_served().await;
            let followed = vm.next_event("feed_followed");
            match tokio::time::timeout(FOLLOWED_AFTER_MAX, followed).await {
                Ok(_) => followers.push(vm),
                Err(_) => readers.push(vm),
            }
        }
        assert_eq!(readers.len(), READERS);
        Self { readers, followers, store }
    }

    /// Writes a later version of the configuration with a route to `/new/`.
    fn add_route(&self) {
        let configuration = CONFIGURATION
            .replace("\"config_version\": 5", "\"config_version\": 6")
            .replace("\"/read/\"", "\"/new/\"");
        let configuration = serde_json::from_str(&configuration).expect("fixtures are JSON");
        self.store.put_object(&ObjectName::new("config", "main"), configuration);
    }
}

async fn wait_for_new_route(vm: &GatewayProcess) {
    while status_of(vm.caller_address, "/new/x").await != Some(200) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn vms_that_follow_a_reader_make_no_calls_and_learn_of_new_routes() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let fleet = Fleet::start(&upstream).await;

    let before = fleet.store.counts();
    fleet.add_route();
    for vm in fleet.followers.iter().chain(&fleet.readers) {
        tokio::time::timeout(APPLY_MAX, wait_for_new_route(vm)).await.expect("the route is served");
    }
    let watches = fleet.store.counts().watches - before.watches;

    // The readers' watches that were open, and the next one of each.
    assert!(watches <= 2 * READERS as u64, "{watches} watches");
}

// Guards against VMs that stay deaf when all VMs that read the store for them end without a word.
#[tokio::test]
async fn vms_whose_readers_are_killed_learn_from_the_store_in_time() {
    let upstream = Upstream::bind(Duration::ZERO).await;
    let leaving = Upstream::bind(Duration::ZERO).await;
    let mut fleet = Fleet::start(&leaving).await;
    put_backend(&fleet.store, 2, upstream.address);

    fleet.readers.iter_mut().for_each(GatewayProcess::kill);
    fleet.add_route();
    announce_leaving(&fleet.store, &leaving);

    for vm in &fleet.followers {
        tokio::time::timeout(APPLY_MAX, wait_for_new_route(vm)).await.expect("the route is served");
    }
    tokio::time::sleep(APPLY_MAX).await;
    let before = leaving.arrived();
    for vm in &fleet.followers {
        assert_eq!(status_of(vm.caller_address, "/new/y").await, Some(200));
    }
    assert_eq!(leaving.arrived(), before, "a request reached the upstream that left");
}
