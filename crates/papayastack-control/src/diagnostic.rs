//! Diagnostics about the files of a configuration.

use std::fmt;

use papayastack::Fault;
use papayastack_macros::message;

/// A problem in a file.
#[message]
pub(crate) struct Diagnostic {
    pub(crate) file: String,
    /// The location in the file as a JSON pointer; empty for the whole file.
    pub(crate) path: String,
    /// What is wrong at `path`.
    pub(crate) problem: String,
    /// How to fix the problem.
    pub(crate) hint: String,
}

impl Diagnostic {
    /// Creates a diagnostic about a whole file.
    pub(crate) fn for_file(
        file: impl Into<String>,
        problem: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        let (problem, hint) = (problem.into(), hint.into());
        Self { file: file.into(), path: String::new(), problem, hint }
    }

    /// Creates a diagnostic for a fault whose path is relative to `prefix` in `file`.
    pub(crate) fn from_fault(file: String, prefix: &str, fault: Fault) -> Self {
        let path = format!("{prefix}{}", fault.path);
        Self { file, path, problem: fault.problem, hint: fault.hint }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        if !self.path.is_empty() {
            write!(formatter, ": {}", self.path)?;
        }
        write!(formatter, ": {}\n  {}", self.problem, self.hint)
    }
}
