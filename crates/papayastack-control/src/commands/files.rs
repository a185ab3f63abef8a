//! The commands that work on files alone.

use std::path::Path;

use json_patch::{Patch, PatchOperation};
use papayastack::{GatewaySettings, render};
use serde_json::{Value, json};

use super::{print_complaints, print_json};
use crate::Exit;
use crate::complaint::Complaint;
use crate::source::{Loaded, Source};

/// Checks the base by itself and with every overlay.
pub(crate) fn check(source: &Source, json: bool) -> Exit {
    let loaded = match source.load() {
        Ok(loaded) => loaded,
        Err(complaints) => return print_complaints(&complaints, json),
    };
    let complaints = loaded.check();
    if !complaints.is_empty() {
        return print_complaints(&complaints, json);
    }
    if json {
        print_json(&serde_json::json!({ "faults": [] }));
    } else {
        println!("The base and {} overlays are right.", loaded.bundle.overlays.len());
    }
    Exit::Success
}

/// Checks the settings of a VM that forwards.
pub(crate) fn check_gateway(file: &Path, json: bool) -> Exit {
    let name = file.display().to_string();
    let complaints = match std::fs::read_to_string(file) {
        Ok(text) => match GatewaySettings::parse(&text) {
            Ok(_) => Vec::new(),
            Err(faults) => faults
                .into_iter()
                .map(|fault| Complaint::from_fault(name.clone(), "", fault))
                .collect(),
        },
        Err(error) => {
            vec![Complaint::about_file(name, error.to_string(), "name a file that can be read")]
        }
    };
    if !complaints.is_empty() {
        return print_complaints(&complaints, json);
    }
    if json {
        print_json(&json!({ "faults": [] }));
    } else {
        println!("The settings are right.");
    }
    Exit::Success
}

/// Prints the settings of one site with all defaults.
pub(crate) fn render_site(source: &Source, site: &str, json: bool) -> Exit {
    let loaded = match source.load() {
        Ok(loaded) => loaded,
        Err(complaints) => return print_complaints(&complaints, json),
    };
    match settings_of(&loaded, site) {
        Ok(settings) => {
            print_json(&settings);
            Exit::Success
        }
        Err(complaints) => print_complaints(&complaints, json),
    }
}

/// Prints what differs between two sites of one configuration.
pub(crate) fn diff_sites(source: &Source, left: &str, right: &str, json: bool) -> Exit {
    let loaded = match source.load() {
        Ok(loaded) => loaded,
        Err(complaints) => return print_complaints(&complaints, json),
    };
    match (settings_of(&loaded, left), settings_of(&loaded, right)) {
        (Ok(left), Ok(right)) => {
            print_difference(&left, &right, json);
            Exit::Success
        }
        (left, right) => print_all_complaints([left.err(), right.err()], json),
    }
}

/// Prints what differs between two configurations, as a whole or at one site.
pub(crate) fn diff_sources(left: &Source, right: &Source, site: Option<&str>, json: bool) -> Exit {
    let (left, right) = match (left.load(), right.load()) {
        (Ok(left), Ok(right)) => (left, right),
        (left, right) => return print_all_complaints([left.err(), right.err()], json),
    };
    let document = |loaded: &Loaded| match site {
        Some(site) => settings_of(loaded, site),
        None => Ok(loaded.bundle.content()),
    };
    match (document(&left), document(&right)) {
        (Ok(left), Ok(right)) => {
            print_difference(&left, &right, json);
            Exit::Success
        }
        (left, right) => print_all_complaints([left.err(), right.err()], json),
    }
}

/// Prints the changes that lead from one document to another.
pub(crate) fn print_changes(changes: &Patch, before: Option<&Value>) {
    for change in &changes.0 {
        let path = change.path();
        let old = before.and_then(|before| before.pointer(path.as_str()));
        let old = old.map(|old| format!(" (was {old})")).unwrap_or_default();
        match change {
            PatchOperation::Add(add) => println!("add {path}: {}", add.value),
            PatchOperation::Replace(replace) => println!("change {path}: {}{old}", replace.value),
            PatchOperation::Remove(_) => println!("remove {path}{old}"),
            other => println!("{other}"),
        }
    }
}

/// Renders the settings of a site with all defaults.
fn settings_of(loaded: &Loaded, site: &str) -> Result<Value, Vec<Complaint>> {
    note_missing_overlay(loaded, site);
    match render(&loaded.bundle, site) {
        Ok(settings) => Ok(json!(settings)),
        Err(faults) => Err(faults.into_iter().map(|fault| loaded.complain(fault)).collect()),
    }
}

fn print_all_complaints(complaints: [Option<Vec<Complaint>>; 2], json: bool) -> Exit {
    let complaints: Vec<Complaint> = complaints.into_iter().flatten().flatten().collect();
    print_complaints(&complaints, json)
}

fn print_difference(left: &Value, right: &Value, json: bool) {
    let changes = json_patch::diff(left, right);
    if json {
        print_json(&changes);
    } else if changes.0.is_empty() {
        println!("No difference.");
    } else {
        print_changes(&changes, Some(left));
    }
}

fn note_missing_overlay(loaded: &Loaded, site: &str) {
    let overlays = &loaded.bundle.overlays;
    if !overlays.contains_key(site) {
        let sites: Vec<&str> = overlays.keys().map(String::as_str).collect();
        let sites = if sites.is_empty() { "none".to_owned() } else { sites.join(", ") };
        eprintln!("papayactl: site `{site}` has no overlay and uses the base; overlays: {sites}");
    }
}
