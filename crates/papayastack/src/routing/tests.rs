//! Tests of ownership.

use std::net::SocketAddr;

use super::*;
use crate::membership::{Member, MemberState, MemberView, VmIdentity};

fn member(port: u16, data_centre: &str) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Member {
        identity: VmIdentity { address, incarnation: 1 },
        data_centre: data_centre.to_owned(),
        caller_address: address,
        state: MemberState::Live,
        configuration_version: 0,
    }
}

fn view(members: &[Member]) -> MemberView {
    let by_address = members.iter().map(|member| (member.identity.address, member.clone()));
    MemberView { members: by_address.collect(), ..MemberView::default() }
}

#[test]
fn owners_in_the_same_data_centre_come_first() {
    let view = view(&[member(1, "a"), member(2, "b"), member(3, "b"), member(4, "c")]);

    let order = owner_order("upstream-7", "b", &view);

    let ports: Vec<u16> = order.iter().map(|address| address.port()).collect();
    assert_eq!(order.len(), 4);
    assert!(ports[..2].contains(&2) && ports[..2].contains(&3));
}

#[test]
fn a_lost_vm_moves_only_its_own_upstreams() {
    let all = [member(1, "a"), member(2, "a"), member(3, "a"), member(4, "a")];
    let (before, after) = (view(&all), view(&all[1..]));

    for upstream in (0..1000).map(|number| format!("upstream-{number}")) {
        let old = owner_order(&upstream, "a", &before);
        let new = owner_order(&upstream, "a", &after);
        let expected = if old[0].port() == 1 { old[1] } else { old[0] };
        assert_eq!(new[0], expected);
    }
}

#[test]
fn a_leaving_vm_owns_nothing() {
    let mut leaving = member(1, "a");
    leaving.state = MemberState::Leaving;

    let order = owner_order("upstream-7", "a", &view(&[leaving, member(2, "b")]));

    assert_eq!(order.len(), 1);
    assert_eq!(order[0].port(), 2);
}

#[test]
fn direct_shares_leave_every_vm_one_slot() {
    assert_eq!(direct_share(5, 4), 1);
    assert_eq!(direct_share(3, 4), 1);
    assert_eq!(direct_share(40, 4), 10);
}
