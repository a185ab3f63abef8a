//! Which upstreams may be used, according to the entries of the platform's store and their age.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, message, value};

use serde_json::json;

use super::interface::{Change, NamedEntry};
use crate::ids::{DataCentreName, ServiceName, UpstreamId};
use crate::observe::{DecisionEvent, DecisionLog, NAMES_PER_LINE_MAX, first_names};
use crate::routing::UpstreamIndex;

/// How long an upstream stays usable after its entry went missing, if the store failed recently.
///
/// Entries expire while the store is unavailable; upstreams write them again within two seconds
/// after the store has become available.
const MISSING_ENTRY_HOLD: Duration = Duration::from_millis(2_200);
/// How long after a failed call the store counts as having failed recently, so that an upstream
/// whose entry goes missing is held for [`MISSING_ENTRY_HOLD`].
const STORE_FAILURE_WINDOW: Duration = Duration::from_millis(2_500);
/// How long the newest update of a removed upstream is remembered, so that a delayed older update
/// does not make it usable again.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// The entry that an upstream writes about itself to the store.
#[message]
pub struct UpstreamEntry {
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The address for requests.
    pub address: SocketAddr,
    /// The data centre that the upstream runs in.
    pub data_centre: DataCentreName,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: UpstreamState,
    /// The remaining time in which the upstream is slow because it has just started.
    pub cold_remaining: Duration,
    /// The start of the upstream's process, in milliseconds of Unix time; zero if unknown.
    pub started_unix_ms: u64,
    /// The number of updates of the entry since the start of the process.
    pub sequence: u64,
}

/// Whether an upstream accepts new requests.
#[closed_set]
pub enum UpstreamState {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream only finishes the requests that it has.
    Leaving,
}

/// One upstream as requests use it.
#[value]
pub(crate) struct UpstreamTarget {
    pub(crate) index: UpstreamIndex,
    pub(crate) id: UpstreamId,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    pub(crate) data_centre: DataCentreName,
    pub(crate) slots: u32,
    /// The start of the upstream's process, in milliseconds of Unix time; zero if unknown.
    pub(crate) started_unix_ms: u64,
}

impl UpstreamTarget {
    /// Tells whether `other` is the same process at the same address.
    pub(crate) fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.address == other.address
            && self.started_unix_ms == other.started_unix_ms
    }
}

/// The usable upstreams at one moment.
#[derive(Debug, Default)]
pub(crate) struct UpstreamSet {
    /// The number of changes of the set so far.
    pub(crate) version: u64,
    pub(crate) by_index: BTreeMap<UpstreamIndex, Arc<UpstreamTarget>>,
    pub(crate) by_service: BTreeMap<ServiceName, Vec<UpstreamIndex>>,
    by_id: BTreeMap<UpstreamId, UpstreamIndex>,
}

impl UpstreamSet {
    /// Returns the index of a usable upstream.
    pub(crate) fn index_of(&self, id: &str) -> Option<UpstreamIndex> {
        self.by_id.get(id).copied()
    }
}

/// A change of the set of usable upstreams, or an update that was ignored; for the log.
#[value]
pub(crate) enum RegistryEvent {
    /// An upstream became usable.
    Usable(UpstreamId),
    /// An upstream is no longer used.
    Unusable { id: UpstreamId, reason: UnusableReason },
    /// The upstream's entry is missing, but it is used for some time longer, because the store
    /// failed recently.
    Held(UpstreamId),
    /// An update of an entry was ignored.
    Ignored { id: UpstreamId, detail: String },
}

