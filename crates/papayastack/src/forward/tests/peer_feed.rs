//! Tests of what VMs tell each other of the store: roles, answers, and bytes that are no answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::feeds::position;
use super::registry::{entry, named, removed};
use crate::cbor;
use crate::forward::history::{EntryContent, UpstreamHistory};
use crate::forward::peer_feed::{
    AnswerSoFar, FeedAnswer, FeedChanges, FeedQuestion, FeedReply, FeedRole, PeerFeed,
};
use crate::forward::store_health::StoreSigns;
use crate::forward::{Change, StorePosition, UpstreamEntry, UpstreamState};
use crate::ids::VmAddress;
use crate::membership::{Member, MemberState, MemberView, VmIdentity};
use crate::settings::DataCentreSettings;

const SOUND: StoreSigns = StoreSigns { silent: Duration::ZERO, failed: None, is_failing: false };

fn vm(number: u16) -> VmAddress {
    ([10, 0, 0, 1], 7_000 + number).into()
}

/// Returns the members of one region with two data centres; the first `leaving` VMs leave.
fn members(vms: u16, leaving: u16) -> MemberView {
    let member = |number: u16| Member {
        identity: VmIdentity { address: vm(number), incarnation: 1 },
        data_centre: if number.is_multiple_of(2) { "a" } else { "b" }.to_owned(),
        caller_address: vm(number),
        state: if number < leaving { MemberState::Leaving } else { MemberState::Live },
        configuration_version: 1,
    };
    let members = (0..vms).map(|number| (vm(number), member(number))).collect();
    MemberView { members, unreachable_regions: BTreeSet::new() }
}

fn role(own: u16, view: &MemberView) -> FeedRole {
    let region = |name: &str| (name.to_owned(), DataCentreSettings { region: "r".to_owned() });
    FeedRole::of(Some(vm(own)), view, &BTreeMap::from([region("a"), region("b")]))
}

/// Returns a feed that has listed `one` and `two` at revision 5 and reads the store.
fn reading(now: Instant) -> PeerFeed {
    let mut feed = PeerFeed::default();
    let entries = [named("one", entry("board", 1)), named("two", entry("board", 2))];
    feed.history.on_list(&entries, position(5), now);
    feed.set_reads_store(true);
    feed
}

fn question(revision: u64) -> FeedQuestion {
    FeedQuestion { number: 1, era: 0, revision, routes_version: 0, wait_ms: 700 }
}

fn changes_in(answer: AnswerSoFar) -> FeedChanges {
    match answer {
        AnswerSoFar::Ready(FeedAnswer::Changes(changes))
        | AnswerSoFar::Waiting(FeedAnswer::Changes(changes)) => *changes,
        other => panic!("no changes: {other:?}"),
    }
}

#[test]
fn all_vms_agree_on_the_readers_and_leaving_vms_read_for_nobody() {
    let view = members(20, 4);

    let roles: Vec<FeedRole> = (0..20).map(|own| role(own, &view)).collect();

    let reads = |own: &u16| roles[usize::from(*own)].reads_for_others;
    let readers: BTreeSet<VmAddress> = (0..20).filter(reads).map(vm).collect();
    assert_eq!(readers.len(), 3);
    assert!((0..4).map(vm).all(|leaving| !readers.contains(&leaving)));
    for own in (0..20).filter(|own| !reads(own)) {
        let followed: BTreeSet<VmAddress> =
            roles[usize::from(own)].readers.iter().copied().collect();
        assert_eq!(followed, readers, "VM {own}");
    }
}

#[test]
fn a_vm_that_knows_no_other_reads_for_itself() {
    assert_eq!(role(0, &members(1, 0)), FeedRole::default());
    assert_eq!(role(7, &members(3, 0)), FeedRole::default());
}

// Guards against bytes for entries that only say that an upstream is less cold.
#[test]
fn only_changes_that_concern_requests_are_told() {
    let now = Instant::now();
    let mut history = UpstreamHistory::default();
    history.on_list(
        &[named("one", entry("board", 1)), named("two", entry("board", 2))],
        position(5),
        now,
    );
    let warmer = UpstreamEntry { sequence: 9, ..entry("board", 1) };
    let leaving = UpstreamEntry { state: UpstreamState::Leaving, ..entry("board", 2) };

    history.on_changes(&[Change::Put(named("one", warmer))], position(6), now);
    history.on_changes(&[Change::Put(named("two", leaving.clone()))], position(7), now);

    let told = history.since(5).expect("everything since the list is known");
    assert_eq!(told, BTreeMap::from([("two".to_owned(), EntryContent::Entry(leaving))]));
    assert_eq!(history.since(4), None);
}

#[test]
fn a_removal_is_told_until_it_is_forgotten_and_then_a_list_is_needed() {
    let now = Instant::now();
    let mut history = UpstreamHistory::default();
    history.on_list(&[named("one", entry("board", 1))], position(5), now);
    history.on_changes(&[removed("one")], position(6), now);

    let told = history.since(5);
    history.on_changes(&[], position(7), now + Duration::from_secs(61));

    assert_eq!(told, Some(BTreeMap::from([("one".to_owned(), EntryContent::Removed)])));
    assert_eq!(history.since(5), None);
    assert_eq!(history.since(6), Some(BTreeMap::new()));
}

#[test]
fn a_vm_answers_only_while_the_store_answers_it() {
    let now = Instant::now();
    let mut feed = reading(now);
    let silent = StoreSigns { silent: Duration::from_millis(1_001), ..SOUND };
    let failing = StoreSigns { failed: Some(Duration::ZERO), is_failing: true, ..SOUND };
    let refuses = |answer| {
        matches!(
            answer,
            AnswerSoFar::Ready(FeedAnswer::NotReading)
                | AnswerSoFar::Waiting(FeedAnswer::NotReading)
        )
    };

    assert_eq!(changes_in(feed.answer(&question(5), SOUND)).position, position(5));
    assert!(refuses(feed.answer(&question(5), silent)));
    assert!(refuses(feed.answer(&question(5), failing)));
    feed.set_reads_store(false);
    assert!(refuses(feed.answer(&question(5), SOUND)));
}

// Guards against a VM that takes what an older copy of the store holds for news of the present one.
#[test]
fn positions_of_another_era_are_not_answered() {
    let now = Instant::now();
    let mut feed = reading(now);
    let later = StorePosition { era: 1, revision: 3 };

    let of_later_era = feed.answer(&FeedQuestion { era: 1, ..question(3) }, SOUND);
    feed.history.on_list(&[named("one", entry("board", 1))], later, now);
    let of_earlier_era = feed.answer(&question(5), SOUND);

    assert!(matches!(of_later_era, AnswerSoFar::Ready(FeedAnswer::NotReading)));
    assert!(matches!(of_earlier_era, AnswerSoFar::Ready(FeedAnswer::Gone)));
    assert!(!feed.history.on_changes(&[removed("one")], position(9), now));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _: Option<FeedQuestion> = cbor::decode(&bytes);
        let _: Option<FeedReply> = cbor::decode(&bytes);
    }

    #[test]
    fn damaged_replies_are_decoded_or_refused(at in 0_usize..400, byte in any::<u8>()) {
        let answer = reading(Instant::now()).answer(&question(5), SOUND);
        let reply = FeedReply { number: 1, answer: FeedAnswer::Changes(Box::new(changes_in(answer))) };
        let mut bytes = cbor::encode(&reply);
        let at = at % bytes.len();
        bytes[at] = byte;

        let _: Option<FeedReply> = cbor::decode(&bytes);
    }
}
