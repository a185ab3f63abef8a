//! Loads a configuration from files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use papayastack::{Bundle, Fault, SettingsFile, check};
use serde_json::{Map, Value};

use crate::diagnostic::Diagnostic;
use crate::json;

/// Where a configuration is read from.
#[derive(Debug)]
pub(crate) enum Source {
    /// A directory, or one file with base and overlays.
    Path(PathBuf),
    /// One file for the base and one for each overlay.
    Files { base: PathBuf, overlays: Vec<(String, PathBuf)> },
}

/// A configuration with the locations of its parts in files.
#[derive(Debug)]
pub(crate) struct LoadedConfiguration {
    /// Base and overlays, without a change id.
    pub(crate) bundle: Bundle,
    /// The version at the platform, if the file was printed by `fetch`.
    pub(crate) version: Option<u64>,
    /// For the base and each overlay, its file and the JSON pointer to it within that file.
    locations: BTreeMap<SettingsFile, (String, String)>,
}

impl Source {
    /// Reads the base and the overlays.
    ///
    /// # Errors
    /// A diagnostic for each file that cannot be read.
    pub(crate) fn load(&self) -> Result<LoadedConfiguration, Vec<Diagnostic>> {
        match self {
            Self::Files { base, overlays } => load_files(base, overlays),
            Self::Path(path) if path.is_dir() => load_directory(path),
            Self::Path(path) => load_bundle(path),
        }
    }
}

impl LoadedConfiguration {
    /// Checks the base and every site.
    pub(crate) fn check(&self) -> Vec<Diagnostic> {
        check(&self.bundle).into_iter().map(|fault| self.locate_fault(fault)).collect()
    }

    /// Converts a fault to a diagnostic that points into the file that holds the fault.
    pub(crate) fn locate_fault(&self, fault: Fault) -> Diagnostic {
        let location = self.locations.get(&fault.file).cloned();
        let (file, prefix) = location.unwrap_or_else(|| (fault.file.to_string(), String::new()));
        Diagnostic::from_fault(file, &prefix, fault)
    }
}

fn load_directory(directory: &Path) -> Result<LoadedConfiguration, Vec<Diagnostic>> {
    let overlays = overlay_files(&directory.join("overlays")).map_err(|one| vec![one])?;
    load_files(&directory.join("base.json"), &overlays)
}

fn overlay_files(directory: &Path) -> Result<Vec<(String, PathBuf)>, Diagnostic> {
    if !directory.exists() {
        return Ok(Vec::new());
    }
    let unreadable = |error: std::io::Error| {
        let hint = "make it a directory of files named SITE.json";
        Diagnostic::for_file(directory.display().to_string(), error.to_string(), hint)
    };
    let mut overlays = Vec::new();
    for entry in directory.read_dir().map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        let site = path.file_stem().map(|stem| stem.to_string_lossy().into_owned());
        match site {
            Some(site) if path.extension().is_some_and(|extension| extension == "json") => {
                overlays.push((site, path));
            }
            _ => {
                let hint = "name an overlay SITE.json, or move the file elsewhere";
                let file = path.display().to_string();
                return Err(Diagnostic::for_file(file, "not an overlay file", hint));
            }
        }
    }
    overlays.sort();
    Ok(overlays)
}

fn load_files(
    base: &Path,
    overlays: &[(String, PathBuf)],
) -> Result<LoadedConfiguration, Vec<Diagnostic>> {
    let mut diagnostics = Vec::new();
    let mut value_or_record = |document: Result<Value, Diagnostic>| {
        document.map_err(|diagnostic| diagnostics.push(diagnostic)).unwrap_or_default()
    };
    let base_document = value_or_record(read(base));
    let mut locations =
        BTreeMap::from([(SettingsFile::Base, (base.display().to_string(), String::new()))]);
    let mut documents = BTreeMap::new();
    for (site, path) in overlays {
        let file = path.display().to_string();
        if documents.contains_key(site) {
            let hint = "name one file for each site";
            value_or_record(Err(Diagnostic::for_file(
                &file,
                format!("site `{site}` has two overlays"),
                hint,
            )));
        }
        documents.insert(site.clone(), value_or_record(read(path)));
        locations.insert(SettingsFile::Overlay(site.clone()), (file, String::new()));
    }
    if !diagnostics.is_empty() {
        return Err(diagnostics);
    }
    Ok(LoadedConfiguration { bundle: bundle(base_document, documents), version: None, locations })
}

fn load_bundle(path: &Path) -> Result<LoadedConfiguration, Vec<Diagnostic>> {
    let file = path.display().to_string();
    let invalid = |path: &str, problem: &str, hint: &str| {
        let mut diagnostic = Diagnostic::for_file(&file, problem, hint);
        path.clone_into(&mut diagnostic.path);
        vec![diagnostic]
    };
    let document = read(path).map_err(|diagnostic| vec![diagnostic])?;
    let Value::Object(mut members) = document else {
        return Err(invalid("", "expected an object", BUNDLE_HINT));
    };
    let Some(base) = members.remove("base") else {
        return Err(invalid("/base", "the base is missing", BUNDLE_HINT));
    };
    let overlays = match members.remove("overlays") {
        None => Map::new(),
        Some(Value::Object(overlays)) => overlays,
        Some(_) => return Err(invalid("/overlays", "expected an object", BUNDLE_HINT)),
    };
    let version = match members.remove("version") {
        None => None,
        Some(version) => match version.as_u64() {
            Some(version) => Some(version),
            None => return Err(invalid("/version", "expected a version number", BUNDLE_HINT)),
        },
    };
    // A file printed by fetch has the id of the change that it came from; an apply is a new change.
    members.remove("change_id");
    if let Some(name) = members.keys().next() {
        let problem = format!("unknown member `{name}`");
        return Err(invalid(&format!("/{name}"), &problem, BUNDLE_HINT));
    }
    let mut locations = BTreeMap::from([(SettingsFile::Base, (file.clone(), "/base".to_owned()))]);
    for site in overlays.keys() {
        let prefix = format!("/overlays/{}", site.replace('~', "~0").replace('/', "~1"));
        locations.insert(SettingsFile::Overlay(site.clone()), (file.clone(), prefix));
    }
    Ok(LoadedConfiguration {
        bundle: bundle(base, overlays.into_iter().collect()),
        version,
        locations,
    })
}

const BUNDLE_HINT: &str = "write an object with base and overlays, as printed by papayactl fetch";

fn bundle(base: Value, overlays: BTreeMap<String, Value>) -> Bundle {
    Bundle { change_id: String::new(), earlier_change_ids: Vec::new(), base, overlays }
}

fn read(path: &Path) -> Result<Value, Diagnostic> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Diagnostic::for_file(&file, error.to_string(), "check that the file exists and is readable")
    })?;
    json::parse(&text).map_err(|error| {
        Diagnostic::for_file(&file, format!("invalid JSON: {error}"), "correct the syntax")
    })
}
