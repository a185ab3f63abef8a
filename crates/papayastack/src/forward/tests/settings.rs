//! Tests of the settings of a forwarding VM.

use serde_json::{Value, json};

use crate::forward::GatewaySettings;

fn valid() -> Value {
    json!({
        "vm": "front-1", "data_centre": "a", "data_centres": { "a": "region" },
        "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
        "directory_address": "127.0.0.1:3", "link_address": "127.0.0.1:4",
        "operator_address": "127.0.0.1:5", "store_address": "127.0.0.1:6",
        "system_keys": ["key"], "address_lifetime_max_s": 5, "stop_grace_s": 6,
        "repeats": { "window_s": 10, "per_request": 0.2, "extra": 56 },
    })
}

/// Changes `field` of valid settings to `value` and returns the paths of the faults found.
fn faults_with(field: &str, value: Value) -> Vec<String> {
    let mut settings = valid();
    settings[field] = value;
    let faults = GatewaySettings::parse(&settings.to_string()).unwrap_err();
    faults.into_iter().map(|fault| fault.path).collect()
}

#[test]
fn valid_settings_are_accepted() {
    assert_eq!(GatewaySettings::parse(&valid().to_string()).unwrap().stop_grace_s, 6);
}

#[test]
fn every_invalid_field_is_reported() {
    let invalid = json!({ "vm": 7, "data_centre": "a", "stop_grace": 6 });

    let faults = GatewaySettings::parse(&invalid.to_string()).unwrap_err();

    let reported = |path: &str| faults.iter().any(|fault| fault.path == path);
    assert!(reported("/vm") && reported("/stop_grace_s") && reported("/link_address"));
    let unknown = faults.iter().find(|fault| fault.path == "/stop_grace").unwrap();
    assert!(unknown.hint.contains("stop_grace_s"), "{}", unknown.hint);
}

#[test]
fn values_out_of_range_are_reported() {
    assert_eq!(faults_with("data_centre", json!("b")), ["/data_centre"]);
    assert_eq!(faults_with("system_keys", json!([])), ["/system_keys"]);
    assert_eq!(faults_with("stop_grace_s", json!(0)), ["/stop_grace_s"]);
    assert_eq!(faults_with("caller_address", json!("here")), ["/caller_address"]);
    let repeats = json!({ "window_s": 10, "per_request": 3.0, "extra": 1 });
    assert_eq!(faults_with("repeats", repeats), ["/repeats/per_request"]);
}

#[test]
fn text_that_is_not_an_object_is_one_fault() {
    for text in ["", "[]", "{", "listen=1"] {
        let faults = GatewaySettings::parse(text).unwrap_err();

        assert_eq!(faults.len(), 1);
        assert_eq!(faults[0].path, "");
    }
}
