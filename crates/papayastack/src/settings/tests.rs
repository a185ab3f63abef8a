//! Tests of rendering and checking.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::reference::{Kind, SETTINGS, setting_at};
use super::*;
use crate::configuration::Bundle;

fn base() -> Value {
    json!({
        "data_centres": {"a": {"region": "north"}, "b": {"region": "north"}},
        "services": {"board": {
            "slots_per_upstream": 5,
            "connections_per_upstream": 40,
            "upstreams": {
                "board-1": {"data_centre": "a", "address": "10.0.0.1:80"},
                "board-2": {"data_centre": "b", "address": "10.0.0.2:80"},
            },
        }},
        "classes": {"lookup": {"hedge": false}},
    })
}

fn bundle(base: Value, overlays: &[(&str, Value)]) -> Bundle {
    let overlays = overlays.iter().map(|(site, overlay)| ((*site).to_owned(), overlay.clone()));
    let (change_id, earlier_change_ids) = ("change".into(), Vec::new());
    Bundle { change_id, earlier_change_ids, base, overlays: overlays.collect() }
}

fn files_and_paths(faults: &[Fault]) -> Vec<(String, &str)> {
    faults.iter().map(|fault| (fault.file.to_string(), fault.path.as_str())).collect()
}

#[test]
fn an_overlay_changes_its_own_site_only() {
    let overlay = json!({"routing": {"queue_max": 9}, "data_centres": {"b": {"region": "south"}}});
    let bundle = bundle(base(), &[("south", overlay)]);

    let changed = render(&bundle, "south").unwrap();
    let unchanged = render(&bundle, "north").unwrap();

    assert_eq!(check(&bundle), []);
    assert_eq!(changed.routing.queue_max, 9);
    assert_eq!(changed.data_centres["b"].region, "south");
    assert_eq!(unchanged.routing, RoutingSettings::default());
}

#[test]
fn omitted_class_fields_get_the_defaults_of_their_class() {
    let settings = render(&bundle(base(), &[]), "any").unwrap();

    let lookup = ClassSettings { hedge: false, ..ClassSettings::default_of(QueryClass::Lookup) };
    let archive = ClassSettings::default_of(QueryClass::Archive);
    let expected = BTreeMap::from([(QueryClass::Lookup, lookup), (QueryClass::Archive, archive)]);
    for (class, class_settings) in expected {
        assert_eq!(settings.classes[&class], class_settings);
    }
}

#[test]
fn every_fault_is_reported_with_its_path() {
    let mut broken = base();
    broken["routing"] = json!([]);
    broken["limits"] = json!({"terms_max": 0, "term_max": 3});
    broken["classes"] = json!({"sweeep": {}, "sweep": {"hedge": 1}});
    broken["services"]["board"]["slots_per_upstream"] = json!("five");

    let faults = render(&bundle(broken, &[]), "any").unwrap_err();

    let mut reported = files_and_paths(&faults);
    reported.sort();
    let expected = [
        "/classes/sweeep",
        "/classes/sweep/hedge",
        "/limits/term_max",
        "/limits/terms_max",
        "/routing",
        "/services/board/slots_per_upstream",
    ];
    assert_eq!(reported, expected.map(|path| ("base".to_owned(), path)));
}

#[test]
fn the_table_describes_every_default_and_every_default_is_in_range() {
    let settings = render(&bundle(base(), &[]), "any").unwrap();
    let document = serde_json::to_value(&settings).unwrap();

    let mut undescribed = Vec::new();
    leaves(&document, "", &mut |path, _| {
        if setting_at(path).is_none() {
            undescribed.push(path.to_owned());
        }
    });

    assert_eq!(undescribed, Vec::<String>::new());
    assert_eq!(super::check::check_ranges(&document), []);
}

#[test]
fn the_schema_accepts_every_setting_of_the_table() {
    let document = serde_json::to_value(render(&bundle(base(), &[]), "any").unwrap()).unwrap();
    let mut seen = std::collections::BTreeSet::new();
    leaves(&document, "", &mut |path, _| {
        seen.extend(setting_at(path).map(|setting| setting.path));
    });

    let is_leaf = |kind| !matches!(kind, Kind::Section | Kind::Map(_));
    let unknown = SETTINGS.iter().filter(|setting| is_leaf(setting.kind));
    let unknown: Vec<&str> =
        unknown.map(|setting| setting.path).filter(|path| !seen.contains(path)).collect();

    assert_eq!(unknown, Vec::<&str>::new());
}

fn leaves(value: &Value, path: &str, visit: &mut impl FnMut(&str, &Value)) {
    let Value::Object(members) = value else { return visit(path, value) };
    for (key, member) in members {
        leaves(member, &pointer::child(path, key), visit);
    }
}

#[test]
fn an_invalid_overlay_makes_the_bundle_invalid_for_every_site() {
    let invalid_directory = json!({"data_centres": {"b": null}});
    let invalid_policy = json!({"routing": {"queue_max": 0}});
    let valid_policy = json!({"routing": {"queue_max": 9}});
    let valid_directory = json!({"data_centres": {"b": {"region": "south"}}});
    let invalid_bundles = [
        bundle(base(), &[("n", valid_policy.clone()), ("s", invalid_policy)]),
        bundle(base(), &[("n", valid_policy.clone()), ("s", invalid_directory.clone())]),
        bundle(base(), &[("n", valid_directory.clone()), ("s", invalid_directory)]),
        bundle(base(), &[("n", valid_directory.clone()), ("s", json!(7))]),
    ];

    for bundle in invalid_bundles {
        for site in ["n", "s", "other"] {
            assert!(super::render_if_bundle_valid(&bundle, site).is_err(), "{site} of {bundle:?}");
        }
    }
    let valid = bundle(base(), &[("n", valid_policy), ("s", valid_directory)]);
    for site in ["n", "s", "other"] {
        assert_eq!(super::render_if_bundle_valid(&valid, site), render(&valid, site));
    }
}

#[test]
fn a_base_that_is_valid_only_with_an_overlay_is_rejected() {
    let mut broken = base();
    broken["data_centres"].take();
    let repaired = json!({"data_centres": {"a": {"region": "n"}, "b": {"region": "n"}}});

    let bundle = bundle(broken, &[("n", repaired)]);

    assert!(super::render_if_bundle_valid(&bundle, "n").is_err());
    assert!(super::render_if_bundle_valid(&bundle, "other").is_err());
}

#[test]
fn a_base_policy_that_is_valid_only_with_an_overlay_is_rejected() {
    let mut broken = base();
    broken["routing"] = json!({"queue_max": 0});

    let bundle = bundle(broken, &[("n", json!({"routing": {"queue_max": 9}}))]);

    assert!(super::render_if_bundle_valid(&bundle, "n").is_err());
    assert!(super::render_if_bundle_valid(&bundle, "other").is_err());
}

#[test]
fn keys_never_appear_in_debug_output() {
    let text = r#"{"site": "a", "data_centre": "a", "link_address": "127.0.0.1:1",
        "caller_address": "127.0.0.1:2", "operator_address": "127.0.0.1:3",
        "platform_addresses": [], "system_keys": ["a secret of the system"]}"#;
    let local: LocalSettings = serde_json::from_str(text).unwrap();

    let shown = format!("{local:?}");

    assert!(!shown.contains("secret"), "{shown}");
    assert!(shown.contains("1 keys"));
}
