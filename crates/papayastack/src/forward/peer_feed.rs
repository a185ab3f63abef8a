//! What VMs tell each other of the store, so that few of them read it.
//!
//! The first VMs of a region in the order of [`readers_first`] read the store. Every other VM keeps one
//! question open at one of them: what has changed since a position. An answer counts for as long as
//! a watch of the VM's own would be trusted at most; a VM without one asks the store itself.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack_macros::{message, value};

use super::history::{EntryContent, UpstreamHistory};
use super::interface::{StorePosition, StoreRevision};
use super::route::RouteTable;
use super::route_changes::RoutesNews;
use super::store_health::StoreSigns;
use crate::ids::{DataCentreName, UpstreamId, VmAddress};
use crate::membership::MemberView;
use crate::platform::StoreEra;
use crate::routing::readers_first;
use crate::settings::DataCentreSettings;

/// The fewest VMs of a region that read the store.
const READERS_MIN: usize = 3;
/// The VMs of a region for each one that reads the store; an idle question costs its reader about a
/// tenth of a millisecond of processor time.
const VMS_PER_READER: usize = 64;
/// The shortest mean time between two watches of the upstreams by one reader.
const READER_WATCH_INTERVAL_MIN: Duration = Duration::from_millis(400);
/// The mean time between two watches of the upstreams by a VM that reads for itself only.
pub(crate) const WATCH_INTERVAL: Duration = Duration::from_millis(1_200);
/// How long a question waits for a change.
pub(crate) const QUESTION_WAIT: Duration = Duration::from_millis(700);
/// The longest time for which the store may have answered nothing to a VM that answers questions.
const STORE_SILENCE_MAX: Duration = Duration::from_millis(1_000);
/// The versions of the routes that are kept to tell others what has changed since.
const ROUTES_KEPT: usize = 3;
/// How long after a question a VM counts as followed.
const FOLLOWED_FOR: Duration = Duration::from_secs(3);

/// How a VM learns of changes in the store.
#[value]
pub(crate) struct FeedRole {
    /// The VMs that read the store for this one, the preferred one first; empty if it reads itself.
    pub(crate) readers: Vec<VmAddress>,
    /// Whether other VMs learn from this one.
    pub(crate) reads_for_others: bool,
    /// The mean time between two watches of the upstreams while this VM reads the store.
    pub(crate) watch_interval: Duration,
}

impl Default for FeedRole {
    fn default() -> Self {
        Self { readers: Vec::new(), reads_for_others: false, watch_interval: WATCH_INTERVAL }
    }
}

impl FeedRole {
    /// Decides the role of the VM at `own` among the members.
    pub(crate) fn of(
        own: Option<VmAddress>,
        view: &MemberView,
        data_centres: &BTreeMap<DataCentreName, DataCentreSettings>,
    ) -> Self {
        let ranked = own.and_then(|own| Some((own, readers_first(own, view, Some(data_centres))?)));
        let Some((own, ranked)) = ranked.filter(|(_, ranked)| !ranked.is_empty()) else {
            return Self::default();
        };
        // A VM that leaves reads for nobody.
        let rank = ranked.iter().position(|vm| *vm == own).unwrap_or(ranked.len());
        let readers = (ranked.len() / VMS_PER_READER).max(READERS_MIN).min(ranked.len());
        if rank >= readers {
            let mut readers = ranked[..readers].to_vec();
            // Spreads the other VMs evenly over the readers, apart from those of a data centre that
            // has one: bytes between data centres are dear.
            let preferred = rank % readers.len();
            readers.rotate_left(preferred);
            let data_centre = |vm: &VmAddress| view.members.get(vm).map(|vm| &vm.data_centre);
            readers.sort_by_key(|reader| data_centre(reader) != data_centre(&own));
            return Self { readers, ..Self::default() };
        }
        // All readers together make no more calls than if every VM read for itself.
        let share = WATCH_INTERVAL.mul_f64(readers as f64 / ranked.len() as f64);
        Self {
            readers: Vec::new(),
            reads_for_others: ranked.len() > readers,
            watch_interval: share.max(READER_WATCH_INTERVAL_MIN),
        }
    }
}

/// Asks what has changed since a position of the store and a version of the routes.
#[message]
#[derive(Copy)]
pub(crate) struct FeedQuestion {
    /// Differs from question to question, so that a late copy of an earlier reply is not taken for
    /// the reply to this one.
    pub(crate) number: u64,
    pub(crate) era: StoreEra,
    pub(crate) revision: StoreRevision,
    pub(crate) routes_version: u64,
    pub(crate) wait_ms: u64,
}

/// The reply to a [`FeedQuestion`].
#[message]
pub(crate) struct FeedReply {
    /// The number of the question.
    pub(crate) number: u64,
    pub(crate) answer: FeedAnswer,
}

