//! Tests of upstream ownership.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

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
fn a_removed_vm_moves_only_the_upstreams_that_it_owned() {
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

/// Returns the owners that a table gives for each key.
fn owners_in(table: &OwnerTable, keys: &BTreeMap<u32, OwnersKey>) -> Vec<Vec<SocketAddr>> {
    let owners = table.owners();
    keys.values().map(|key| owners.of(*key).collect()).collect()
}

fn set_upstreams(table: &mut OwnerTable, count: u32) -> BTreeMap<u32, OwnersKey> {
    let ids: Vec<String> = (0..count).map(|number| format!("upstream-{number}")).collect();
    let data_centres = ["a".to_owned(), "b".to_owned(), "c".to_owned()];
    let upstreams = ids.iter().enumerate().map(|(number, id)| {
        (number as u32, id.as_str(), &data_centres[number % data_centres.len()])
    });
    table.set_upstreams(upstreams)
}

/// Guards against drift of the incremental updates: after any sequence of joins and leaves, the
/// table gives the same owners as one that is built from scratch.
#[test]
fn an_incrementally_updated_table_equals_a_rebuilt_one() {
    let mut random = StdRng::seed_from_u64(3);
    let mut updated = OwnerTable::new();
    let keys = set_upstreams(&mut updated, 60);
    let mut members: BTreeMap<u16, Member> = BTreeMap::new();

    for _ in 0..200 {
        let port = random.random_range(1..25);
        if members.remove(&port).is_none() {
            members.insert(port, member(port, ["a", "b", "c"][usize::from(port) % 3]));
        }
        let view = view(&members.values().cloned().collect::<Vec<_>>());
        updated.set_members(&view);

        let mut rebuilt = OwnerTable::new();
        rebuilt.set_members(&view);
        let rebuilt_keys = set_upstreams(&mut rebuilt, 60);
        assert_eq!(owners_in(&updated, &keys), owners_in(&rebuilt, &rebuilt_keys));
    }
}

#[test]
fn the_table_prefers_the_data_centre_of_the_upstream_and_falls_back_to_others() {
    let mut table = OwnerTable::new();
    let keys = set_upstreams(&mut table, 30);

    table.set_members(&view(&[member(1, "a"), member(2, "b"), member(3, "b"), member(4, "b")]));

    for (number, owners) in owners_in(&table, &keys).into_iter().enumerate() {
        let ports: BTreeSet<u16> = owners.iter().map(SocketAddr::port).collect();
        assert_eq!(ports.len(), OWNERS_KEPT, "three different VMs");
        match number % 3 {
            0 => assert_eq!(owners[0].port(), 1, "the only VM of data centre a"),
            1 => assert_eq!(ports, BTreeSet::from([2, 3, 4])),
            _ => {}
        }
    }
}
