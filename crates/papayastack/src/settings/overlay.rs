//! Checks that every member of an overlay changes or adds a setting.

use serde_json::{Map, Value};

use super::fault::Finding;
use super::nearest::nearest_name;
use super::pointer;
use super::reference::setting_at;

/// The members that an overlay must give when it adds an entry that the base does not have.
const REQUIRED_MEMBERS: [(&str, &[&str]); 3] = [
    ("/data_centres/*", &["region"]),
    ("/services/*", &["slots_per_upstream", "connections_per_upstream", "upstreams"]),
    ("/services/*/upstreams/*", &["data_centre", "address"]),
];

/// Finds members of a merge patch that change nothing in `base` or refer to an entry it lacks.
pub(crate) fn check_overlay(base: &Value, overlay: &Value) -> Vec<Finding> {
    let Value::Object(members) = overlay else {
        let hint = "write an object that holds only what differs at this site";
        return vec![Finding::new("", "an overlay must be an object", hint)];
    };
    if members.is_empty() {
        let hint = "remove the overlay; a site without one uses the base";
        return vec![Finding::new("", "the overlay changes nothing", hint)];
    }
    let mut findings = Vec::new();
    visit(Some(base), overlay, "", &mut findings);
    findings
}

/// Returns whether a merge patch sets or removes the value at `path`.
pub(crate) fn sets_value_at(overlay: &Value, path: &str) -> bool {
    let mut value = overlay;
    for key in pointer::keys(path) {
        let Value::Object(members) = value else { return true };
        match members.get(&key) {
            Some(member) => value = member,
            None => return false,
        }
    }
    true
}

fn visit(base: Option<&Value>, overlay: &Value, path: &str, findings: &mut Vec<Finding>) {
    match (base, overlay) {
        (None, Value::Null) => {
            let hint = "correct the name or remove this line";
            findings.push(Finding::new(path, "the overlay removes what the base lacks", hint));
        }
        (Some(Value::Object(known)), Value::Object(members)) => {
            if members.is_empty() {
                findings.push(unchanged(path));
            }
            for (key, member) in members {
                let path = pointer::child(path, key);
                match known.get(key) {
                    None if is_incomplete(member, &path) => findings.push(absent(key, known, path)),
                    known => visit(known, member, &path, findings),
                }
            }
        }
        (Some(known), member) if known == member => findings.push(unchanged(path)),
        _ => {}
    }
}

/// Returns whether `member` lacks required members, so that it cannot add an entry to the base.
fn is_incomplete(member: &Value, path: &str) -> bool {
    let required = REQUIRED_MEMBERS
        .iter()
        .find(|(pattern, _)| setting_at(path).is_some_and(|setting| setting.path == *pattern));
    match (required, member) {
        (Some((_, names)), Value::Object(members)) => {
            names.iter().any(|name| !members.contains_key(*name))
        }
        _ => false,
    }
}

fn absent(key: &str, known: &Map<String, Value>, path: String) -> Finding {
    let hint = match nearest_name(key, known.keys().map(String::as_str)) {
        Some(nearest) => format!("did you mean `{nearest}`? a new one needs all required members"),
        None => "correct the name; a new one needs all required members".to_owned(),
    };
    Finding::new(path, format!("the base has no `{key}`"), hint)
}

fn unchanged(path: &str) -> Finding {
    let hint = "remove it from the overlay, which holds only what differs";
    Finding::new(path, "the overlay repeats the base", hint)
}