impl RegistryEvent {
    /// Writes events to the decision log. Events of one kind share a line where there are many, so
    /// that a start or an outage writes no line for each upstream.
    pub(crate) fn write_all(events: &[Self], log: &DecisionLog) {
        let mut alike: BTreeMap<(DecisionEvent, Option<UnusableReason>), Vec<&UpstreamId>> =
            BTreeMap::new();
        for event in events {
            let (kind, reason, id) = match event {
                Self::Usable(id) => (DecisionEvent::UpstreamUsable, None, id),
                Self::Unusable { id, reason } => {
                    (DecisionEvent::UpstreamUnusable, Some(*reason), id)
                }
                Self::Held(id) => (DecisionEvent::UpstreamHeld, None, id),
                Self::Ignored { id, detail } => {
                    let fields = || json!({ "upstream": id, "detail": detail });
                    log.write(DecisionEvent::UpstreamIgnored, fields);
                    continue;
                }
            };
            alike.entry((kind, reason)).or_default().push(id);
        }
        for ((kind, reason), ids) in alike {
            if ids.len() > NAMES_PER_LINE_MAX {
                let fields = json!({ "count": ids.len(), "upstreams": first_names(&ids) });
                log.write(kind, || with_reason(fields, reason));
                continue;
            }
            for id in ids {
                log.write(kind, || with_reason(json!({ "upstream": id }), reason));
            }
        }
    }
}

fn with_reason(mut fields: serde_json::Value, reason: Option<UnusableReason>) -> serde_json::Value {
    if let Some(reason) = reason {
        fields["reason"] = json!(reason);
    }
    fields
}

/// Why an upstream is not used.
#[closed_set]
pub(crate) enum UnusableReason {
    /// The upstream's entry says that it is leaving.
    Leaving,
    /// The upstream said in a reply that it is leaving.
    LeavingReply,
    /// The upstream's entry was removed.
    Removed,
    /// The upstream's entry cannot be decoded.
    Malformed,
}

#[derive(Debug)]
struct KnownUpstream {
    index: UpstreamIndex,
    entry: UpstreamEntry,
    /// The time until which the upstream is used although its entry is missing.
    held_until: Option<Instant>,
}

/// Derives the usable upstreams from lists and changes of the store; does no I/O, and the caller
/// passes in the time.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    known: BTreeMap<UpstreamId, KnownUpstream>,
    /// The start time and sequence number of the newest update of each removed upstream, and when
    /// it was removed.
    removed: BTreeMap<UpstreamId, (u64, u64, Instant)>,
    /// The start time of each upstream that said in a reply that it is leaving.
    leaving: BTreeMap<UpstreamId, u64>,
    free_indices: BTreeSet<UpstreamIndex>,
    next_index: UpstreamIndex,
    store_failed_at: Option<Instant>,
    /// The start time and sequence number of the entries of removed upstreams that were in the first
    /// list after the store came back from an older copy; later updates are used.
    older_copy: BTreeMap<UpstreamId, (u64, u64)>,
    /// Whether the next list is the first one after the store came back from an older copy.
    lists_older_copy: bool,
    /// When a list is due that shows which entries of the older copy are still updated.
    recheck_at: Option<Instant>,
    version: u64,
}

impl Registry {
    /// Records a call to the store that failed, here or at the VM that reads for this one; missing
    /// entries are held for a time after it.
    pub(crate) fn store_failed(&mut self, at: Instant) {
        self.store_failed_at = self.store_failed_at.max(Some(at));
    }

    /// Records that the store came back from an older copy. What is missing there is held, since it
    /// is written again; removed upstreams whose entries are back are not used until they are
    /// updated.
    pub(crate) fn store_reset(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
        self.lists_older_copy = true;
        self.recheck_at = None;
    }

    /// Tells whether entries may be from an older copy of the store. Only the store itself shows which
    /// of them are still updated.
    pub(crate) fn has_older_copy(&self) -> bool {
        self.lists_older_copy || !self.older_copy.is_empty()
    }

    /// Returns when another list is due, since entries of the older copy may belong to upstreams
    /// that still run.
    pub(crate) fn recheck_at(&self) -> Option<Instant> {
        self.recheck_at
    }

