//! Tests of the registry of usable upstreams.

use std::time::{Duration, Instant};

use crate::forward::registry::{Registry, RegistryEvent, UnusableReason};
use crate::forward::{Change, EntryFault, NamedEntry, UpstreamEntry, UpstreamState};
use crate::observe::DecisionLog;

pub(super) fn entry(service: &str, port: u16) -> UpstreamEntry {
    UpstreamEntry {
        service: service.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".to_owned(),
        slots: 5,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
        started_unix_ms: 1_000,
        sequence: 4,
    }
}

pub(super) fn named<T>(name: &str, entry: T) -> NamedEntry<T> {
    NamedEntry { name: name.to_owned(), content: Ok(entry) }
}

fn malformed(name: &str) -> NamedEntry<UpstreamEntry> {
    let fault = EntryFault { detail: "missing field `address`".to_owned() };
    NamedEntry { name: name.to_owned(), content: Err(fault) }
}

pub(super) fn removed(name: &str) -> Change<UpstreamEntry> {
    Change::Removed { name: name.to_owned() }
}

/// Returns a registry with the upstreams `one` and `two` of the service `board`.
fn registry(now: Instant) -> Registry {
    let mut registry = Registry::default();
    registry.on_list(vec![named("one", entry("board", 1)), named("two", entry("board", 2))], now);
    registry
}

fn usable(registry: &Registry) -> Vec<String> {
    registry.set().by_index.values().map(|target| target.id.clone()).collect()
}

#[test]
fn a_leaving_upstream_is_not_used() {
    let now = Instant::now();
    let mut registry = registry(now);
    let leaving = UpstreamEntry { state: UpstreamState::Leaving, sequence: 5, ..entry("board", 1) };

    let events = registry.on_changes(vec![Change::Put(named("one", leaving))], now);

    assert_eq!(usable(&registry), ["two"]);
    let reason = UnusableReason::Leaving;
    assert_eq!(events, [RegistryEvent::Unusable { id: "one".to_owned(), reason }]);
}

#[test]
fn a_malformed_entry_makes_only_its_own_upstream_unusable() {
    let now = Instant::now();
    let mut registry = registry(now);

    registry.on_changes(vec![Change::Put(malformed("one")), Change::Put(malformed("three"))], now);

    assert_eq!(usable(&registry), ["two"]);
}

#[test]
fn a_delayed_older_update_does_not_make_a_removed_upstream_usable() {
    let now = Instant::now();
    let mut registry = registry(now);
    let leaving = UpstreamEntry { state: UpstreamState::Leaving, sequence: 9, ..entry("board", 1) };
    registry.on_changes(vec![Change::Put(named("one", leaving)), removed("one")], now);

    registry.on_changes(vec![Change::Put(named("one", entry("board", 1)))], now);

    assert_eq!(usable(&registry), ["two"]);
}

#[test]
fn a_restarted_upstream_counts_as_a_new_one() {
    let now = Instant::now();
    let mut registry = registry(now);
    let before = registry.set().version;
    let restarted = UpstreamEntry { started_unix_ms: 2_000, sequence: 1, ..entry("board", 1) };

    registry.on_changes(vec![Change::Put(named("one", restarted))], now);

    assert_eq!(registry.set().by_index.len(), 2);
    assert_ne!(registry.set().version, before);
}

#[test]
fn an_entry_that_expired_in_an_outage_is_held_until_it_can_return() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.store_failed(now);

    registry.on_list(vec![named("two", entry("board", 2))], now + Duration::from_secs(1));

    assert_eq!(usable(&registry).len(), 2);
    registry.on_tick(now + Duration::from_millis(3_100));
    assert_eq!(usable(&registry).len(), 2);
    registry.on_tick(now + Duration::from_millis(3_300));
    assert_eq!(usable(&registry), ["two"]);
}

#[test]
fn an_entry_removed_while_the_store_answers_is_dropped_at_once() {
    let now = Instant::now();
    let mut registry = registry(now);

    registry.on_changes(vec![removed("one")], now);

    assert_eq!(usable(&registry), ["two"]);
}

#[test]
fn a_service_emptied_while_the_store_answers_is_dropped_at_once() {
    let now = Instant::now();
    let mut registry = registry(now);

    registry.on_changes(vec![removed("one"), removed("two")], now);

    assert!(usable(&registry).is_empty());
    assert_eq!(registry.next_wake(), None);
}

// Guards against an upstream that leaves without a word, is removed, and comes back to use with the
// entry that an older copy of the store still holds.
#[test]
fn an_entry_of_a_removed_upstream_in_an_older_copy_is_not_used_until_it_is_updated() {
    let now = Instant::now();
    let mut registry = registry(now);
    registry.on_changes(vec![removed("one")], now);
    // Updates that change nothing but the sequence number are not announced.
    let copied = UpstreamEntry { sequence: 9, ..entry("board", 1) };
    let listing = vec![named("one", copied.clone()), named("two", entry("board", 2))];

    registry.store_reset(now);
    registry.on_list(listing.clone(), now);
    assert_eq!(usable(&registry), ["two"]);
    let recheck_at = registry.recheck_at().expect("another list is due");
    registry.on_list(listing, recheck_at);
    assert_eq!(usable(&registry), ["two"]);

    let updated = UpstreamEntry { sequence: 10, ..copied };
    registry.on_changes(vec![Change::Put(named("one", updated))], recheck_at);
    assert_eq!(usable(&registry), ["one", "two"]);
}

// Guards against upstreams that are dropped because an older copy of the store lacks their entries,
// which they write again.
#[test]
fn an_upstream_that_an_older_copy_lacks_is_held() {
    let now = Instant::now();
    let mut registry = registry(now);

    registry.store_reset(now);
    registry.on_list(vec![named("two", entry("board", 2))], now);
    assert_eq!(usable(&registry), ["one", "two"]);
    registry.on_tick(now + Duration::from_millis(2_500));

    assert_eq!(usable(&registry), ["two"]);
}

/// Returns the lines that a list of `upstreams` new entries writes.
fn lines_of_a_first_list(upstreams: u16) -> Vec<String> {
    let (log, lines) = DecisionLog::with_lines("vm");
    let entries = (0..upstreams).map(|port| named(&format!("u-{port}"), entry("board", port)));
    let events = Registry::default().on_list(entries.collect(), Instant::now());

    RegistryEvent::write_all(&events, &log);

    lines.try_iter().collect()
}

// Guards against logs that grow with the square of the fleet when all VMs start.
#[test]
fn the_first_list_of_many_upstreams_writes_one_short_line() {
    let few = lines_of_a_first_list(3);
    let many = lines_of_a_first_list(5_000);

    assert_eq!(few.len(), 3);
    assert_eq!(many.len(), 1);
    assert!(many[0].contains("\"count\":5000") && many[0].len() < 300, "{}", many[0]);
}
