//! An in-memory store of objects with revisions and a history of changes; callers pass the time.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use papayastack::{ObjectName, ObjectVersion};
use papayastack_macros::message;
use serde_json::Value;

/// The maximum number of states kept of each object, for stale reads.
const STATES_MAX: usize = 32;
/// The maximum number of changes kept for watches, over all objects.
const CHANGES_MAX: usize = 4_096;
/// The kind whose objects are removed regardless of their finalizers.
const UPSTREAMS_KIND: &str = "servers";

/// An object in the form in which it is stored and returned to clients.
#[message]
pub(crate) struct StoredObject {
    pub(crate) meta: Meta,
    pub(crate) spec: Value,
    pub(crate) status: Value,
}

/// The metadata of an object.
#[message]
pub(crate) struct Meta {
    pub(crate) name: String,
    pub(crate) revision: ObjectVersion,
    pub(crate) created: ObjectVersion,
    pub(crate) finalizers: Vec<String>,
    pub(crate) delete_pending: bool,
}

/// The outcome of a write.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum WriteOutcome {
    /// The write was applied, or the object already had the requested content.
    Applied(StoredObject),
    /// The object has another revision.
    Conflict(StoredObject),
    /// The object does not exist.
    NotFound,
}

/// One event of a watch.
#[message]
pub(crate) struct Event {
    pub(crate) deleted: bool,
    pub(crate) object: StoredObject,
}

/// The error of a watch from a revision after which changes have been discarded.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct HistoryGone;

/// One page of a list.
#[derive(Debug)]
pub(crate) struct Page {
    pub(crate) items: Vec<StoredObject>,
    pub(crate) more: bool,
}

#[derive(Debug)]
struct ObjectState {
    at: Instant,
    stored: Option<StoredObject>,
}

#[derive(Debug)]
struct RecordedChange {
    at: Instant,
    revision: ObjectVersion,
    kind: String,
    event: Event,
}

/// All objects; the revision counts the changes of the whole store.
#[derive(Debug)]
pub(crate) struct Store {
    /// Rises each time that the store comes back from an older copy.
    era: u64,
    revision: ObjectVersion,
    discarded_until: ObjectVersion,
    objects: BTreeMap<ObjectName, Vec<ObjectState>>,
    changes: VecDeque<RecordedChange>,
}

impl Default for Store {
    fn default() -> Self {
        // Revisions start above zero.
        Self {
            era: 1,
            revision: 1,
            discarded_until: 0,
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
        }
    }
}

impl Store {
    /// Returns the revision of the last change.
    pub(crate) fn revision(&self) -> ObjectVersion {
        self.revision
    }

