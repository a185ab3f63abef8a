//! Tests of the feeds in virtual time through outages of the store.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::feeds::{position, state};
use super::registry::{entry, named};
use super::routes::{document, route};
use crate::forward::feeds::spawn_feeds;
use crate::forward::state::ForwardState;
use crate::forward::{
    Change, Changes, FeedStore, Freshness, Listing, RouteDocument, StoreRevision, UpstreamEntry,
    UpstreamState,
};
use crate::platform::{ListedVm, PlatformError, StoreEra};

/// The time in which a change must take effect on a VM in touch with the store.
const APPLY_MAX: Duration = Duration::from_millis(3_000);
/// How long the store must have been sound for a VM to count as in touch with it.
const CONTACT: Duration = Duration::from_millis(4_000);
const LATENCY: Duration = Duration::from_millis(4);
const LATENCY_SLOW: Duration = Duration::from_millis(320);
/// How long the client waits for an answer, beyond the wait of a watch.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outage {
    /// Calls get no answer, and neither do watches that began before.
    Silent,
    /// Calls are refused as unavailable.
    Refused,
    /// Calls are answered late.
    Slow,
    /// Calls are refused by rate.
    TurnedAway,
    /// Connections are reset.
    Reset,
}

const OUTAGES: [Outage; 5] =
    [Outage::Silent, Outage::Refused, Outage::Slow, Outage::TurnedAway, Outage::Reset];

/// A store with one outage and one change: version 2 of the routes, and an upstream that leaves.
struct Store {
    eras: watch::Sender<Option<StoreEra>>,
    outage: Outage,
    begins: Instant,
    ends: Instant,
    changes_at: Instant,
}

impl Store {
    fn is_out(&self, at: Instant) -> bool {
        (self.begins..self.ends).contains(&at)
    }

    fn revision(&self) -> StoreRevision {
        if Instant::now() < self.changes_at { 1 } else { 2 }
    }

    fn failure(&self) -> PlatformError {
        match self.outage {
            Outage::Silent | Outage::Slow | Outage::Reset => PlatformError::AnswerLost,
            Outage::Refused => PlatformError::Unavailable,
            Outage::TurnedAway => {
                PlatformError::RateLimited { retry_after: Duration::from_millis(500) }
            }
        }
    }

    /// Waits for the answer to a call that the store answers at `answer_at`.
    async fn answer(&self, wait: Duration, answer_at: Instant) -> Result<(), PlatformError> {
        let called = Instant::now();
        let lost_at = if self.is_out(called) { called } else { self.begins };
        if self.outage == Outage::Slow {
            sleep_until(answer_at).await;
            sleep(if self.is_out(Instant::now()) { LATENCY_SLOW } else { LATENCY }).await;
            return Ok(());
        }
        if called >= self.ends || answer_at < self.begins {
            sleep_until(answer_at + LATENCY).await;
            return Ok(());
        }
        match self.outage {
            Outage::Silent => sleep_until(called + wait + CLIENT_TIMEOUT).await,
            _ => sleep_until(lost_at + LATENCY).await,
        }
        Err(self.failure())
    }

    async fn watch(&self, after: StoreRevision, wait: Duration) -> Result<bool, PlatformError> {
        let end = Instant::now() + wait;
        let change_at = if after < 2 { self.changes_at.max(Instant::now()) } else { end };
        self.answer(wait, change_at.min(end)).await?;
        Ok(after < self.revision())
    }

    fn upstream(&self) -> UpstreamEntry {
        let state = match self.revision() {
            1 => UpstreamState::Ready,
            _ => UpstreamState::Leaving,
        };
        UpstreamEntry { state, sequence: 4 + self.revision(), ..entry("board", 1) }
    }
}

/// Returns the routes at a version.
fn routes(version: u64) -> RouteDocument {
    RouteDocument { version, ..document(vec![route("read", "a.example", "/read/")]) }
}

#[async_trait]
impl FeedStore for Store {
    fn eras(&self) -> watch::Receiver<Option<StoreEra>> {
        self.eras.subscribe()
    }

