//! The files of a configuration.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use papayastack::{Bundle, Fault, SettingsFile, check};
use serde_json::{Map, Value};

use crate::complaint::Complaint;
use crate::json;

/// Where a configuration is read from.
#[derive(Debug)]
pub(crate) enum Source {
    /// A directory, or one file with base and overlays.
    Path(PathBuf),
    /// One file for the base and one for each overlay.
    Files { base: PathBuf, overlays: Vec<(String, PathBuf)> },
}

/// A configuration as it was read.
#[derive(Debug)]
pub(crate) struct Loaded {
    /// Base and overlays, without a change id.
    pub(crate) bundle: Bundle,
    /// The platform's version that the configuration was fetched at.
    pub(crate) version: Option<u64>,
    /// The file of the base and of each overlay, and the place in it.
    places: BTreeMap<SettingsFile, (String, String)>,
}

impl Source {
    /// Reads the files; every file that cannot be read is complained about.
    pub(crate) fn load(&self) -> Result<Loaded, Vec<Complaint>> {
        match self {
            Self::Files { base, overlays } => load_files(base, overlays),
            Self::Path(path) if path.is_dir() => load_directory(path),
            Self::Path(path) => load_bundle(path),
        }
    }
}

impl Loaded {
    /// Checks the base and every site.
    pub(crate) fn check(&self) -> Vec<Complaint> {
        check(&self.bundle).into_iter().map(|fault| self.complain(fault)).collect()
    }

    /// Names the file of a fault.
    pub(crate) fn complain(&self, fault: Fault) -> Complaint {
        let place = self.places.get(&fault.file).cloned();
        let (file, prefix) = place.unwrap_or_else(|| (fault.file.to_string(), String::new()));
        Complaint::from_fault(file, &prefix, fault)
    }
}

fn load_directory(directory: &Path) -> Result<Loaded, Vec<Complaint>> {
    let overlays = overlay_files(&directory.join("overlays")).map_err(|one| vec![one])?;
    load_files(&directory.join("base.json"), &overlays)
}

fn overlay_files(directory: &Path) -> Result<Vec<(String, PathBuf)>, Complaint> {
    if !directory.exists() {
        return Ok(Vec::new());
    }
    let unreadable = |error: std::io::Error| {
        let hint = "make it a directory of files named SITE.json";
        Complaint::about_file(directory.display().to_string(), error.to_string(), hint)
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
                return Err(Complaint::about_file(file, "this is not an overlay", hint));
            }
        }
    }
    overlays.sort();
    Ok(overlays)
}

fn load_files(base: &Path, overlays: &[(String, PathBuf)]) -> Result<Loaded, Vec<Complaint>> {
    let mut complaints = Vec::new();
    let mut keep = |document: Result<Value, Complaint>| {
        document.map_err(|complaint| complaints.push(complaint)).unwrap_or_default()
    };
    let base_document = keep(read(base));
    let mut places =
        BTreeMap::from([(SettingsFile::Base, (base.display().to_string(), String::new()))]);
    let mut documents = BTreeMap::new();
    for (site, path) in overlays {
        let file = path.display().to_string();
        if documents.contains_key(site) {
            let hint = "name one file for each site";
            keep(Err(Complaint::about_file(
                &file,
                format!("site `{site}` has two overlays"),
                hint,
            )));
        }
        documents.insert(site.clone(), keep(read(path)));
        places.insert(SettingsFile::Overlay(site.clone()), (file, String::new()));
    }
    if !complaints.is_empty() {
        return Err(complaints);
    }
    Ok(Loaded { bundle: bundle(base_document, documents), version: None, places })
}

fn load_bundle(path: &Path) -> Result<Loaded, Vec<Complaint>> {
    let file = path.display().to_string();
    let complain = |path: &str, problem: &str, hint: &str| {
        let mut complaint = Complaint::about_file(&file, problem, hint);
        path.clone_into(&mut complaint.path);
        vec![complaint]
    };
    let document = read(path).map_err(|complaint| vec![complaint])?;
    let Value::Object(mut members) = document else {
        return Err(complain("", "this is not an object", BUNDLE_HINT));
    };
    let Some(base) = members.remove("base") else {
        return Err(complain("/base", "the base is missing", BUNDLE_HINT));
    };
    let overlays = match members.remove("overlays") {
        None => Map::new(),
        Some(Value::Object(overlays)) => overlays,
        Some(_) => return Err(complain("/overlays", "this is not an object", BUNDLE_HINT)),
    };
    let version = match members.remove("version") {
        None => None,
        Some(version) => match version.as_u64() {
            Some(version) => Some(version),
            None => return Err(complain("/version", "this is not a version", BUNDLE_HINT)),
        },
    };
    // A file printed by fetch names the change that made it; an apply is a new change.
    members.remove("change_id");
    if let Some(name) = members.keys().next() {
        let problem = format!("`{name}` does not belong here");
        return Err(complain(&format!("/{name}"), &problem, BUNDLE_HINT));
    }
    let mut places = BTreeMap::from([(SettingsFile::Base, (file.clone(), "/base".to_owned()))]);
    for site in overlays.keys() {
        let prefix = format!("/overlays/{}", site.replace('~', "~0").replace('/', "~1"));
        places.insert(SettingsFile::Overlay(site.clone()), (file.clone(), prefix));
    }
    Ok(Loaded { bundle: bundle(base, overlays.into_iter().collect()), version, places })
}

const BUNDLE_HINT: &str = "write an object with base and overlays, as printed by papayactl fetch";

fn bundle(base: Value, overlays: BTreeMap<String, Value>) -> Bundle {
    Bundle { change_id: String::new(), earlier_change_ids: Vec::new(), base, overlays }
}

fn read(path: &Path) -> Result<Value, Complaint> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        Complaint::about_file(&file, error.to_string(), "name a file that can be read")
    })?;
    json::parse(&text).map_err(|error| {
        Complaint::about_file(&file, format!("this is not JSON: {error}"), "correct the file")
    })
}
