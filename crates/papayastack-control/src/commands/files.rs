//! The commands that only read files.

use std::path::Path;

use json_patch::{Patch, PatchOperation};
use papayastack::{GatewaySettings, render};
use serde_json::{Value, json};

use super::{print_diagnostics, print_json};
use crate::Exit;
use crate::diagnostic::Diagnostic;
use crate::source::{LoadedConfiguration, Source};

/// Checks the base by itself and combined with each overlay.
pub(crate) fn check(source: &Source, json: bool) -> Exit {
    let loaded = match source.load() {
        Ok(loaded) => loaded,
        Err(diagnostics) => return print_diagnostics(&diagnostics, json),
    };
    let diagnostics = loaded.check();
    if !diagnostics.is_empty() {
        return print_diagnostics(&diagnostics, json);
    }
    if json {
        print_json(&serde_json::json!({ "faults": [] }));
    } else {
        println!("The base and {} overlays are valid.", loaded.bundle.overlays.len());
    }
    Exit::Success
}

/// Checks the settings file of a forwarding VM.
pub(crate) fn check_gateway(file: &Path, json: bool) -> Exit {
    let name = file.display().to_string();
    let diagnostics = match std::fs::read_to_string(file) {
        Ok(text) => match GatewaySettings::parse(&text) {
            Ok(_) => Vec::new(),
            Err(faults) => faults
                .into_iter()
                .map(|fault| Diagnostic::from_fault(name.clone(), "", fault))
                .collect(),
        },
        Err(error) => {
            vec![Diagnostic::for_file(
                name,
                error.to_string(),
                "check that the file exists and is readable",
            )]
        }
    };
    if !diagnostics.is_empty() {
        return print_diagnostics(&diagnostics, json);
    }
    if json {
        print_json(&json!({ "faults": [] }));
    } else {
        println!("The settings are valid.");
    }
    Exit::Success
}

/// Prints the settings of one site with all defaults.
pub(crate) fn render_site(source: &Source, site: &str, json: bool) -> Exit {
    let loaded = match source.load() {
        Ok(loaded) => loaded,
        Err(diagnostics) => return print_diagnostics(&diagnostics, json),
    };
    match render_settings(&loaded, site) {
        Ok(settings) => {
            print_json(&settings);
            Exit::Success
        }
        Err(diagnostics) => print_diagnostics(&diagnostics, json),
    }
}

/// Prints what differs between two sites of one configuration.
pub(crate) fn diff_sites(source: &Source, left: &str, right: &str, json: bool) -> Exit {
    let loaded = match source.load() {
        Ok(loaded) => loaded,
        Err(diagnostics) => return print_diagnostics(&diagnostics, json),
    };
    match (render_settings(&loaded, left), render_settings(&loaded, right)) {
        (Ok(left), Ok(right)) => {
            print_difference(&left, &right, json);
            Exit::Success
        }
        (left, right) => print_all_diagnostics([left.err(), right.err()], json),
    }
}

/// Prints what differs between two configurations, as a whole or at one site.
pub(crate) fn diff_sources(left: &Source, right: &Source, site: Option<&str>, json: bool) -> Exit {
    let (left, right) = match (left.load(), right.load()) {
        (Ok(left), Ok(right)) => (left, right),
        (left, right) => return print_all_diagnostics([left.err(), right.err()], json),
    };
    let document = |loaded: &LoadedConfiguration| match site {
        Some(site) => render_settings(loaded, site),
        None => Ok(loaded.bundle.content()),
    };
    match (document(&left), document(&right)) {
        (Ok(left), Ok(right)) => {
            print_difference(&left, &right, json);
            Exit::Success
        }
        (left, right) => print_all_diagnostics([left.err(), right.err()], json),
    }
}

/// Prints the changes of a patch, with the old values from `before` if given.
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
fn render_settings(loaded: &LoadedConfiguration, site: &str) -> Result<Value, Vec<Diagnostic>> {
    warn_missing_overlay(loaded, site);
    match render(&loaded.bundle, site) {
        Ok(settings) => Ok(json!(settings)),
        Err(faults) => Err(faults.into_iter().map(|fault| loaded.locate_fault(fault)).collect()),
    }
}

fn print_all_diagnostics(diagnostics: [Option<Vec<Diagnostic>>; 2], json: bool) -> Exit {
    let diagnostics: Vec<Diagnostic> = diagnostics.into_iter().flatten().flatten().collect();
    print_diagnostics(&diagnostics, json)
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

fn warn_missing_overlay(loaded: &LoadedConfiguration, site: &str) {
    let overlays = &loaded.bundle.overlays;
    if !overlays.contains_key(site) {
        let sites: Vec<&str> = overlays.keys().map(String::as_str).collect();
        let sites = if sites.is_empty() { "none".to_owned() } else { sites.join(", ") };
        eprintln!("papayactl: site `{site}` has no overlay and uses the base; overlays: {sites}");
    }
}
