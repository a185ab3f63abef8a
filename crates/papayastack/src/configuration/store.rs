//! The adopted documents of one VM, and the configuration in force that results from them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use papayastack_macros::{message, value};
use serde_json::Value;

use super::bundle::{ActiveConfiguration, Bundle, CONFIGURATION_KIND, CONFIGURATION_NAME};
use super::document::{Document, NewVersion, content_checksum};
use super::message::HeldDocument;
use crate::catalogue::{CATALOGUE_KIND, Catalogue};
use crate::ids::{ServiceName, SiteName};
use crate::platform::{ObjectName, ObjectVersion, version_era};
use crate::settings::{Fault, Settings, SettingsFile, render_if_bundle_valid};

/// The most replaced contents of a document that are remembered; a copy of the store is seconds old.
const REPLACED_MAX: usize = 64;

/// Returns the name of the platform object that stores the bundle.
pub fn configuration_object() -> ObjectName {
    ObjectName::new(CONFIGURATION_KIND, CONFIGURATION_NAME)
}

/// Returns the name of the platform object that stores the catalogue of `service`.
pub fn catalogue_object(service: &str) -> ObjectName {
    ObjectName::new(CATALOGUE_KIND, service)
}

/// A document version that was refused because its content is invalid.
#[message]
pub struct RefusedDocument {
    /// The name of the document.
    pub name: ObjectName,
    /// The version that was refused.
    pub version: ObjectVersion,
    /// The faults found in the content.
    pub faults: Vec<Fault>,
}

/// The result of offering a document version to the store.
#[value]
pub(crate) enum OfferOutcome {
    /// The version was adopted.
    Adopted,
    /// The version is not newer than the highest one adopted or refused.
    NotNewer,
    /// The content is invalid; the earlier version stays in force.
    Refused,
    /// The document is not needed, as the settings in force have no such service.
    NotNeeded,
}

/// The documents that one VM has adopted; a document never goes back to an earlier version.
#[derive(Debug)]
pub(crate) struct ConfigurationStore {
    site: SiteName,
    documents: BTreeMap<ObjectName, Document>,
    refused: BTreeMap<ObjectName, RefusedDocument>,
    /// The checksums of the contents that later versions replaced, oldest first.
    replaced: BTreeMap<ObjectName, VecDeque<u64>>,
    /// The versions from an older copy of the store, whose content a later one had replaced.
    copied: BTreeMap<ObjectName, ObjectVersion>,
    settings: Option<Arc<Settings>>,
    catalogues: BTreeMap<ServiceName, Arc<Catalogue>>,
    in_force: Option<Arc<ActiveConfiguration>>,
}

impl ConfigurationStore {
    /// Creates an empty store for a VM of `site`.
    pub(crate) fn open(site: SiteName) -> Self {
        Self {
            site,
            documents: BTreeMap::new(),
            refused: BTreeMap::new(),
            replaced: BTreeMap::new(),
            copied: BTreeMap::new(),
            settings: None,
            catalogues: BTreeMap::new(),
            in_force: None,
        }
    }

    /// Adopts a version if it is needed, valid and newer than any adopted or refused so far.
    pub(crate) fn offer(&mut self, name: &ObjectName, new: NewVersion) -> OfferOutcome {
        let version = new.version;
        if !self.needs(name) {
            return OfferOutcome::NotNeeded;
        }
        if version <= self.highest_decided_version(name) {
            return OfferOutcome::NotNewer;
        }
        if self.is_older_copy(name, &new) {
            self.copied.insert(name.clone(), version);
            return OfferOutcome::NotNewer;
        }
        let validated = if name.kind == CONFIGURATION_KIND {
            self.validate_bundle(&new.value).map(|settings| Validated::Settings(Arc::new(settings)))
        } else {
            validate_catalogue(&new.value)
                .map(|catalogue| Validated::Catalogue(Arc::new(catalogue)))
        };
        match validated {
            Ok(validated) => {
                self.adopt(name, new, validated);
                OfferOutcome::Adopted
            }
            Err(faults) => {
                let refused = RefusedDocument { name: name.clone(), version, faults };
                self.refused.insert(name.clone(), refused);
                OfferOutcome::Refused
            }
        }
    }

    /// Returns the configuration in force; `None` before the first bundle is adopted.
    pub(crate) fn in_force(&self) -> Option<&Arc<ActiveConfiguration>> {
        self.in_force.as_ref()
    }

    /// Returns the adopted document; `None` if there is none.
    pub(crate) fn document(&self, name: &ObjectName) -> Option<&Document> {
        self.documents.get(name)
    }

    /// Returns the adopted version; zero if there is none.
    pub(crate) fn version(&self, name: &ObjectName) -> ObjectVersion {
        self.documents.get(name).map_or(0, |document| document.version)
    }