    async fn list_upstreams(&self, _: Freshness) -> Result<Listing<UpstreamEntry>, PlatformError> {
        self.answer(Duration::ZERO, Instant::now()).await?;
        let entries = vec![named("one", self.upstream())];
        Ok(Listing { entries, position: position(self.revision()) })
    }

    async fn watch_upstreams(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<UpstreamEntry>, PlatformError> {
        let changed = self.watch(after, wait).await?;
        let change = || Change::Put(named("one", self.upstream()));
        let changes = changed.then(change).into_iter().collect();
        Ok(Changes { changes, position: position(self.revision()) })
    }

    async fn list_routes(&self) -> Result<Listing<RouteDocument>, PlatformError> {
        self.answer(Duration::ZERO, Instant::now()).await?;
        let entries = vec![named("main", routes(self.revision()))];
        Ok(Listing { entries, position: position(self.revision()) })
    }

    async fn watch_routes(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<RouteDocument>, PlatformError> {
        let changed = self.watch(after, wait).await?;
        let change = || Change::Put(named("main", routes(self.revision())));
        let changes = changed.then(change).into_iter().collect();
        Ok(Changes { changes, position: position(self.revision()) })
    }

    async fn register_vm(&self, _: &ListedVm) -> Result<(), PlatformError> {
        self.answer(Duration::ZERO, Instant::now()).await
    }

    async fn is_recorded(&self, _: &ListedVm) -> Result<bool, PlatformError> {
        self.answer(Duration::ZERO, Instant::now()).await.map(|()| true)
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.answer(Duration::ZERO, Instant::now()).await.map(|()| Vec::new())
    }
}

/// Plays all outages, at moments all through a watch and with the change before, in and after them;
/// returns those in which `has_changed` does not hold when it is due.
async fn missed(has_changed: impl Fn(&ForwardState) -> bool) -> Vec<String> {
    let ms = Duration::from_millis;
    let mut missed = Vec::new();
    for outage in OUTAGES {
        for begins_ms in (2_100..34_000).step_by(1_900) {
            for length_ms in [3_000, 5_000, 12_000] {
                let change_offsets_ms = [-50, 1_500, length_ms + 200, length_ms + 4_300];
                for change_offset_ms in change_offsets_ms {
                    let begins = Instant::now() + ms(begins_ms);
                    let changes_ms = begins_ms.saturating_add_signed(change_offset_ms);
                    let store = Store {
                        eras: watch::Sender::new(None),
                        outage,
                        begins,
                        ends: begins + ms(length_ms as u64),
                        changes_at: Instant::now() + ms(changes_ms),
                    };
                    let due = (store.changes_at + APPLY_MAX).max(store.ends + CONTACT);
                    let state = state();
                    let feeds = spawn_feeds(&state, Arc::new(store), state.settings.link_address);

                    sleep_until(due).await;

                    if !has_changed(&state) {
                        missed.push(format!(
                            "{outage:?} from {begins_ms} ms for {length_ms} ms, \
                             change {change_offset_ms} ms after its start"
                        ));
                    }
                    feeds.iter().for_each(|feed| feed.abort());
                }
            }
        }
    }
    missed
}

// Guards against a routes feed that stays deaf after an outage of the store, in a watch that it
// began before or in the outage.
#[tokio::test(start_paused = true)]
async fn routes_are_in_force_in_time_after_each_kind_of_outage() {
    let missed = missed(|state| state.routes_version() == 2).await;

    assert!(missed.is_empty(), "{} missed: {:#?}", missed.len(), missed);
}

// Guards against requests to a leaving upstream whose entry an upstreams feed did not see, in a
// watch that it began before or in an outage.
#[tokio::test(start_paused = true)]
async fn a_leaving_upstream_is_dropped_in_time_after_each_kind_of_outage() {
    let is_dropped = |state: &ForwardState| {
        state.upstreams.borrow().as_ref().is_some_and(|set| set.by_index.is_empty())
    };

    let missed = missed(is_dropped).await;

    assert!(missed.is_empty(), "{} missed: {:#?}", missed.len(), missed);
}
