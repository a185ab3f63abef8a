//! The reference page of the settings.

use std::fmt::Write;

use serde_json::{Value, json};

use super::parse::parse;
use super::reference::{Kind, SETTINGS, Setting};
use super::schema::QueryClass;

/// Writes the reference of every setting as a Markdown page.
pub fn settings_reference() -> String {
    let required = minimal_document();
    let settings = parse(&required).expect("the required settings alone are accepted");
    let complete = serde_json::to_value(settings).expect("settings serialise as JSON");
    let mut page = HEADER.to_owned();
    for setting in SETTINGS {
        let line = match setting.kind {
            Kind::Section | Kind::Map(_) => section_heading(setting),
            _ => table_row(setting, &required, &complete),
        };
        page.push_str(&line);
    }
    page
}

const HEADER: &str = "# Settings

`papayactl settings` prints this page. The base file holds the settings of all sites; the overlay
of a site is a JSON merge patch (RFC 7386) that holds only what differs there. Paths are JSON
pointers; `*` stands for a name that you choose.
";

/// Returns the smallest valid document, with `*` for the names that the operator chooses.
pub(crate) fn minimal_document() -> Value {
    json!({
        "data_centres": {"*": {"region": "*"}},
        "services": {"*": {
            "slots_per_upstream": 1,
            "connections_per_upstream": 1,
            "upstreams": {"*": {"data_centre": "*", "address": "127.0.0.1:1"}},
        }},
    })
}

fn section_heading(setting: &Setting) -> String {
    let path = if setting.path.is_empty() { "The whole file" } else { setting.path };
    let mut text = String::new();
    let _ = write!(text, "\n## {path}\n\n{}\n", setting.description);
    if has_leaves(setting) {
        text.push_str("\n| path | value | default | meaning |\n|---|---|---|---|\n");
    }
    text
}

fn has_leaves(section: &Setting) -> bool {
    let is_leaf = |kind| !matches!(kind, Kind::Section | Kind::Map(_));
    SETTINGS.iter().any(|setting| {
        is_leaf(setting.kind)
            && setting.path.rsplit_once('/').is_some_and(|(parent, _)| parent == section.path)
    })
}

fn table_row(setting: &Setting, required: &Value, complete: &Value) -> String {
    let default = if required.pointer(setting.path).is_some() {
        "required".to_owned()
    } else if let Some(value) = complete.pointer(setting.path) {
        value.to_string()
    } else {
        class_defaults(setting, complete)
    };
    let expectation = setting.expectation();
    format!("| `{}` | {expectation} | {default} | {} |\n", setting.path, setting.description)
}

fn class_defaults(setting: &Setting, complete: &Value) -> String {
    let defaults = QueryClass::BY_PRIORITY.map(|class| {
        let path = setting.path.replace('*', class.name());
        let value = complete.pointer(&path).expect("every class has its defaults");
        format!("{} {value}", class.name())
    });
    defaults.join(", ")
}
