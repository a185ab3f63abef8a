//! Merges base and overlay into the settings of a site, and checks a whole bundle.

use std::collections::BTreeSet;

use serde_json::Value;

use super::check::{check_ranges, check_relations};
use super::fault::{Fault, Finding, SettingsFile};
use super::overlay::{check_overlay, sets_value_at};
use super::parse::parse;
use super::pointer;
use super::reference_page::minimal_document;
use super::schema::Settings;
use crate::configuration::Bundle;
use crate::ids::SiteName;

/// The sections that grow with the number of upstreams, by far the largest ones.
const DIRECTORY_SECTIONS: [&str; 2] = ["data_centres", "services"];

/// Renders the settings of `site`: the base merged with the site's overlay, if it has one.
///
/// Returns every fault of the result.
pub fn render(bundle: &Bundle, site: &str) -> Result<Settings, Vec<Fault>> {
    let overlay = bundle.overlays.get_key_value(site);
    let merged = merge(&bundle.base, overlay.map(|(_, overlay)| overlay));
    parse_and_check(&merged).map_err(|findings| {
        let faults =
            findings.into_iter().map(|finding| attribute_to_file(finding, &bundle.base, overlay));
        faults.collect()
    })
}

/// Renders the settings of `site` if the base and the settings of every site are valid.
///
/// Whether a bundle is valid does not depend on the site, so all VMs agree on it. Data centres and
/// services, by far the largest part, are validated once for all sites whose overlays leave them
/// unchanged.
pub(crate) fn render_if_bundle_valid(bundle: &Bundle, site: &str) -> Result<Settings, Vec<Fault>> {
    let settings = render(bundle, site)?;
    let mut directory_is_validated = !changes_directory(bundle.overlays.get(site));
    for (other, overlay) in bundle.overlays.iter().filter(|(other, _)| *other != site) {
        if !changes_directory(Some(overlay)) && directory_is_validated {
            validate_policies(&bundle.base, (other, overlay))?;
        } else {
            render(bundle, other)?;
            directory_is_validated |= !changes_directory(Some(overlay));
        }
    }
    validate_base(&bundle.base, directory_is_validated)?;
    Ok(settings)
}

/// Validates the base without overlays, and without its directory if that is validated already.
fn validate_base(base: &Value, directory_is_validated: bool) -> Result<(), Vec<Fault>> {
    let policies = directory_is_validated.then(|| without_directory(base));
    let result = parse_and_check(policies.as_ref().unwrap_or(base));
    result.map(|_| ()).map_err(|findings| {
        findings.into_iter().map(|finding| attribute_to_file(finding, base, None)).collect()
    })
}

/// Returns whether an overlay changes data centres or services.
fn changes_directory(overlay: Option<&Value>) -> bool {
    overlay.is_some_and(|overlay| match overlay {
        Value::Object(members) => {
            DIRECTORY_SECTIONS.iter().any(|section| members.contains_key(*section))
        }
        _ => true,
    })
}

/// Validates all settings of a site except its data centres and services.
fn validate_policies(base: &Value, overlay: (&SiteName, &Value)) -> Result<(), Vec<Fault>> {
    let result = parse_and_check(&merge(&without_directory(base), Some(overlay.1)));
    result.map(|_| ()).map_err(|findings| {
        findings
            .into_iter()
            .map(|finding| attribute_to_file(finding, base, Some(overlay)))
            .collect()
    })
}

/// Returns the base with its data centres and services replaced by the smallest valid ones.
fn without_directory(base: &Value) -> Value {
    let mut policies = minimal_document();
    let members = base.as_object().into_iter().flatten();
    for (name, section) in members.filter(|(name, _)| !DIRECTORY_SECTIONS.contains(&name.as_str()))
    {
        policies[name] = section.clone();
    }
    policies
}

/// Checks the base alone and with each overlay; returns an empty list for a valid bundle.
pub fn check(bundle: &Bundle) -> Vec<Fault> {
    let base = parse_and_check(&bundle.base);
    let mut faults = BTreeSet::new();
    if let Err(findings) = &base {
        faults.extend(
            findings.iter().cloned().map(|finding| attribute_to_file(finding, &bundle.base, None)),
        );
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
    let overlay_findings = findings.clone();
    let is_below_finding = |fault: &Fault| {
        overlay_findings.iter().any(|known| fault.path.starts_with(&format!("{}/", known.path)))
    };
    let mut faults: Vec<Fault> =
        findings.into_iter().map(|finding| finding.in_file(file.clone())).collect();
    if !overlay.is_object() {
        return faults;
    }
    if let Err(findings) = parse_and_check(&merge(base, Some(overlay))) {
        let overlay = Some((site, overlay));
        let merged = findings.into_iter().map(|finding| attribute_to_file(finding, base, overlay));
        faults.extend(merged.filter(|fault| !is_below_finding(fault)));
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

fn parse_and_check(document: &Value) -> Result<Settings, Vec<Finding>> {
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
fn attribute_to_file(
    finding: Finding,
    base: &Value,
    overlay: Option<(&SiteName, &Value)>,
) -> Fault {
    let parent = pointer::split_last(&finding.path).map_or("", |(parent, _)| parent);
    let from_base = base.pointer(parent).is_some();
    let file = match overlay {
        Some((site, overlay)) if !from_base || sets_value_at(overlay, &finding.path) => {
            SettingsFile::Overlay(site.clone())
        }
        _ => SettingsFile::Base,
    };
    finding.in_file(file)
}
