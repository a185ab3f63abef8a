//! Tests of the driver against an in-process platform, in virtual time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::{mpsc, watch};

use super::super::*;
use super::fleet::{address, bundle};
use crate::ids::VmAddress;
use crate::membership::{Member, MemberState, MemberView, VmIdentity};
use crate::platform::{
    ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition,
};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A platform that supports watches only, and never answers a watch that starts while `hangs` is
/// set.
#[derive(Default)]
struct WatchOnlyPlatform {
    objects: Mutex<BTreeMap<ObjectName, Object>>,
    hangs: Mutex<bool>,
}

impl WatchOnlyPlatform {
    fn put(&self, version: ObjectVersion) {
        let object = Object { version, value: bundle(version) };
        self.objects.lock().unwrap().insert(configuration_object(), object);
    }

    fn set_hangs(&self, hangs: bool) {
        *self.hangs.lock().unwrap() = hangs;
    }
}

#[async_trait]
impl Platform for WatchOnlyPlatform {
    async fn read(&self, _: &ObjectName) -> Result<Object, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn watch(
        &self,
        name: &ObjectName,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        if *self.hangs.lock().unwrap() {
            std::future::pending::<()>().await;
        }
        let end = tokio::time::Instant::now() + wait;
        while tokio::time::Instant::now() < end {
            let object = self.objects.lock().unwrap().get(name).cloned();
            match object {
                None => return Err(PlatformError::NotFound),
                Some(object) if object.version > after => return Ok(Some(object)),
                Some(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        Ok(None)
    }

    async fn update(
        &self,
        _: &ObjectName,
        _: Precondition,
        _: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn delete(&self, _: &ObjectName, _: ObjectVersion) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn list(&self, _: &str) -> Result<Vec<ObjectName>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

struct Drivers {
    handles: Vec<ConfigurationHandle>,
    _members: watch::Sender<Arc<MemberView>>,
}

/// Spawns drivers that exchange messages over channels.
fn spawn_drivers(platform: &Arc<WatchOnlyPlatform>, size: u16) -> Drivers {
    let (members, members_seen) = watch::channel(Arc::new(view(size)));
    let mut inboxes = BTreeMap::new();
    let mut handles = Vec::new();
    let mut outboxes = Vec::new();
    for vm in (0..size).map(address) {
        let (outbound, outbox) = mpsc::channel(64);
        let (inbox, inbound) = mpsc::channel(64);
        inboxes.insert(vm, inbox);
        outboxes.push((vm, outbox));
        let platform: Arc<dyn Platform> = platform.clone();
        let members = members_seen.clone();
        let handle =
            ConfigurationDriver::spawn(platform, vm, "any".into(), members, outbound, inbound);
        handles.push(handle);
    }
    for (vm, outbox) in outboxes {
        tokio::spawn(forward_messages(vm, outbox, inboxes.clone()));
    }
    Drivers { handles, _members: members }
}

async fn forward_messages(
    from: VmAddress,
    mut outbox: mpsc::Receiver<(VmAddress, ConfigurationMessage)>,
    inboxes: BTreeMap<VmAddress, mpsc::Sender<(VmAddress, ConfigurationMessage)>>,
) {
    while let Some((to, message)) = outbox.recv().await {
        inboxes[&to].send((from, message)).await.unwrap();
    }
}

fn view(size: u16) -> MemberView {
    let members = (0..size).map(address).map(|vm| {
        let member = Member {
            identity: VmIdentity { address: vm, incarnation: 1 },
            data_centre: "a".into(),
            caller_address: vm,
            state: MemberState::Live,
            configuration_version: 0,
        };
        (vm, member)
    });
    MemberView { members: members.collect(), ..MemberView::default() }
}

async fn wait_until_in_force(drivers: &mut Drivers, version: u64) {
    for handle in &mut drivers.handles {
        let is_in_force = |in_force: &Option<Arc<ActiveConfiguration>>| {
            in_force.as_ref().is_some_and(|current| current.configuration_version == version)
        };
        handle.in_force.wait_for(is_in_force).await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn every_driver_puts_new_platform_versions_in_force() {
    let platform = Arc::new(WatchOnlyPlatform::default());
    platform.put(1);
    let mut drivers = spawn_drivers(&platform, 4);

    wait_until_in_force(&mut drivers, 1).await;
    platform.put(2);

    wait_until_in_force(&mut drivers, 2).await;
}

#[tokio::test(start_paused = true)]
async fn drivers_resume_watching_after_the_platform_hangs() {
    let platform = Arc::new(WatchOnlyPlatform::default());
    platform.put(1);
    let mut drivers = spawn_drivers(&platform, 2);
    wait_until_in_force(&mut drivers, 1).await;

    platform.set_hangs(true);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let failures: u64 = drivers
        .handles
        .iter()
        .map(|handle| handle.status.borrow().counters.platform_failures)
        .sum();
    platform.set_hangs(false);
    platform.put(2);

    assert!(failures > 0);
    wait_until_in_force(&mut drivers, 2).await;
}

#[tokio::test(start_paused = true)]
async fn a_request_keeps_the_configuration_that_it_began_with() {
    let platform = Arc::new(WatchOnlyPlatform::default());
    platform.put(1);
    let mut drivers = spawn_drivers(&platform, 1);
    wait_until_in_force(&mut drivers, 1).await;
    let pinned = drivers.handles[0].in_force.borrow().clone().unwrap();

    platform.put(2);
    wait_until_in_force(&mut drivers, 2).await;

    assert_eq!(pinned.configuration_version, 1);
    assert_eq!(pinned.settings.routing.queue_max, 2);
}
