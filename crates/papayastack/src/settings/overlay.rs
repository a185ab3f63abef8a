//! Checks that an overlay changes something, and only what differs.

use serde_json::Value;

use super::fault::Finding;
use super::pointer;

/// Finds members of a merge patch that change nothing in `base`.
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

/// Returns whether a merge patch decides the value at `path`.
pub(crate) fn touches(overlay: &Value, path: &str) -> bool {
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
                visit(known.get(key), member, &pointer::child(path, key), findings);
            }
        }
        (Some(known), member) if known == member => findings.push(unchanged(path)),
        _ => {}
    }
}

fn unchanged(path: &str) -> Finding {
    let hint = "remove it from the overlay, which holds only what differs";
    Finding::new(path, "the overlay repeats the base", hint)
}