    /// Returns the number of times that the store came back from an older copy, counted from one.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// Returns to the state of `age` ago: later changes are lost, and their revisions are given out
    /// again.
    pub(crate) fn restore(&mut self, age: Duration, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) >= age;
        self.era += 1;
        self.changes.retain(|change| is_kept(change.at));
        self.revision =
            self.changes.back().map_or(self.discarded_until.max(1), |change| change.revision);
        for states in self.objects.values_mut() {
            states.retain(|state| is_kept(state.at));
        }
        self.objects.retain(|_, states| !states.is_empty());
    }

    /// Returns the current state of an object.
    pub(crate) fn read(&self, name: &ObjectName) -> Option<StoredObject> {
        self.objects.get(name)?.last()?.stored.clone()
    }

    /// Returns an object as it was `lag` ago.
    pub(crate) fn read_stale(
        &self,
        name: &ObjectName,
        now: Instant,
        lag: Duration,
    ) -> Option<StoredObject> {
        state_at(self.objects.get(name)?, now, lag)
    }

    /// Creates an object; returns a conflict if one with that name exists.
    pub(crate) fn create(
        &mut self,
        name: &ObjectName,
        spec: Value,
        finalizers: Vec<String>,
        now: Instant,
    ) -> WriteOutcome {
        if let Some(current) = self.read(name) {
            return WriteOutcome::Conflict(current);
        }
        let revision = self.revision + 1;
        let meta = Meta {
            name: name.name.clone(),
            revision,
            created: revision,
            finalizers,
            delete_pending: false,
        };
        self.put(name, StoredObject { meta, spec, status: Value::Null }, now)
    }

    /// Replaces the content and the finalizers of an object if its revision is `expected`.
    pub(crate) fn replace(
        &mut self,
        name: &ObjectName,
        expected: Option<ObjectVersion>,
        spec: Value,
        finalizers: Option<Vec<String>>,
        now: Instant,
    ) -> WriteOutcome {
        self.change(name, expected, now, |stored| {
            stored.spec = spec;
            if let Some(finalizers) = finalizers {
                stored.meta.finalizers = finalizers;
            }
        })
    }

    /// Replaces the status of an object if its revision is `expected`.
    pub(crate) fn set_status(
        &mut self,
        name: &ObjectName,
        expected: Option<ObjectVersion>,
        status: Value,
        now: Instant,
    ) -> WriteOutcome {
        self.change(name, expected, now, |stored| stored.status = status)
    }

    /// Removes an object if its revision is `expected`; an object with finalizers is marked as
    /// `delete_pending` until they are removed.
    pub(crate) fn remove(
        &mut self,
        name: &ObjectName,
        expected: Option<ObjectVersion>,
        now: Instant,
    ) -> WriteOutcome {
        let Some(current) = self.read(name) else { return WriteOutcome::NotFound };
        if expected.is_some_and(|expected| expected != current.meta.revision) {
            return WriteOutcome::Conflict(current);
        }
        if current.meta.finalizers.is_empty() || name.kind == UPSTREAMS_KIND {
            return self.delete_object(name, current, now);
        }
        self.change(name, None, now, |stored| stored.meta.delete_pending = true)
    }

    /// Returns up to `page_max` objects of a kind after a name, as they were `lag` ago.
    pub(crate) fn list(
        &self,
        kind: &str,
        after: Option<&str>,
        page_max: usize,
        now: Instant,
        lag: Duration,
    ) -> Page {
        let mut items: Vec<StoredObject> = self
            .objects
            .iter()
            .filter(|(name, _)| name.kind == kind && after.is_none_or(|after| *name.name > *after))
            .filter_map(|(_, states)| state_at(states, now, lag))
            .take(page_max + 1)
            .collect();
        let more = items.len() > page_max;
        items.truncate(page_max);
        Page { items, more }
    }

    /// Returns the changes of a kind after a revision, which may be gone or not exist yet.
    pub(crate) fn events(
        &self,
        kind: &str,
        after: ObjectVersion,
    ) -> Result<Vec<Event>, HistoryGone> {
        if after < self.discarded_until || after > self.revision {
            return Err(HistoryGone);
        }
        let is_requested =
            |recorded: &&RecordedChange| recorded.revision > after && recorded.kind == kind;
        Ok(self
            .changes
            .iter()
            .filter(is_requested)
            .map(|recorded| recorded.event.clone())
            .collect())
    }

    /// Discards the recorded changes, so that watches from earlier revisions fail.
    pub(crate) fn compact(&mut self) {
        self.changes.clear();
        self.discarded_until = self.revision;
    }

    fn change(
        &mut self,
        name: &ObjectName,
        expected: Option<ObjectVersion>,
        now: Instant,
        modify: impl FnOnce(&mut StoredObject),
    ) -> WriteOutcome {
        let Some(current) = self.read(name) else { return WriteOutcome::NotFound };
        if expected.is_some_and(|expected| expected != current.meta.revision) {
            return WriteOutcome::Conflict(current);
        }
        let mut changed = current.clone();
        modify(&mut changed);
        if changed == current {
            return WriteOutcome::Applied(current);
        }
        if changed.meta.delete_pending && changed.meta.finalizers.is_empty() {
            return self.delete_object(name, changed, now);
        }
        changed.meta.revision = self.revision + 1;
        self.put(name, changed, now)
    }

    fn put(&mut self, name: &ObjectName, stored: StoredObject, now: Instant) -> WriteOutcome {
        self.record(name, stored.clone(), false, now);
        WriteOutcome::Applied(stored)
    }

    fn delete_object(
        &mut self,
        name: &ObjectName,
        mut last: StoredObject,
        now: Instant,
    ) -> WriteOutcome {
        last.meta.revision = self.revision + 1;
        self.record(name, last.clone(), true, now);
        WriteOutcome::Applied(last)
    }

    fn record(&mut self, name: &ObjectName, object: StoredObject, deleted: bool, at: Instant) {
        self.revision += 1;
        let states = self.objects.entry(name.clone()).or_default();
        states.push(ObjectState { at, stored: (!deleted).then(|| object.clone()) });
        if states.len() > STATES_MAX {
            states.remove(0);
        }
        let event = Event { deleted, object };
        self.changes.push_back(RecordedChange {
            at,
            revision: self.revision,
            kind: name.kind.clone(),
            event,
        });
        if self.changes.len() > CHANGES_MAX
            && let Some(oldest) = self.changes.pop_front()
        {
            self.discarded_until = oldest.revision;
        }
    }
}

/// Returns the object as it was `lag` ago.
fn state_at(states: &[ObjectState], now: Instant, lag: Duration) -> Option<StoredObject> {
    let is_visible = |state: &&ObjectState| now.saturating_duration_since(state.at) >= lag;
    states.iter().rev().find(is_visible)?.stored.clone()
}