    /// Returns the highest version that was adopted, refused or found to be an older copy; zero if
    /// there is none.
    pub(crate) fn highest_decided_version(&self, name: &ObjectName) -> ObjectVersion {
        let refused = self.refused.get(name).map_or(0, |refused| refused.version);
        let copied = self.copied.get(name).copied().unwrap_or_default();
        self.version(name).max(refused).max(copied)
    }

    /// Iterates over the refused versions that are newer than the adopted ones.
    pub(crate) fn refused(&self) -> impl Iterator<Item = &RefusedDocument> {
        self.refused.values().filter(|refused| refused.version > self.version(&refused.name))
    }

    /// Returns the documents that this VM needs: the bundle, and the catalogue of each service.
    pub(crate) fn needed_documents(&self) -> BTreeSet<ObjectName> {
        let services = self.settings.iter().flat_map(|settings| settings.services.keys());
        let catalogues = services.map(|service| catalogue_object(service));
        catalogues.chain([configuration_object()]).collect()
    }

    /// Returns whether this VM needs the document `name`.
    pub(crate) fn needs(&self, name: &ObjectName) -> bool {
        if name.kind == CATALOGUE_KIND {
            let settings = self.settings.as_ref();
            return settings.is_some_and(|settings| settings.services.contains_key(&name.name));
        }
        *name == configuration_object()
    }

    /// Returns the versions of every needed document.
    pub(crate) fn held_documents(&self) -> Vec<HeldDocument> {
        self.needed_documents().iter().map(|name| self.held_document(name)).collect()
    }

    /// Returns the versions of one document.
    pub(crate) fn held_document(&self, name: &ObjectName) -> HeldDocument {
        let version = self.version(name);
        let judged_version = self.highest_decided_version(name);
        HeldDocument { name: name.clone(), version, judged_version }
    }

    /// Tells whether a version of a later era has a content that a later one replaced here: the store
    /// came back from an older copy, and whoever wrote the later one writes it again.
    fn is_older_copy(&self, name: &ObjectName, new: &NewVersion) -> bool {
        if version_era(new.version) == version_era(self.version(name)) {
            return false;
        }
        let checksum = content_checksum(&new.value);
        self.replaced.get(name).is_some_and(|replaced| replaced.contains(&checksum))
    }

    fn validate_bundle(&self, value: &Value) -> Result<Settings, Vec<Fault>> {
        let bundle: Bundle = serde_path_to_error::deserialize(value).map_err(|error| {
            vec![parse_fault(&error, "write change_id, base and overlays with papayactl apply")]
        })?;
        render_if_bundle_valid(&bundle, &self.site)
    }

    fn adopt(&mut self, name: &ObjectName, new: NewVersion, validated: Validated) {
        let document = match self.documents.get(name) {
            Some(held) => {
                let replaced = self.replaced.entry(name.clone()).or_default();
                replaced.push_back(held.checksum);
                if replaced.len() > REPLACED_MAX {
                    replaced.pop_front();
                }
                held.advance(new)
            }
            None => Document::new(new.version, new.value),
        };
        self.documents.insert(name.clone(), document);
        match validated {
            Validated::Settings(settings) => self.replace_settings(settings),
            Validated::Catalogue(catalogue) => {
                self.catalogues.insert(name.name.clone(), catalogue);
            }
        }
        self.rebuild_in_force();
    }

    /// Replaces the settings and drops the documents of services that no longer exist.
    fn replace_settings(&mut self, settings: Arc<Settings>) {
        self.catalogues.retain(|service, _| settings.services.contains_key(service));
        self.settings = Some(settings);
        let needed = self.needed_documents();
        self.documents.retain(|name, _| needed.contains(name));
        self.refused.retain(|name, _| needed.contains(name));
        self.replaced.retain(|name, _| needed.contains(name));
        self.copied.retain(|name, _| needed.contains(name));
    }

    fn rebuild_in_force(&mut self) {
        self.in_force = self.settings.as_ref().map(|settings| {
            Arc::new(ActiveConfiguration {
                configuration_version: self.version(&configuration_object()),
                settings: Arc::clone(settings),
                catalogues: self.catalogues.clone(),
            })
        });
    }
}

enum Validated {
    Settings(Arc<Settings>),
    Catalogue(Arc<Catalogue>),
}

fn validate_catalogue(value: &Value) -> Result<Catalogue, Vec<Fault>> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| vec![parse_fault(&error, "correct the index builder's output")])
}

fn parse_fault(error: &serde_path_to_error::Error<serde_json::Error>, hint: &str) -> Fault {
    let path = error.path().to_string();
    let path = if path == "." { String::new() } else { format!("/{}", path.replace('.', "/")) };
    Fault {
        file: SettingsFile::Document,
        path,
        problem: error.inner().to_string(),
        hint: hint.to_owned(),
    }
}