/// The answer to a [`FeedQuestion`].
#[message]
pub(crate) enum FeedAnswer {
    /// What has changed.
    Changes(Box<FeedChanges>),
    /// The changes since the position are not known, or the store is back from an older copy.
    Gone,
    /// The VM does not read the store at present, or gets no answer from it.
    NotReading,
}

impl FeedAnswer {
    /// Returns why the answer tells nothing to a VM that knows the store in `era`, as a name for the
    /// log; `None` if it does.
    pub(crate) fn refusal(&self, era: StoreEra) -> Option<&'static str> {
        match self {
            Self::Changes(changes) => (changes.position.era != era).then_some("other_era"),
            Self::Gone => Some("gone"),
            Self::NotReading => Some("not_reading"),
        }
    }
}

/// What has changed up to a position of the store.
#[message]
pub(crate) struct FeedChanges {
    pub(crate) position: StorePosition,
    pub(crate) upstreams: BTreeMap<UpstreamId, EntryContent>,
    /// The routes, if they are later than those of the question.
    pub(crate) routes: Option<RoutesNews>,
    /// The time since a call of the answering VM to the store failed.
    pub(crate) store_failed_ms: Option<u64>,
}

/// An answer as far as it is known at one moment.
#[derive(Debug)]
pub(crate) enum AnswerSoFar {
    /// The answer is final.
    Ready(FeedAnswer),
    /// The answer if nothing more becomes known while the question waits.
    Waiting(FeedAnswer),
}

/// What this VM knows of the upstreams' entries, and whether it can tell others.
#[derive(Debug, Default)]
pub(crate) struct PeerFeed {
    pub(crate) history: UpstreamHistory,
    /// Whether this VM reads the store itself.
    reads_store: bool,
    /// The versions of the routes that were in force, the newest one last.
    routes: VecDeque<Arc<RouteTable>>,
    questioned_at: Option<Instant>,
}

impl PeerFeed {
    /// Records whether this VM reads the store itself; returns whether that is new.
    pub(crate) fn set_reads_store(&mut self, reads_store: bool) -> bool {
        std::mem::replace(&mut self.reads_store, reads_store) != reads_store
    }

    /// Records a version of the routes that is in force from now on.
    pub(crate) fn record_routes(&mut self, table: Arc<RouteTable>) {
        self.routes.push_back(table);
        while self.routes.len() > ROUTES_KEPT {
            self.routes.pop_front();
        }
    }

    /// Records a question; returns whether this VM was not followed before.
    pub(crate) fn record_question(&mut self, now: Instant) -> bool {
        let was_followed = self.is_followed(now);
        self.questioned_at = Some(now);
        !was_followed
    }

    /// Tells whether other VMs learn from this one.
    pub(crate) fn is_followed(&self, now: Instant) -> bool {
        self.questioned_at.is_some_and(|at| now.saturating_duration_since(at) < FOLLOWED_FOR)
    }

    /// Answers a question by what is known now. The position of the question may be later than the
    /// one of this VM: other kinds of objects raise the store's revision too, and a watch without
    /// changes tells no revision.
    pub(crate) fn answer(&self, question: &FeedQuestion, signs: StoreSigns) -> AnswerSoFar {
        let not_reading = || FeedAnswer::NotReading;
        let Some(position) = self.history.position() else {
            return AnswerSoFar::Ready(not_reading());
        };
        if !self.reads_store || signs.is_failing || position.era < question.era {
            return AnswerSoFar::Ready(not_reading());
        }
        if position.era > question.era {
            return AnswerSoFar::Ready(FeedAnswer::Gone);
        }
        // The store is asked for a sign meanwhile.
        if signs.silent > STORE_SILENCE_MAX {
            return AnswerSoFar::Waiting(not_reading());
        }
        let Some(upstreams) = self.history.since(question.revision) else {
            return AnswerSoFar::Ready(FeedAnswer::Gone);
        };
        let routes = self.routes_after(question.routes_version);
        let is_news = !upstreams.is_empty() || routes.is_some();
        let store_failed_ms = signs.failed.map(|ago| ago.as_millis() as u64);
        let changes = FeedChanges { position, upstreams, routes, store_failed_ms };
        let answer = FeedAnswer::Changes(Box::new(changes));
        if is_news { AnswerSoFar::Ready(answer) } else { AnswerSoFar::Waiting(answer) }
    }

    fn routes_after(&self, version: u64) -> Option<RoutesNews> {
        let newest = self.routes.back()?.document();
        let base = self.routes.iter().find(|table| table.document().version == version);
        (newest.version > version)
            .then(|| RoutesNews::describe(newest, base.map(|base| base.document())))
    }
}
