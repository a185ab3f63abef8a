//! Tests of when a version counts as in force everywhere.

use std::collections::BTreeMap;

use super::super::*;
use super::fleet::address;
use crate::ids::VmAddress;
use crate::membership::{Member, MemberState, VmIdentity};
use crate::platform::{ListedState, ListedVm};

fn identity(number: u16) -> VmIdentity {
    VmIdentity { address: address(number), incarnation: 1 }
}

fn member(number: u16, configuration_version: u64) -> Member {
    Member {
        identity: identity(number),
        data_centre: "a".into(),
        caller_address: address(number),
        state: MemberState::Live,
        configuration_version,
    }
}

fn status(number: u16, configuration_version: u64, members: Vec<Member>) -> VmStatus {
    VmStatus {
        identity: identity(number),
        site: "any".into(),
        data_centre: "a".into(),
        caller_address: address(number),
        state: MemberState::Live,
        configuration_version,
        snapshots: BTreeMap::new(),
        refused: Vec::new(),
        members,
    }
}

fn listed(number: u16) -> ListedVm {
    ListedVm {
        address: address(number),
        data_centre: "a".into(),
        entry_vm: true,
        state: ListedState::Live,
    }
}

fn lagging(rollout: &Rollout) -> Vec<VmAddress> {
    rollout.lagging.iter().map(|vm| vm.address).collect()
}

#[test]
fn a_rollout_is_incomplete_while_a_member_is_behind() {
    let complete = status(0, 5, vec![member(0, 5), member(1, 5), member(2, 6)]);
    let incomplete = status(0, 5, vec![member(0, 5), member(1, 4), member(2, 5)]);

    let complete = Rollout::evaluate(5, &[complete], &[listed(1)]);
    let incomplete = Rollout::evaluate(5, &[incomplete], &[]);

    assert!(complete.is_complete());
    assert!(!incomplete.is_complete());
    assert_eq!(lagging(&incomplete), [address(1)]);
}

#[test]
fn a_rollout_without_any_answer_is_incomplete() {
    let rollout = Rollout::evaluate(5, &[], &[listed(0), listed(1)]);
    let nothing_known = Rollout::evaluate(5, &[], &[]);

    assert_eq!(lagging(&rollout), [address(0), address(1)]);
    assert!(!nothing_known.is_complete());
}

#[test]
fn a_vm_known_only_to_the_platform_lags_as_unknown() {
    let status = status(0, 5, vec![member(0, 5)]);

    let rollout = Rollout::evaluate(5, &[status], &[listed(0), listed(7)]);

    let expected = [LaggingVm { address: address(7), reason: LagReason::Unknown }];
    assert_eq!(rollout.lagging, expected);
}

#[test]
fn the_answer_of_a_vm_overrides_the_reports_of_its_peers() {
    let ahead = status(0, 5, vec![member(0, 5), member(1, 4)]);
    let behind = status(1, 5, vec![member(0, 3), member(1, 5)]);

    let rollout = Rollout::evaluate(5, &[ahead, behind], &[]);

    assert!(rollout.is_complete());
}

#[test]
fn a_leaving_vm_is_not_waited_for() {
    let mut leaving = member(1, 4);
    leaving.state = MemberState::Leaving;
    let status = status(0, 5, vec![member(0, 5), leaving]);

    let rollout = Rollout::evaluate(5, &[status], &[]);

    assert!(rollout.is_complete());
}

#[test]
fn a_vm_that_refused_the_version_lags_as_refused() {
    let mut status = status(0, 4, vec![member(0, 4)]);
    let refused = RefusedDocument { name: configuration_object(), version: 5, faults: Vec::new() };
    status.refused.push(refused);

    let rollout = Rollout::evaluate(5, &[status], &[]);

    assert_eq!(rollout.lagging[0].reason, LagReason::Refused { faults: Vec::new() });
}

#[test]
fn a_replaced_vm_does_not_inherit_the_version_of_its_predecessor() {
    let mut replaced = member(1, 0);
    replaced.identity.incarnation = 2;
    let sees_old = status(0, 5, vec![member(0, 5), member(1, 5)]);
    let sees_new = status(2, 5, vec![member(2, 5), replaced]);

    let rollout = Rollout::evaluate(5, &[sees_old, sees_new, status(1, 5, Vec::new())], &[]);

    assert_eq!(lagging(&rollout), [address(1)]);
}