    /// Tells whether a call to the store failed recently, so that missing entries are held.
    pub(crate) fn store_failed_recently(&self, now: Instant) -> bool {
        self.store_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < STORE_FAILURE_WINDOW)
    }

    /// Applies a complete list; upstreams that are not in it count as removed.
    pub(crate) fn on_list(
        &mut self,
        entries: Vec<NamedEntry<UpstreamEntry>>,
        now: Instant,
    ) -> Vec<RegistryEvent> {
        let named: BTreeSet<UpstreamId> = entries.iter().map(|named| named.name.clone()).collect();
        let mut events = Vec::new();
        self.recheck_at = None;
        if std::mem::take(&mut self.lists_older_copy) {
            self.distrust_removed(&entries);
            self.recheck_at = (!self.older_copy.is_empty()).then(|| now + MISSING_ENTRY_HOLD);
        }
        for entry in entries {
            self.put(entry, now, &mut events);
        }
        let missing: Vec<UpstreamId> =
            self.known.keys().filter(|id| !named.contains(*id)).cloned().collect();
        for id in missing {
            self.on_removed(&id, now, &mut events);
        }
        events
    }

    /// Records that an upstream said in a reply that it is leaving. Its process is not used again,
    /// whatever its entry says.
    pub(crate) fn on_leaving_reply(&mut self, target: &UpstreamTarget) -> Vec<RegistryEvent> {
        let Some(known) = self.known.get(&target.id) else { return Vec::new() };
        if known.entry.started_unix_ms != target.started_unix_ms || !self.is_usable(&target.id) {
            return Vec::new();
        }
        self.leaving.insert(target.id.clone(), target.started_unix_ms);
        self.version += 1;
        let reason = UnusableReason::LeavingReply;
        vec![RegistryEvent::Unusable { id: target.id.clone(), reason }]
    }

    /// Applies changes in the given order, oldest first.
    pub(crate) fn on_changes(
        &mut self,
        changes: Vec<Change<UpstreamEntry>>,
        now: Instant,
    ) -> Vec<RegistryEvent> {
        let mut events = Vec::new();
        for change in changes {
            match change {
                Change::Put(named) => self.put(named, now, &mut events),
                Change::Removed { name } => self.on_removed(&name, now, &mut events),
            }
        }
        events
    }

    /// Drops the missing entries whose hold is over, and the updates of upstreams removed long ago.
    pub(crate) fn on_tick(&mut self, now: Instant) -> Vec<RegistryEvent> {
        let expired: Vec<UpstreamId> = self
            .known
            .iter()
            .filter(|(_, known)| known.held_until.is_some_and(|until| until <= now))
            .map(|(id, _)| id.clone())
            .collect();
        let mut events = Vec::new();
        for id in expired {
            self.drop_known(&id, UnusableReason::Removed, now, &mut events);
        }
        self.removed.retain(|_, (.., at)| now.saturating_duration_since(*at) < REMOVED_RETENTION);
        let (known, removed) = (&self.known, &self.removed);
        self.leaving.retain(|id, _| known.contains_key(id) || removed.contains_key(id));
        events
    }

    /// Returns when [`Self::on_tick`] is needed next.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.known.values().filter_map(|known| known.held_until).min()
    }

    /// Returns how many times the set of usable upstreams has changed.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the ready upstreams, including those held although their entry is missing.
    pub(crate) fn set(&self) -> UpstreamSet {
        let mut set = UpstreamSet { version: self.version, ..UpstreamSet::default() };
        for (id, known) in &self.known {
            if !self.is_usable(id) {
                continue;
            }
            let target = UpstreamTarget {
                index: known.index,
                id: id.clone(),
                service: known.entry.service.clone(),
                address: known.entry.address,
                data_centre: known.entry.data_centre.clone(),
                slots: known.entry.slots,
                started_unix_ms: known.entry.started_unix_ms,
            };
            set.by_service.entry(target.service.clone()).or_default().push(known.index);
            set.by_id.insert(target.id.clone(), known.index);
            set.by_index.insert(known.index, Arc::new(target));
        }
        set
    }

    fn put(
        &mut self,
        named: NamedEntry<UpstreamEntry>,
        now: Instant,
        events: &mut Vec<RegistryEvent>,
    ) {
        let id = named.name;
        let entry = match named.content {
            Ok(entry) => entry,
            Err(fault) => {
                self.drop_known(&id, UnusableReason::Malformed, now, events);
                events.push(RegistryEvent::Ignored { id, detail: fault.detail });
                return;
            }
        };
        if let Some(newest) = self.newest_update(&id)
            && (entry.started_unix_ms, entry.sequence) < newest
        {
            let detail = format!("update {} is older than the one already applied", entry.sequence);
            events.push(RegistryEvent::Ignored { id, detail });
            return;
        }
        if let Some(copied) = self.older_copy.get(&id) {
            if (entry.started_unix_ms, entry.sequence) <= *copied {
                let detail = "the entry may be from an older copy of the store".to_owned();
                events.push(RegistryEvent::Ignored { id, detail });
                return;
            }
            self.older_copy.remove(&id);
        }
        self.removed.remove(&id);
        let restarted = self.known.get(&id).is_some_and(|known| {
            known.entry.address != entry.address
                || known.entry.service != entry.service
                || known.entry.started_unix_ms != entry.started_unix_ms
        });
        if restarted {
            // The observations of the earlier process do not apply to the new one.
            self.drop_known(&id, UnusableReason::Removed, now, events);
            self.removed.remove(&id);
        }
        let was_usable = self.is_usable(&id);
        let index = match self.known.get(&id) {
            Some(known) => known.index,
            None => self.allocate_index(),
        };
        self.known.insert(id.clone(), KnownUpstream { index, entry, held_until: None });
        let usable = self.is_usable(&id);
        if usable != was_usable {
            self.version += 1;
            events.push(if usable {
                RegistryEvent::Usable(id)
            } else {
                RegistryEvent::Unusable { id, reason: UnusableReason::Leaving }
            });
        }
    }

    /// Remembers the entries of removed upstreams in a list that may be from an older copy.
    fn distrust_removed(&mut self, entries: &[NamedEntry<UpstreamEntry>]) {
        let removed = &self.removed;
        let update = |named: &NamedEntry<UpstreamEntry>| {
            let entry = named.content.as_ref().ok()?;
            let was_removed = removed.contains_key(&named.name);
            was_removed.then(|| (named.name.clone(), (entry.started_unix_ms, entry.sequence)))
        };
        self.older_copy = entries.iter().filter_map(update).collect();
    }

    /// Drops a removed entry; holds a ready upstream instead if the store failed recently.
    fn on_removed(&mut self, id: &str, now: Instant, events: &mut Vec<RegistryEvent>) {
        self.older_copy.remove(id);
        let Some(known) = self.known.get(id) else { return };
        if known.held_until.is_some() {
            return;
        }
        if !self.store_failed_recently(now) || !self.is_usable(id) {
            self.drop_known(id, UnusableReason::Removed, now, events);
            return;
        }
        if let Some(known) = self.known.get_mut(id) {
            known.held_until = Some(now + MISSING_ENTRY_HOLD);
            events.push(RegistryEvent::Held(id.to_owned()));
        }
    }

    fn drop_known(
        &mut self,
        id: &str,
        reason: UnusableReason,
        now: Instant,
        events: &mut Vec<RegistryEvent>,
    ) {
        let was_usable = self.is_usable(id);
        let Some(known) = self.known.remove(id) else { return };
        self.free_indices.insert(known.index);
        let update = (known.entry.started_unix_ms, known.entry.sequence, now);
        self.removed.insert(id.to_owned(), update);
        if was_usable {
            self.version += 1;
            events.push(RegistryEvent::Unusable { id: id.to_owned(), reason });
        }
    }

    /// Tells whether a known upstream may get requests.
    fn is_usable(&self, id: &str) -> bool {
        self.known.get(id).is_some_and(|known| {
            known.entry.state == UpstreamState::Ready
                && self.leaving.get(id) != Some(&known.entry.started_unix_ms)
        })
    }

    /// Returns the start time and sequence number of the newest update of an upstream.
    fn newest_update(&self, id: &str) -> Option<(u64, u64)> {
        let known =
            self.known.get(id).map(|known| (known.entry.started_unix_ms, known.entry.sequence));
        known.or_else(|| self.removed.get(id).map(|(started, sequence, _)| (*started, *sequence)))
    }

    fn allocate_index(&mut self) -> UpstreamIndex {
        self.free_indices.pop_first().unwrap_or_else(|| {
            self.next_index += 1;
            self.next_index - 1
        })
    }
}
