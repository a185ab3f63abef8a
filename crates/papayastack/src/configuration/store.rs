//! The adopted documents of one VM, and what they put in force.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use papayastack_macros::{message, value};
use serde_json::Value;

use super::bundle::{Bundle, CONFIGURATION_KIND, CONFIGURATION_NAME, InForce};
use super::document::{Document, NewVersion};
use super::message::HeldDocument;
use crate::catalogue::{CATALOGUE_KIND, Catalogue};
use crate::ids::{ServiceName, SiteName};
use crate::platform::{ObjectName, ObjectVersion};
use crate::settings::{Fault, Settings, SettingsFile, render_if_all_right};

/// Returns the name of the object that holds the bundle.
pub fn configuration_object() -> ObjectName {
    ObjectName::new(CONFIGURATION_KIND, CONFIGURATION_NAME)
}

/// Returns the name of the object that holds the catalogue of `service`.
pub fn catalogue_object(service: &str) -> ObjectName {
    ObjectName::new(CATALOGUE_KIND, service)
}

/// A version that was not adopted because of its content.
#[message]
pub struct RefusedDocument {
    /// The document.
    pub name: ObjectName,
    /// The version that was refused.
    pub version: ObjectVersion,
    /// What is wrong with it.
    pub faults: Vec<Fault>,
}

/// What became of a version that was offered.
#[value]
pub(crate) enum Offer {
    /// It is adopted.
    Adopted,
    /// It is not newer than what is held or was refused.
    NotNewer,
    /// Its content is invalid; what was held stays in force.
    Refused,
    /// No service of the settings in force needs it.
    NotWanted,
}

/// The documents that one VM has adopted; versions only rise.
#[derive(Debug)]
pub(crate) struct ConfigurationStore {
    site: SiteName,
    documents: BTreeMap<ObjectName, Document>,
    refused: BTreeMap<ObjectName, RefusedDocument>,
    settings: Option<Arc<Settings>>,
    catalogues: BTreeMap<ServiceName, Arc<Catalogue>>,
    in_force: Option<Arc<InForce>>,
}

impl ConfigurationStore {
    /// Opens an empty store for a VM of `site`.
    pub(crate) fn open(site: SiteName) -> Self {
        Self {
            site,
            documents: BTreeMap::new(),
            refused: BTreeMap::new(),
            settings: None,
            catalogues: BTreeMap::new(),
            in_force: None,
        }
    }

    /// Adopts a version if it is valid and the highest so far.
    pub(crate) fn offer(&mut self, name: &ObjectName, new: NewVersion) -> Offer {
        let version = new.version;
        if !self.wants(name) {
            return Offer::NotWanted;
        }
        if version <= self.judged_version(name) {
            return Offer::NotNewer;
        }
        let judged = if name.kind == CONFIGURATION_KIND {
            self.judge_bundle(&new.value).map(|settings| Judged::Settings(Arc::new(settings)))
        } else {
            judge_catalogue(&new.value).map(|catalogue| Judged::Catalogue(Arc::new(catalogue)))
        };
        match judged {
            Ok(judged) => {
                self.adopt(name, new, judged);
                Offer::Adopted
            }
            Err(faults) => {
                let refused = RefusedDocument { name: name.clone(), version, faults };
                self.refused.insert(name.clone(), refused);
                Offer::Refused
            }
        }
    }

    /// Returns what is in force; `None` before the first bundle.
    pub(crate) fn in_force(&self) -> Option<&Arc<InForce>> {
        self.in_force.as_ref()
    }

    /// Returns the adopted document.
    pub(crate) fn document(&self, name: &ObjectName) -> Option<&Document> {
        self.documents.get(name)
    }

    /// Returns the adopted version, zero where there is none.
    pub(crate) fn version(&self, name: &ObjectName) -> ObjectVersion {
        self.documents.get(name).map_or(0, |document| document.version)
    }

    /// Returns the highest version that was adopted or refused, zero where there is none.
    pub(crate) fn judged_version(&self, name: &ObjectName) -> ObjectVersion {
        let refused = self.refused.get(name).map_or(0, |refused| refused.version);
        self.version(name).max(refused)
    }

    /// Iterates over the refused versions that nothing newer has replaced.
    pub(crate) fn refused(&self) -> impl Iterator<Item = &RefusedDocument> {
        self.refused.values().filter(|refused| refused.version > self.version(&refused.name))
    }

    /// Lists the documents that this VM needs: the bundle, and a catalogue for each service.
    pub(crate) fn wanted(&self) -> BTreeSet<ObjectName> {
        let services = self.settings.iter().flat_map(|settings| settings.services.keys());
        let catalogues = services.map(|service| catalogue_object(service));
        catalogues.chain([configuration_object()]).collect()
    }

    /// Returns whether this VM needs `name`.
    pub(crate) fn wants(&self, name: &ObjectName) -> bool {
        if name.kind == CATALOGUE_KIND {
            let settings = self.settings.as_ref();
            return settings.is_some_and(|settings| settings.services.contains_key(&name.name));
        }
        *name == configuration_object()
    }

    /// Describes every document that is needed.
    pub(crate) fn held(&self) -> Vec<HeldDocument> {
        self.wanted().iter().map(|name| self.held_document(name)).collect()
    }

    /// Describes one document.
    pub(crate) fn held_document(&self, name: &ObjectName) -> HeldDocument {
        let version = self.version(name);
        let judged_version = self.judged_version(name);
        HeldDocument { name: name.clone(), version, judged_version }
    }

    fn judge_bundle(&self, value: &Value) -> Result<Settings, Vec<Fault>> {
        let bundle: Bundle = serde_path_to_error::deserialize(value).map_err(|error| {
            vec![malformed(&error, "write change_id, base and overlays through papayactl apply")]
        })?;
        render_if_all_right(&bundle, &self.site)
    }

    fn adopt(&mut self, name: &ObjectName, new: NewVersion, judged: Judged) {
        let document = match self.documents.get(name) {
            Some(held) => held.advance(new),
            None => Document::new(new.version, new.value),
        };
        self.documents.insert(name.clone(), document);
        match judged {
            Judged::Settings(settings) => self.put_settings(settings),
            Judged::Catalogue(catalogue) => {
                self.catalogues.insert(name.name.clone(), catalogue);
            }
        }
        self.put_in_force();
    }

    fn put_settings(&mut self, settings: Arc<Settings>) {
        self.catalogues.retain(|service, _| settings.services.contains_key(service));
        self.settings = Some(settings);
        let wanted = self.wanted();
        self.documents.retain(|name, _| wanted.contains(name));
        self.refused.retain(|name, _| wanted.contains(name));
    }

    fn put_in_force(&mut self) {
        self.in_force = self.settings.as_ref().map(|settings| {
            Arc::new(InForce {
                configuration_version: self.version(&configuration_object()),
                settings: Arc::clone(settings),
                catalogues: self.catalogues.clone(),
            })
        });
    }
}

enum Judged {
    Settings(Arc<Settings>),
    Catalogue(Arc<Catalogue>),
}

fn judge_catalogue(value: &Value) -> Result<Catalogue, Vec<Fault>> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| vec![malformed(&error, "let the index builder write the catalogue")])
}

fn malformed(error: &serde_path_to_error::Error<serde_json::Error>, hint: &str) -> Fault {
    let path = error.path().to_string();
    let path = if path == "." { String::new() } else { format!("/{}", path.replace('.', "/")) };
    Fault {
        file: SettingsFile::Document,
        path,
        problem: error.inner().to_string(),
        hint: hint.to_owned(),
    }
}
