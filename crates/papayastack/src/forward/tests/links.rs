//! Tests of the judgement of a VM's links, and of the choice of the VM that serves for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::forward::links::{LinkChange, LinkSign, UpstreamLinks};
use crate::forward::relay::RelayPeers;
use crate::membership::{Member, MemberState, MemberView, VmIdentity};

const UPSTREAMS: usize = 30;
const TICK: Duration = Duration::from_millis(10);
/// The time after which silence counts as lost links.
const SILENT_TICK: Duration = Duration::from_millis(40);

struct Harness {
    links: UpstreamLinks,
    now: Instant,
}

impl Harness {
    fn new() -> Self {
        Self { links: UpstreamLinks::new(), now: Instant::now() }
    }

    fn sign(&mut self, upstream: u32, sign: LinkSign) -> Option<LinkChange> {
        self.now += if sign == LinkSign::Silent { SILENT_TICK } else { TICK };
        self.links.on_sign(upstream, sign, UPSTREAMS, self.now)
    }

    fn lose(&mut self) {
        for upstream in 0..6 {
            self.sign(upstream, LinkSign::Silent);
        }
        assert!(self.links.are_lost());
    }
}

// Guards against upstreams that are blamed for this VM's own loss.
#[test]
fn links_are_lost_once_several_upstreams_fail_without_a_reply() {
    for sign in [LinkSign::Silent, LinkSign::NotConnected] {
        let mut harness = Harness::new();

        let changes: Vec<_> = (0..4).filter_map(|upstream| harness.sign(upstream, sign)).collect();

        assert!(matches!(changes[..], [LinkChange::Lost { failing: 4, .. }]), "{changes:?}");
        assert_eq!(harness.links.relayed_share(harness.now), 1.0);
    }
}

#[test]
fn upstreams_that_fail_while_others_reply_do_not_count_as_lost_links() {
    let mut harness = Harness::new();

    for round in 0..50 {
        for upstream in 0..3 {
            assert_eq!(harness.sign(round * 3 % 20 + upstream, LinkSign::Silent), None);
        }
        harness.sign(25, LinkSign::Replied);
    }

    assert!(!harness.links.are_lost());
}

#[test]
fn one_upstream_that_fails_often_does_not_count_as_lost_links() {
    let mut harness = Harness::new();

    for _ in 0..100 {
        harness.sign(3, LinkSign::NotConnected);
    }

    assert!(!harness.links.are_lost());
}

// Guards against several upstreams that pause at once while a shard is down.
#[test]
fn silence_that_is_shorter_than_a_pause_does_not_count_as_lost_links() {
    let mut harness = Harness::new();

    for upstream in 0..9 {
        harness.now += TICK;
        let change = harness.links.on_sign(upstream, LinkSign::Silent, UPSTREAMS, harness.now);
        assert_eq!(change, None);
    }
}

#[test]
fn upstreams_that_reset_connections_at_once_do_not_count_as_lost_links() {
    let mut harness = Harness::new();

    for upstream in 0..10 {
        let change = harness.links.on_sign(upstream, LinkSign::Silent, UPSTREAMS, harness.now);
        assert_eq!(change, None);
    }
}

#[test]
fn requests_return_gradually_to_links_that_were_lost_for_long() {
    let mut harness = Harness::new();
    harness.lose();
    harness.now += Duration::from_secs(8);
    harness.sign(1, LinkSign::Replied);
    let change = harness.sign(2, LinkSign::Replied);

    assert!(matches!(change, Some(LinkChange::Regained { .. })));
    let share = |ms| harness.links.relayed_share(harness.now + Duration::from_millis(ms));
    assert!(share(0) > 0.99 && (0.4..0.6).contains(&share(500)) && share(1_000) == 0.0);
}

// Guards against links that count as back because connections can be opened, without a reply.
#[test]
fn only_a_few_requests_try_links_until_upstreams_reply() {
    let mut harness = Harness::new();
    harness.lose();

    harness.sign(1, LinkSign::Connected);
    let tried = harness.sign(2, LinkSign::Connected);
    let share = harness.links.relayed_share(harness.now);
    let failed = harness.sign(3, LinkSign::Silent);

    assert_eq!(tried, Some(LinkChange::Tried));
    assert!((0.5..1.0).contains(&share), "{share}");
    assert!(matches!(failed, Some(LinkChange::Lost { .. })) && harness.links.are_lost());
}

