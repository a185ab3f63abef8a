//! Fleets of VMs that run `Membership` over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use papayastack::{
    Keyring, ListedState, ListedVm, Member, MemberState, Membership, MembershipSettings, Object,
    ObjectName, ObjectVersion, Platform, PlatformError, Precondition, VmIdentity,
};
use tokio::sync::watch;

/// A platform that only lists VMs.
struct ListingPlatform(watch::Receiver<Vec<SocketAddr>>);

#[async_trait]
impl Platform for ListingPlatform {
    async fn read(&self, _: &ObjectName) -> Result<Object, PlatformError> {
        Err(PlatformError::NotFound)
    }

    async fn watch(
        &self,
        _: &ObjectName,
        _: ObjectVersion,
        _: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        Err(PlatformError::NotFound)
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
        Ok(Vec::new())
    }

    async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        let listed = |address: &SocketAddr| ListedVm {
            address: *address,
            data_centre: "centro-a".to_owned(),
            entry_vm: true,
            state: ListedState::Live,
        };
        Ok(self.0.borrow().iter().map(listed).collect())
    }
}

/// VMs, each of which has all the others in its view.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Membership>,
    _listing: watch::Sender<Vec<SocketAddr>>,
}

impl Fleet {
    /// Starts `size` VMs in one region and waits until each VM has all of them in its view.
    pub(crate) async fn joined(size: usize) -> Self {
        let (vm_list_sender, vm_list) = watch::channel(Vec::new());
        let platform: Arc<dyn Platform> = Arc::new(ListingPlatform(vm_list));
        let keyring = Arc::new(Keyring::new(&["k".repeat(32)]).expect("the key is long enough"));
        let mut vms = Vec::new();
        for _ in 0..size {
            let platform = Arc::clone(&platform);
            let settings = MembershipSettings::default();
            let bound =
                Membership::bind(local_member(), settings, platform, Arc::clone(&keyring)).await;
            vms.push(bound.expect("loopback has free ports"));
            vm_list_sender.send_replace(vms.iter().map(Membership::address).collect());
        }
        for vm in &vms {
            let mut view = vm.view();
            // The wait cannot fail: the sender lives as long as the VM.
            let _ = view.wait_for(|view| view.members.len() == size).await;
        }
        Self { vms, _listing: vm_list_sender }
    }
}

fn local_member() -> Member {
    Member {
        identity: VmIdentity {
            address: ([127, 0, 0, 1], 0).into(),
            incarnation: 1_764_800_000_000,
        },
        data_centre: "centro-a".to_owned(),
        caller_address: ([127, 0, 0, 1], 8_080).into(),
        state: MemberState::Live,
        configuration_version: 1,
    }
}
