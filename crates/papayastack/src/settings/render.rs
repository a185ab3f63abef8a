//! Base and overlay merged into the settings of a site, and the check of a whole bundle.

use std::collections::BTreeSet;

use serde_json::Value;

use super::check::{check_ranges, check_relations};
use super::fault::{Fault, Finding, SettingsFile};
use super::overlay::{check_overlay, touches};
use super::parse::parse;
use super::pointer;
use super::reference_page::required_only;
use super::schema::Settings;
use crate::configuration::Bundle;
use crate::ids::SiteName;

/// The sections that grow with the number of upstreams.
const DIRECTORY: [&str; 2] = ["data_centres", "services"];

/// Renders the settings of `site`: the base, changed by the site's overlay where it has one.
///
/// Returns every fault of the result.
pub fn render(bundle: &Bundle, site: &str) -> Result<Settings, Vec<Fault>> {
    let overlay = bundle.overlays.get_key_value(site);
    let merged = merge(&bundle.base, overlay.map(|(_, overlay)| overlay));
    settings_of(&merged).map_err(|findings| {
        let blamed = findings.into_iter().map(|finding| blame(finding, &bundle.base, overlay));
        blamed.collect()
    })
}

/// Renders the settings of `site` if those of every other site are right too.
///
/// Every VM comes to the same result, whatever its site. Data centres and services, by far the
/// largest part, are judged once for all sites whose overlays leave them as they are.
pub(crate) fn render_if_all_right(bundle: &Bundle, site: &str) -> Result<Settings, Vec<Fault>> {
    let settings = render(bundle, site)?;
    let mut base_is_judged = !changes_directory(bundle.overlays.get(site));
    for (other, overlay) in bundle.overlays.iter().filter(|(other, _)| *other != site) {
        if !changes_directory(Some(overlay)) && base_is_judged {
            judge_policies(&bundle.base, (other, overlay))?;
        } else {
            render(bundle, other)?;
            base_is_judged |= !changes_directory(Some(overlay));
        }
    }
    judge_base(&bundle.base, base_is_judged)?;
    Ok(settings)
}

/// Judges the base by itself, without its directory where that is judged already.
fn judge_base(base: &Value, directory_is_judged: bool) -> Result<(), Vec<Fault>> {
    let policies = directory_is_judged.then(|| policies_of(base));
    let judged = settings_of(policies.as_ref().unwrap_or(base));
    judged.map(|_| ()).map_err(|findings| {
        findings.into_iter().map(|finding| blame(finding, base, None)).collect()
    })
}

/// Returns whether an overlay changes data centres or services.
fn changes_directory(overlay: Option<&Value>) -> bool {
    overlay.is_some_and(|overlay| match overlay {
        Value::Object(members) => DIRECTORY.iter().any(|section| members.contains_key(*section)),
        _ => true,
    })
}

/// Judges all settings of a site but its data centres and services.
fn judge_policies(base: &Value, overlay: (&SiteName, &Value)) -> Result<(), Vec<Fault>> {
    let judged = settings_of(&merge(&policies_of(base), Some(overlay.1)));
    judged.map(|_| ()).map_err(|findings| {
        findings.into_iter().map(|finding| blame(finding, base, Some(overlay))).collect()
    })
}

/// Returns the base with the shortest directory in the place of its own.
fn policies_of(base: &Value) -> Value {
    let mut policies = required_only();
    let members = base.as_object().into_iter().flatten();
    for (name, section) in members.filter(|(name, _)| !DIRECTORY.contains(&name.as_str())) {
        policies[name] = section.clone();
    }
    policies
}

/// Checks the base by itself and with each overlay; an empty list means that all is right.
pub fn check(bundle: &Bundle) -> Vec<Fault> {
    let base = settings_of(&bundle.base);
    let mut faults = BTreeSet::new();
    if let Err(findings) = &base {
        faults.extend(findings.iter().cloned().map(|finding| blame(finding, &bundle.base, None)));
    }
    for overlay in &bundle.overlays {
        faults.extend(overlay_faults(&bundle.base, overlay));
    }
    faults.into_iter().collect()
}

fn overlay_faults(base: &Value, (site, overlay): (&SiteName, &Value)) -> Vec<Fault> {
    let file = SettingsFile::Overlay(site.clone());
    if site.trim().is_empty() {
        let finding = Finding::new("", "the site's name is empty", "name the site");
        return vec![finding.in_file(file)];
    }
    let findings = check_overlay(base, overlay);
    let incomplete = findings.clone();
    let is_known = |fault: &Fault| {
        incomplete.iter().any(|known| fault.path.starts_with(&format!("{}/", known.path)))
    };
    let mut faults: Vec<Fault> =
        findings.into_iter().map(|finding| finding.in_file(file.clone())).collect();
    if !overlay.is_object() {
        return faults;
    }
    if let Err(findings) = settings_of(&merge(base, Some(overlay))) {
        let overlay = Some((site, overlay));
        let merged = findings.into_iter().map(|finding| blame(finding, base, overlay));
        faults.extend(merged.filter(|fault| !is_known(fault)));
    }
    faults
}

fn merge(base: &Value, overlay: Option<&Value>) -> Value {
    let mut merged = base.clone();
    if let Some(overlay) = overlay {
        json_patch::merge(&mut merged, overlay);
    }
    merged
}

fn settings_of(document: &Value) -> Result<Settings, Vec<Finding>> {
    let mut findings = check_ranges(document);
    match parse(document) {
        Ok(settings) => {
            let mut relations = check_relations(&settings);
            relations.retain(|finding| findings.iter().all(|other| other.path != finding.path));
            findings.extend(relations);
            if findings.is_empty() { Ok(settings) } else { Err(findings) }
        }
        Err(more) => {
            findings.retain(|finding| more.iter().all(|other| other.path != finding.path));
            findings.extend(more);
            Err(findings)
        }
    }
}

/// Attributes a fault of the merged settings to the file that causes it.
fn blame(finding: Finding, base: &Value, overlay: Option<(&SiteName, &Value)>) -> Fault {
    let parent = pointer::split_last(&finding.path).map_or("", |(parent, _)| parent);
    let from_base = base.pointer(parent).is_some();
    let file = match overlay {
        Some((site, overlay)) if !from_base || touches(overlay, &finding.path) => {
            SettingsFile::Overlay(site.clone())
        }
        _ => SettingsFile::Base,
    };
    finding.in_file(file)
}
