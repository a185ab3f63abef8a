//! Parsing of merged settings that reports every fault, not only the first.

use std::borrow::Cow;

use serde_json::Value;
use serde_path_to_error::{Error, Segment};

use super::fault::Finding;
use super::nearest::nearest_name;
use super::pointer;
use super::reference::{Kind, SETTINGS, Setting, SettingNode, setting_at};
use super::schema::Settings;

/// Number of faults after which parsing stops.
const FINDINGS_MAX: usize = 100;

/// Parses merged settings; replaces a faulty value by a valid one to find the faults after it.
pub(crate) fn parse(document: &Value) -> Result<Settings, Vec<Finding>> {
    let mut document = Cow::Borrowed(document);
    let mut findings = Vec::new();
    for finding in non_object_sections(&document) {
        repair(document.to_mut(), &finding.path);
        findings.push(finding);
    }
    while findings.len() < FINDINGS_MAX {
        let error = match serde_path_to_error::deserialize::<_, Settings>(document.as_ref()) {
            Ok(settings) if findings.is_empty() => return Ok(settings),
            Ok(_) => break,
            Err(error) => error,
        };
        let finding = finding_from_error(&error);
        let repeated = findings.iter().any(|known: &Finding| known.path == finding.path);
        repair(document.to_mut(), &finding.path);
        if repeated {
            break;
        }
        findings.push(finding);
    }
    Err(findings)
}

/// Finds sections that are not objects, which serde would partly accept as sequences.
fn non_object_sections(document: &Value) -> Vec<Finding> {
    let mut findings = Vec::new();
    visit_sections(document, SettingNode::root(), &mut Vec::new(), &mut findings);
    findings
}

fn visit_sections<'a>(
    value: &'a Value,
    node: &SettingNode,
    keys: &mut Vec<&'a str>,
    findings: &mut Vec<Finding>,
) {
    if !matches!(node.setting.kind, Kind::Section | Kind::Map(_)) {
        return;
    }
    let Value::Object(members) = value else {
        findings.push(wrong_type(&pointer::from_keys(keys), value, node.setting));
        return;
    };
    for (key, member) in members {
        let Some(node) = node.member(key) else { continue };
        keys.push(key);
        visit_sections(member, node, keys, findings);
        keys.pop();
    }
}

fn wrong_type(path: &str, value: &Value, setting: &Setting) -> Finding {
    let found = match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    };
    let problem = format!("wrong type: {found}");
    Finding::new(path, problem, format!("write {}", setting.expectation()))
}

fn finding_from_error(error: &Error<serde_json::Error>) -> Finding {
    let message = error.inner().to_string();
    let path = error.path().iter().fold(String::new(), |path, segment| match segment {
        Segment::Map { key } => pointer::child(&path, key),
        Segment::Seq { index } => pointer::child(&path, &index.to_string()),
        Segment::Enum { variant } => pointer::child(&path, variant),
        Segment::Unknown => path,
    });
    if let Some(field) = quoted_after(&message, "missing field `") {
        return missing(pointer::child(&path, field));
    }
    match setting_at(&path) {
        Some(setting) if !message.starts_with("unknown field") => {
            Finding::new(path, message, format!("write {}", setting.expectation()))
        }
        _ => unknown(path),
    }
}

fn quoted_after<'a>(message: &'a str, prefix: &str) -> Option<&'a str> {
    message.strip_prefix(prefix)?.split('`').next()
}

fn missing(path: String) -> Finding {
    let expectation = setting_at(&path).map_or_else(String::new, Setting::expectation);
    Finding::new(path, "this setting is required", format!("write {expectation}"))
}

fn unknown(path: String) -> Finding {
    let (parent, key) = pointer::split_last(&path).unwrap_or(("", String::new()));
    let known = members_of(parent);
    let hint = match nearest_name(&key, known.iter().copied()) {
        Some(name) => format!("did you mean `{name}`?"),
        None => format!("remove it or use one of {}", super::reference::quoted(&known)),
    };
    let problem = format!("`{key}` is not a setting");
    Finding::new(path, problem, hint)
}

/// Lists the names of the settings that a section may hold.
fn members_of(section: &str) -> Vec<&'static str> {
    if section == "/classes" {
        return super::schema::QueryClass::BY_PRIORITY.map(|class| class.name()).to_vec();
    }
    let members = SETTINGS.iter().filter_map(|setting| {
        let (parent, name) = setting.path.rsplit_once('/')?;
        let same = setting_at(section).is_some_and(|known| known.path == parent);
        same.then_some(name)
    });
    members.collect()
}

/// Replaces the value at `path` by a valid one; removes it if it is unknown or if the operator
/// chose its name.
fn repair(document: &mut Value, path: &str) {
    match setting_at(path) {
        Some(setting) if !setting.path.ends_with('*') => {
            pointer::insert(document, path, setting.sample());
        }
        _ => pointer::remove(document, path),
    }
}
