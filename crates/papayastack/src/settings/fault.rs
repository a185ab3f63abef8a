//! Faults of a configuration, each with its file and path.

use std::fmt;

use papayastack_macros::message;

use crate::ids::SiteName;

/// Names one file of a configuration.
#[message]
#[derive(PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum SettingsFile {
    /// The base settings.
    Base,
    /// The overlay of a site.
    Overlay(SiteName),
    /// The whole configuration object on the platform.
    Document,
}

impl fmt::Display for SettingsFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Base => write!(formatter, "base"),
            Self::Overlay(site) => write!(formatter, "overlay {site}"),
            Self::Document => write!(formatter, "platform object"),
        }
    }
}

/// One fault of a configuration.
#[message]
#[derive(PartialOrd, Ord)]
pub struct Fault {
    /// The file to change.
    pub file: SettingsFile,
    /// The path in the file as a JSON pointer; empty for the whole file.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub hint: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() { "the whole file" } else { &self.path };
        write!(formatter, "{}: {path}: {}; {}", self.file, self.problem, self.hint)
    }
}

impl std::error::Error for Fault {}

/// A fault of merged settings, not yet attributed to a file.
#[message]
pub(crate) struct Finding {
    /// The path in the merged settings as a JSON pointer.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub hint: String,
}

impl Finding {
    /// Describes a fault at `path`.
    pub(crate) fn new(
        path: impl Into<String>,
        problem: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self { path: path.into(), problem: problem.into(), hint: hint.into() }
    }

    /// Attributes the fault to `file`.
    pub(crate) fn in_file(self, file: SettingsFile) -> Fault {
        Fault { file, path: self.path, problem: self.problem, hint: self.hint }
    }
}
