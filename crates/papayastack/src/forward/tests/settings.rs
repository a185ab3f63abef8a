//! Tests of the settings of a VM that forwards.

use serde_json::{Value, json};

use crate::forward::GatewaySettings;

fn sound() -> Value {
    json!({
        "vm": "front-1", "data_centre": "a", "data_centres": { "a": "region" },
        "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
        "directory_address": "127.0.0.1:3", "link_address": "127.0.0.1:4",
        "operator_address": "127.0.0.1:5", "store_address": "127.0.0.1:6",
        "system_keys": ["key"], "address_lifetime_max_s": 5, "stop_grace_s": 6,
        "repeats": { "window_s": 10, "per_request": 0.2, "extra": 56 },
    })
}

/// Returns the places of the faults of the sound settings with `field` changed to `value`.
fn faults_with(field: &str, value: Value) -> Vec<String> {
    let mut settings = sound();
    settings[field] = value;
    let faults = GatewaySettings::parse(&settings.to_string()).unwrap_err();
    faults.into_iter().map(|fault| fault.path).collect()
}

#[test]
fn sound_settings_are_taken() {
    assert_eq!(GatewaySettings::parse(&sound().to_string()).unwrap().stop_grace_s, 6);
}

#[test]
fn every_field_that_cannot_be_used_is_named() {
    let broken = json!({ "vm": 7, "data_centre": "a", "stop_grace": 6 });

    let faults = GatewaySettings::parse(&broken.to_string()).unwrap_err();

    let named = |path: &str| faults.iter().any(|fault| fault.path == path);
    assert!(named("/vm") && named("/stop_grace_s") && named("/link_address"));
    let unknown = faults.iter().find(|fault| fault.path == "/stop_grace").unwrap();
    assert!(unknown.hint.contains("stop_grace_s"), "{}", unknown.hint);
}

#[test]
fn values_out_of_range_are_named() {
    assert_eq!(faults_with("data_centre", json!("b")), ["/data_centre"]);
    assert_eq!(faults_with("system_keys", json!([])), ["/system_keys"]);
    assert_eq!(faults_with("stop_grace_s", json!(0)), ["/stop_grace_s"]);
    assert_eq!(faults_with("caller_address", json!("here")), ["/caller_address"]);
    let repeats = json!({ "window_s": 10, "per_request": 3.0, "extra": 1 });
    assert_eq!(faults_with("repeats", repeats), ["/repeats/per_request"]);
}

#[test]
fn text_that_is_no_object_is_named_as_a_whole() {
    for text in ["", "[]", "{", "listen=1"] {
        let faults = GatewaySettings::parse(text).unwrap_err();

        assert_eq!(faults.len(), 1);
        assert_eq!(faults[0].path, "");
    }
}
