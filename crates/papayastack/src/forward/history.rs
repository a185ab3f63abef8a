//! The entries of upstreams with the revision of their last change, so that another VM can be told what
//! has changed since a revision.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use papayastack_macros::message;

use super::interface::{Change, EntryFault, NamedEntry, StorePosition, StoreRevision};
use super::registry::UpstreamEntry;
use crate::ids::UpstreamId;

/// How long a removal is remembered; a VM that is further behind lists the upstreams again.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// The newest content of an upstream's entry.
#[message]
pub(crate) enum EntryContent {
    /// The entry names an upstream.
    Entry(UpstreamEntry),
    /// The entry cannot be used, for the reason given.
    Unusable(String),
    /// The entry was removed.
    Removed,
}

impl EntryContent {
    fn of(content: Result<UpstreamEntry, EntryFault>) -> Self {
        match content {
            Ok(entry) => Self::Entry(entry),
            Err(fault) => Self::Unusable(fault.detail),
        }
    }

    /// Returns the change that brings an entry to this content.
    pub(crate) fn into_change(self, name: UpstreamId) -> Change<UpstreamEntry> {
        match self {
            Self::Entry(entry) => Change::Put(NamedEntry { name, content: Ok(entry) }),
            Self::Unusable(detail) => {
                Change::Put(NamedEntry { name, content: Err(EntryFault { detail }) })
            }
            Self::Removed => Change::Removed { name },
        }
    }

    /// Tells whether requests are sent in the same way under both contents. An upstream that has
    /// just started updates its entry several times a second only to say that it is less cold.
    fn is_equivalent(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Entry(one), Self::Entry(other)) => {
                let UpstreamEntry { cold_remaining, sequence, .. } = *one;
                *one == UpstreamEntry { cold_remaining, sequence, ..other.clone() }
            }
            _ => self == other,
        }
    }
}

#[derive(Debug)]
struct Recorded {
    content: EntryContent,
    /// The revision by which the content had changed to one that is not equivalent.
    changed_at: StoreRevision,
    recorded_at: Instant,
}

/// The newest content of every entry, removed ones for a time; does no I/O.
#[derive(Debug, Default)]
pub(crate) struct UpstreamHistory {
    position: Option<StorePosition>,
    /// All changes after this revision are known.
    complete_after: StoreRevision,
    entries: BTreeMap<UpstreamId, Recorded>,
}

impl UpstreamHistory {
    /// Returns the position up to which all changes are known; `None` before the first list.
    pub(crate) fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Records a complete list.
    pub(crate) fn on_list(
        &mut self,
        entries: &[NamedEntry<UpstreamEntry>],
        position: StorePosition,
        now: Instant,
    ) {
        if self.position.is_none_or(|known| known.era != position.era) {
            self.entries.clear();
            self.complete_after = position.revision;
        }
        let listed: BTreeSet<&str> = entries.iter().map(|named| named.name.as_str()).collect();
        let is_gone = |name: &&UpstreamId| !listed.contains(name.as_str());
        let gone: Vec<UpstreamId> = self.entries.keys().filter(is_gone).cloned().collect();
        for name in gone {
            self.record(name, EntryContent::Removed, position.revision, now);
        }
        for named in entries {
            let content = EntryContent::of(named.content.clone());
            self.record(named.name.clone(), content, position.revision, now);
        }
        self.position = Some(position);
        self.forget_removed(now);
    }

    /// Records changes that lead to `position`; returns whether it is later than the known one, so
    /// that the changes count.
    pub(crate) fn on_changes(
        &mut self,
        changes: &[Change<UpstreamEntry>],
        position: StorePosition,
        now: Instant,
    ) -> bool {
        let is_later = self
            .position
            .is_some_and(|known| known.era == position.era && known.revision < position.revision);
        if !is_later {
            return false;
        }
        for change in changes {
            let (name, content) = match change {
                Change::Put(named) => (&named.name, EntryContent::of(named.content.clone())),
                Change::Removed { name } => (name, EntryContent::Removed),
            };
            self.record(name.clone(), content, position.revision, now);
        }
        self.position = Some(position);
        self.forget_removed(now);
        true
    }

    /// Returns the entries that have changed since a revision of the current era, in their newest
    /// content; `None` if some changes are no longer known.
    pub(crate) fn since(
        &self,
        revision: StoreRevision,
    ) -> Option<BTreeMap<UpstreamId, EntryContent>> {
        let changed = |(_, recorded): &(&UpstreamId, &Recorded)| recorded.changed_at > revision;
        let content =
            |(name, recorded): (&UpstreamId, &Recorded)| (name.clone(), recorded.content.clone());
        (revision >= self.complete_after)
            .then(|| self.entries.iter().filter(changed).map(content).collect())
    }

    fn record(
        &mut self,
        name: UpstreamId,
        content: EntryContent,
        revision: StoreRevision,
        now: Instant,
    ) {
        let known = self.entries.get(&name);
        let changed_at = match known {
            Some(known) if known.content.is_equivalent(&content) => known.changed_at,
            Some(_) | None => revision,
        };
        self.entries.insert(name, Recorded { content, changed_at, recorded_at: now });
    }

    fn forget_removed(&mut self, now: Instant) {
        let mut complete_after = self.complete_after;
        self.entries.retain(|_, recorded| {
            let age = now.saturating_duration_since(recorded.recorded_at);
            let kept = recorded.content != EntryContent::Removed || age < REMOVED_RETENTION;
            if !kept {
                complete_after = complete_after.max(recorded.changed_at);
            }
            kept
        });
        self.complete_after = complete_after;
    }
}