#[test]
fn one_upstream_that_can_be_reached_does_not_end_the_loss() {
    let mut harness = Harness::new();
    harness.lose();

    for _ in 0..5 {
        assert_eq!(harness.sign(1, LinkSign::Connected), None);
        assert_eq!(harness.sign(2, LinkSign::NotConnected), None);
    }

    assert!(harness.links.are_lost());
}

// Guards against requests that fail because open connections live on while new ones are refused.
#[test]
fn refused_connections_show_although_open_ones_are_answered() {
    let mut harness = Harness::new();

    for upstream in 0..6 {
        harness.sign(upstream, LinkSign::NotConnected);
        harness.sign(20, LinkSign::Replied);
    }

    assert!(harness.links.refuse_connections(UPSTREAMS) && !harness.links.are_lost());
    harness.sign(2, LinkSign::Connected);
    assert!(!harness.links.refuse_connections(UPSTREAMS));
}

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_740).into()
}

fn view(members: u8) -> MemberView {
    let member = |number: u8| {
        let identity = VmIdentity { address: address(number), incarnation: 1 };
        let member = Member {
            identity,
            data_centre: "a".to_owned(),
            caller_address: address(number),
            state: MemberState::Live,
            configuration_version: 4,
        };
        (address(number), member)
    };
    let members: BTreeMap<_, _> = (1..=members).map(member).collect();
    MemberView { members, ..MemberView::default() }
}

/// Returns how many of 300 choices fall on each VM; this one is the first.
fn choices(peers: &RelayPeers, view: &MemberView, now: Instant) -> BTreeMap<SocketAddr, u32> {
    let mut random = StdRng::seed_from_u64(9);
    let mut chosen = BTreeMap::new();
    for _ in 0..300 {
        if let Some(peer) = peers.choose(view, address(1), 4, &[], now, &mut random) {
            *chosen.entry(peer).or_default() += 1;
        }
    }
    chosen
}

#[test]
fn requests_are_spread_over_the_vms_that_have_links() {
    let (mut peers, now) = (RelayPeers::default(), Instant::now());
    peers.record_links(address(2), true, now);

    let chosen = choices(&peers, &view(5), now);

    assert_eq!(chosen.len(), 3);
    assert!(chosen.values().all(|count| (60..140).contains(count)), "{chosen:?}");
}

#[test]
fn no_vm_is_chosen_if_all_others_have_lost_their_links() {
    let (mut peers, now) = (RelayPeers::default(), Instant::now());
    (2..=5).for_each(|number| peers.record_links(address(number), true, now));

    assert!(choices(&peers, &view(5), now).is_empty());
    // Without further notices they are tried again.
    assert_eq!(choices(&peers, &view(5), now + Duration::from_secs(2)).len(), 4);
}

#[test]
fn vms_that_leave_or_have_no_or_older_routes_are_chosen_last_or_never() {
    let (peers, now) = (RelayPeers::default(), Instant::now());
    let mut view = view(5);
    view.members.get_mut(&address(2)).unwrap().state = MemberState::Leaving;
    view.members.get_mut(&address(3)).unwrap().configuration_version = 0;
    view.members.get_mut(&address(4)).unwrap().configuration_version = 3;

    let chosen = choices(&peers, &view, now);

    assert_eq!(chosen.keys().copied().collect::<Vec<_>>(), [address(5)]);
    view.members.remove(&address(5));
    assert_eq!(choices(&peers, &view, now).keys().copied().collect::<Vec<_>>(), [address(4)]);
    view.members.remove(&address(4));
    assert_eq!(choices(&peers, &view, now).keys().copied().collect::<Vec<_>>(), [address(2)]);
}

#[test]
fn a_vm_that_did_not_answer_is_chosen_only_without_another() {
    let (mut peers, now) = (RelayPeers::default(), Instant::now());
    peers.record_trouble(address(2), now);

    assert_eq!(choices(&peers, &view(3), now).len(), 1);
    assert_eq!(choices(&peers, &view(2), now).len(), 1);
}
