//! What is wrong with the files of a configuration, by the names of the files.

use std::fmt;

use papayastack::Fault;
use papayastack_macros::message;

/// One thing that is wrong with a file.
#[message]
pub(crate) struct Complaint {
    /// The file.
    pub(crate) file: String,
    /// The place in the file as a JSON pointer; empty for the whole file.
    pub(crate) path: String,
    /// What is wrong.
    pub(crate) problem: String,
    /// The way out.
    pub(crate) hint: String,
}

impl Complaint {
    /// Complains about a whole file.
    pub(crate) fn about_file(
        file: impl Into<String>,
        problem: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        let (problem, hint) = (problem.into(), hint.into());
        Self { file: file.into(), path: String::new(), problem, hint }
    }

    /// Complains about a fault at `prefix` within `file`.
    pub(crate) fn from_fault(file: String, prefix: &str, fault: Fault) -> Self {
        let path = format!("{prefix}{}", fault.path);
        Self { file, path, problem: fault.problem, hint: fault.hint }
    }
}

impl fmt::Display for Complaint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        if !self.path.is_empty() {
            write!(formatter, ": {}", self.path)?;
        }
        write!(formatter, ": {}\n  {}", self.problem, self.hint)
    }
}
