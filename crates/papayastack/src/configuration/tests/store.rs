//! Tests of documents, their differences and which versions a store adopts.

use proptest::prelude::*;
use serde_json::{Value, json};

use super::super::document::{Document, NewVersion, UpdateError, resolve_update};
use super::super::store::{ConfigurationStore, OfferOutcome};
use super::super::*;
use super::fleet::{broken_bundle, bundle, catalogue};
use crate::platform::object_version;
use crate::settings::SettingsFile;

fn new(version: u64, value: Value) -> NewVersion {
    NewVersion { version, value, changes: None }
}

#[test]
fn a_lower_version_is_never_adopted() {
    let mut store = ConfigurationStore::open("any".into());
    let name = configuration_object();

    let offers = [
        store.offer(&name, new(5, bundle(5))),
        store.offer(&name, new(4, bundle(4))),
        store.offer(&name, new(5, bundle(6))),
        store.offer(&name, new(7, broken_bundle(7))),
        store.offer(&name, new(6, bundle(6))),
        store.offer(&name, new(8, bundle(8))),
    ];

    let expected = [
        OfferOutcome::Adopted,
        OfferOutcome::NotNewer,
        OfferOutcome::NotNewer,
        OfferOutcome::Refused,
        OfferOutcome::NotNewer,
        OfferOutcome::Adopted,
    ];
    assert_eq!(offers, expected);
}

// Guards against a configuration that goes back with a store that came back from an older copy, and
// against one that stays behind because the revisions there are lower.
#[test]
fn an_older_copy_replaces_nothing_and_what_is_written_after_it_is_adopted() {
    let mut store = ConfigurationStore::open("any".into());
    let name = configuration_object();
    let version = |era, revision| object_version(era, revision);

    let offers = [
        store.offer(&name, new(version(1, 5), bundle(5))),
        store.offer(&name, new(version(1, 9), bundle(9))),
        store.offer(&name, new(version(2, 5), bundle(5))),
        store.offer(&name, new(version(2, 6), bundle(10))),
    ];

    let expected = [
        OfferOutcome::Adopted,
        OfferOutcome::Adopted,
        OfferOutcome::NotNewer,
        OfferOutcome::Adopted,
    ];
    assert_eq!(offers, expected);
    assert_eq!(store.highest_decided_version(&name), version(2, 6));
}

#[test]
fn a_catalogue_is_adopted_for_a_configured_service_only() {
    let mut store = ConfigurationStore::open("any".into());
    let board = catalogue_object("board");

    let before = store.offer(&board, new(1, catalogue(1)));
    store.offer(&configuration_object(), new(1, bundle(1)));
    let after = store.offer(&board, new(1, catalogue(1)));
    let other = store.offer(&catalogue_object("other"), new(1, catalogue(1)));

    assert_eq!(
        (before, after, other),
        (OfferOutcome::NotNeeded, OfferOutcome::Adopted, OfferOutcome::NotNeeded)
    );
}

#[test]
fn an_object_with_an_unknown_field_is_refused_with_its_path() {
    let mut store = ConfigurationStore::open("any".into());
    let mut value = bundle(1);
    value["overlay"] = json!({});

    let offer = store.offer(&configuration_object(), new(1, value));

    assert_eq!(offer, OfferOutcome::Refused);
    let refused: Vec<&RefusedDocument> = store.refused().collect();
    assert_eq!(refused[0].faults[0].file, SettingsFile::Document);
    assert_eq!(refused[0].faults[0].path, "/overlay");
}

#[test]
fn removing_a_service_removes_its_catalogue() {
    let mut store = ConfigurationStore::open("any".into());
    store.offer(&configuration_object(), new(1, bundle(1)));
    store.offer(&catalogue_object("board"), new(1, catalogue(1)));
    let mut renamed = bundle(2);
    let board = renamed["base"]["services"]["board"].take();
    renamed["base"]["services"] = json!({"archive": board});

    let offer = store.offer(&configuration_object(), new(2, renamed));

    assert_eq!(offer, OfferOutcome::Adopted);
    assert!(store.in_force().unwrap().catalogues.is_empty());
    assert!(store.document(&catalogue_object("board")).is_none());
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[a-z/~ ]{0,4}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 64, 6, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            proptest::collection::btree_map("[a-z/~]{0,3}", inner, 0..6)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_update_reproduces_the_newest_document(
        contents in proptest::collection::vec(any_json(), 2..8),
        behind in 0_usize..8,
    ) {
        let name = configuration_object();
        let mut documents = vec![Document::new(1, contents[0].clone())];
        for (version, content) in (2..).zip(&contents[1..]) {
            let newest = &documents[documents.len() - 1];
            documents.push(newest.advance(new(version, content.clone())));
        }
        let newest = &documents[documents.len() - 1];
        let peer = &documents[behind % documents.len()];
        prop_assume!(peer.version < newest.version);

        let update = newest.update_since(&name, Some(peer.version));
        let (for_peer, for_other) =
            (resolve_update(Some(peer), &update), resolve_update(Some(newest), &update));

        prop_assert_eq!(for_peer.map(|new| new.value), Ok(Value::clone(&newest.value)));
        if let DocumentContent::Difference { .. } = update.content {
            prop_assert_eq!(for_other, Err(UpdateError::BaseMismatch));
        }
        let whole = resolve_update(None, &newest.update_since(&name, None));
        prop_assert_eq!(whole.map(|new| new.value), Ok(Value::clone(&newest.value)));
    }
}
