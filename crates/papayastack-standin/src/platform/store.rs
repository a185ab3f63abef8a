//! Versioned objects with a short history, as values in and values out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use axum::body::Bytes;
use papayastack::{ObjectName, ObjectVersion, Precondition};

const HISTORY_MAX: usize = 32;

/// An object as stored: its version and the text of its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Stored {
    pub(crate) version: ObjectVersion,
    pub(crate) value: Bytes,
}

/// What became of a conditional change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    Applied(ObjectVersion),
    Conflict,
    NotFound,
}

#[derive(Debug)]
struct Revision {
    at: Instant,
    stored: Option<Stored>,
}

/// All objects; versions count the changes of the whole store.
#[derive(Debug, Default)]
pub(crate) struct Store {
    version: ObjectVersion,
    objects: BTreeMap<ObjectName, Vec<Revision>>,
}

impl Store {
    /// Returns an object as it is now.
    pub(crate) fn read(&self, name: &ObjectName) -> Option<Stored> {
        self.objects.get(name)?.last()?.stored.clone()
    }

    /// Returns an object as it was `lag` ago.
    pub(crate) fn read_stale(
        &self,
        name: &ObjectName,
        now: Instant,
        lag: Duration,
    ) -> Option<Stored> {
        let revisions = self.objects.get(name)?;
        let seen = |revision: &&Revision| now.saturating_duration_since(revision.at) >= lag;
        revisions.iter().rev().find(seen)?.stored.clone()
    }

    /// Writes an object if the condition holds.
    pub(crate) fn update(
        &mut self,
        name: &ObjectName,
        precondition: &Precondition,
        value: Bytes,
        now: Instant,
    ) -> Change {
        let current = self.read(name).map(|stored| stored.version);
        match (precondition, current) {
            (Precondition::Absent, Some(_)) => Change::Conflict,
            (Precondition::Version(_), None) => Change::NotFound,
            (Precondition::Version(expected), Some(version)) if *expected != version => {
                Change::Conflict
            }
            _ => Change::Applied(self.push(name, Some(value), now)),
        }
    }

    /// Deletes an object if it still has `version`.
    pub(crate) fn delete(
        &mut self,
        name: &ObjectName,
        version: ObjectVersion,
        now: Instant,
    ) -> Change {
        match self.read(name) {
            None => Change::NotFound,
            Some(stored) if stored.version != version => Change::Conflict,
            Some(_) => Change::Applied(self.push(name, None, now)),
        }
    }

    /// Lists the names of one kind.
    pub(crate) fn list(&self, kind: &str) -> Vec<String> {
        let present = |revisions: &Vec<Revision>| {
            revisions.last().is_some_and(|revision| revision.stored.is_some())
        };
        self.objects
            .iter()
            .filter(|(name, revisions)| name.kind == kind && present(revisions))
            .map(|(name, _)| name.name.clone())
            .collect()
    }

    fn push(&mut self, name: &ObjectName, value: Option<Bytes>, at: Instant) -> ObjectVersion {
        self.version += 1;
        let version = self.version;
        let stored = value.map(|value| Stored { version, value });
        let revisions = self.objects.entry(name.clone()).or_default();
        revisions.push(Revision { at, stored });
        if revisions.len() > HISTORY_MAX {
            revisions.remove(0);
        }
        version
    }
}
