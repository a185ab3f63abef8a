//! The protocol on real sockets; no assertion depends on the speed of the machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::membership::{Member, MemberState, MemberView, Membership, VmIdentity};
use crate::platform::{
    ListedState, ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition,
};
use crate::seal::Keyring;
use crate::settings::MembershipSettings;

/// A platform that supports only the list of VMs.
struct Listing(watch::Receiver<Vec<SocketAddr>>);

#[async_trait]
impl Platform for Listing {
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

async fn bind(platform: &Arc<dyn Platform>, key: &str) -> Membership {
    let own = Member {
        identity: VmIdentity { address: ([127, 0, 0, 1], 0).into(), incarnation: 1 },
        data_centre: "centro-a".to_owned(),
        caller_address: ([127, 0, 0, 1], 9).into(),
        state: MemberState::Live,
        configuration_version: 0,
    };
    let keyring = Arc::new(Keyring::new(&[key.repeat(16)]).unwrap());
    let settings = MembershipSettings::default();
    Membership::bind(own, settings, Arc::clone(platform), keyring).await.unwrap()
}

async fn cluster(size: usize) -> (Vec<Membership>, watch::Sender<Vec<SocketAddr>>) {
    let (listing, listed) = watch::channel(Vec::new());
    let platform: Arc<dyn Platform> = Arc::new(Listing(listed));
    let mut vms = Vec::new();
    for _ in 0..size {
        vms.push(bind(&platform, "a").await);
        listing.send_replace(vms.iter().map(Membership::address).collect());
    }
    (vms, listing)
}

async fn until(vm: &Membership, condition: impl Fn(&MemberView) -> bool) {
    vm.view().wait_for(|view| condition(view)).await.unwrap();
}

#[tokio::test]
async fn vms_on_sockets_join_share_versions_and_remove_ended_members() {
    let (mut vms, _listing) = cluster(4).await;
    for vm in &vms {
        until(vm, |view| view.members.len() == 4).await;
    }

    vms[1].set_configuration_version(3);
    let second = vms[1].address();
    until(&vms[0], |view| view.members[&second].configuration_version == 3).await;
    vms[1].leave();
    until(&vms[0], |view| view.members[&second].state == MemberState::Leaving).await;
    let leaver = vms.remove(1);
    leaver.shut_down().await;
    let killed = vms.remove(1);
    drop(killed);

    for vm in &vms {
        until(vm, |view| view.members.len() == 2).await;
    }
}

#[tokio::test]
async fn a_notice_reaches_the_other_members() {
    let (vms, _listing) = cluster(3).await;
    for vm in &vms {
        until(vm, |view| view.members.len() == 3).await;
    }
    let mut notices = vms[1].notices().unwrap();

    vms[0].broadcast(Bytes::from_static(b"news"));

    let notice = notices.recv().await.unwrap();
    assert_eq!(notice.sender, vms[0].address());
    assert_eq!(notice.body, Bytes::from_static(b"news"));
}

#[tokio::test]
async fn datagrams_with_another_key_or_malformed_are_dropped_and_counted() {
    let (vms, listing) = cluster(2).await;
    until(&vms[0], |view| view.members.len() == 2).await;
    let platform: Arc<dyn Platform> = Arc::new(Listing(listing.subscribe()));
    let foreign_vm = bind(&platform, "b").await;
    let raw_socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();

    raw_socket.send_to(&[0; 9_000], vms[0].address()).await.unwrap();
    raw_socket.send_to(b"short", vms[0].address()).await.unwrap();
    while vms[0].counts().dropped < 5 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(vms[0].view().borrow().members.len(), 2);
    assert_eq!(foreign_vm.view().borrow().members.len(), 1);
}

#[tokio::test]
async fn binding_an_unspecified_address_names_the_setting() {
    let (_listing, listed) = watch::channel(Vec::new());
    let platform: Arc<dyn Platform> = Arc::new(Listing(listed));
    let own = Member {
        identity: VmIdentity { address: ([0, 0, 0, 0], 0).into(), incarnation: 1 },
        data_centre: "centro-a".to_owned(),
        caller_address: ([127, 0, 0, 1], 9).into(),
        state: MemberState::Live,
        configuration_version: 0,
    };
    let keyring = Arc::new(Keyring::new(&["a".repeat(16)]).unwrap());

    let refused = Membership::bind(own, MembershipSettings::default(), platform, keyring).await;

    assert!(refused.unwrap_err().to_string().contains("link_address"));
}

#[tokio::test]
async fn binding_with_too_long_a_data_centre_name_names_the_setting() {
    let (_listing, listed) = watch::channel(Vec::new());
    let platform: Arc<dyn Platform> = Arc::new(Listing(listed));
    let own = Member {
        identity: VmIdentity { address: ([127, 0, 0, 1], 0).into(), incarnation: 1 },
        data_centre: "c".repeat(129),
        caller_address: ([127, 0, 0, 1], 9).into(),
        state: MemberState::Live,
        configuration_version: 0,
    };
    let keyring = Arc::new(Keyring::new(&["a".repeat(16)]).unwrap());

    let refused = Membership::bind(own, MembershipSettings::default(), platform, keyring).await;

    assert!(refused.unwrap_err().to_string().contains("data_centre"));
}

#[tokio::test]
async fn a_vm_absent_from_the_platform_list_joins_through_configured_peers() {
    let (_listing, listed) = watch::channel(Vec::new());
    let platform: Arc<dyn Platform> = Arc::new(Listing(listed));
    let known = bind(&platform, "k").await;
    let new = bind(&platform, "k").await;

    new.set_seeds(vec![known.address()]);

    let mut view = known.view();
    view.wait_for(|view| view.members.contains_key(&new.address())).await.unwrap();
}
