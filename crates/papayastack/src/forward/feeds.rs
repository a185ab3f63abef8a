//! Feeds from the store: tasks that list and watch upstreams, routes and the other VMs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack_macros::closed_set;
use rand::Rng;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::interface::{Change, FeedStore, Freshness, NamedEntry, StorePosition};
use super::pace::{Backoff, WATCH_BURST_FOR_OTHERS, WatchPace};
use super::route::{RouteDocument, RouteTable};
use super::state::ForwardState;
use crate::ids::{RegionName, VmAddress};
use crate::membership::Membership;
use crate::observe::{DecisionEvent, first_names};
use crate::platform::{ListedState, ListedVm, PlatformError, StoreEra};

/// The pause between two watches of upstreams after a failure of the store, and while requests find
/// a service without upstreams, as after an outage in which all entries expired.
const UPSTREAMS_WATCH_PAUSE_SHORT: Duration = Duration::from_millis(200);
/// The pause between two watches of the routes.
const ROUTES_WATCH_PAUSE: Duration = Duration::from_millis(100);
/// How long another VM may have newer routes in force before this VM lists them again; a working
/// watch delivers them within that time.
const BEHIND_PEERS_MAX: Duration = Duration::from_millis(600);
/// The longest time without an answer of the store before this VM checks that it answers; longer
/// silence may hide a lost answer to a watch. The check may lag and so costs a tenth of a call.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(2_500);
/// The same while other VMs learn from this one: what the store does not show them soon, they must
/// read themselves.
const STORE_CHECK_INTERVAL_FOLLOWED: Duration = Duration::from_millis(700);
/// The same while this VM learns from another one and has no watch that could be lost.
const STORE_CHECK_INTERVAL_COVERED: Duration = Duration::from_secs(10);
/// How long a VM that has read everything waits for another VM that reads the store for it.
const COVER_WAIT: Duration = Duration::from_millis(1_000);
/// The longest pause before this VM reads the store itself once no other VM does so for it; it keeps
/// all VMs from asking at once.
const COVER_ENDED_JITTER_MAX: Duration = Duration::from_millis(150);
/// The longest pause before this VM writes its record again to a store back from an older copy.
const RECORD_JITTER_MAX: Duration = Duration::from_millis(500);
/// The longest pause before the first list of VMs. A VM that starts again needs it at once: its
/// part of the connections depends on the number of VMs.
const VM_LIST_JITTER: Duration = Duration::from_millis(30);
/// The pause before the second list of VMs, in which all VMs that start together record themselves.
const VM_LIST_PAUSE_INITIAL: Duration = Duration::from_millis(1_200);
/// The longest pause between two lists of VMs while no other VM is known.
const VM_LIST_PAUSE_MAX: Duration = Duration::from_secs(30);

/// Counts one feed's calls to the store and logs when the store fails and answers again.
struct StoreAvailability {
    state: Arc<ForwardState>,
    feed: &'static str,
    lost_at: Option<Instant>,
    answered_at: Instant,
}

impl StoreAvailability {
    fn new(state: &Arc<ForwardState>, feed: &'static str) -> Self {
        Self { state: Arc::clone(state), feed, lost_at: None, answered_at: now() }
    }

    fn call_failed(&mut self, error: &PlatformError) {
        self.state.metrics.store_call(self.feed, Some(error));
        self.state.store_health.call_failed(now());
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            self.state.log.write(DecisionEvent::StoreLost, || {
                json!({
                    "feed": self.feed,
                    "error": error.to_string(),
                    "unconfirmed_ms": self.unconfirmed_ms(),
                })
            });
        }
    }

    fn call_answered(&mut self) {
        self.state.metrics.store_call(self.feed, None);
        self.answered_at = now();
        self.state.store_health.call_answered(self.answered_at);
        self.state.record_feed_answer(self.feed, self.answered_at);
        if let Some(lost_at) = self.lost_at.take() {
            self.state.log.write(
                DecisionEvent::StoreRegained,
                || json!({ "feed": self.feed, "away_ms": lost_at.elapsed().as_millis() as u64 }),
            );
        }
    }

    /// Records a failed call and returns once the feed may call again.
    async fn wait_after_failure(&mut self, error: &PlatformError, backoff: &mut Backoff) {
        self.call_failed(error);
        let pause = backoff.pause(error, self.state.is_ready());
        self.state.store_health.wait(pause, now()).await;
    }

    /// Logs why the feed lists everything again.
    fn relisting(&self, reason: RelistReason) {
        self.state.log.write(DecisionEvent::FeedRelisted, || {
            json!({
                "feed": self.feed,
                "reason": reason,
                "unconfirmed_ms": self.unconfirmed_ms(),
            })
        });
    }

    /// Returns the time since the store last answered a call of the feed.
    fn unconfirmed_ms(&self) -> u64 {
        now().saturating_duration_since(self.answered_at).as_millis() as u64
    }
}

/// Why a feed reads everything from the store again.
#[closed_set]
enum RelistReason {
    /// The store no longer has the changes after the feed's revision.
    HistoryGone,
    /// Another VM has a later version.
    BehindPeers,
    /// The store came back from an older copy.
    StoreReset,
    /// Entries of an older copy may have been updated since.
    OlderEntries,
}

/// Starts the feeds of routes and upstreams, and the task that keeps the record of this VM, whose
/// address for other VMs is `address`.
pub(crate) fn spawn_feeds(
    state: &Arc<ForwardState>,
    store: Arc<dyn FeedStore>,
    address: VmAddress,
) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(follow_routes(Arc::clone(state), Arc::clone(&store))),
        tokio::spawn(follow_upstreams(Arc::clone(state), Arc::clone(&store))),
        tokio::spawn(keep_vm_recorded(Arc::clone(state), store, address)),
    ]
}

/// Follows the upstreams until the task is aborted, and drops those whose hold ends.
pub(crate) async fn follow_upstreams(state: Arc<ForwardState>, store: Arc<dyn FeedStore>) {
    tokio::join!(read_upstreams(&state, store), drop_held_upstreams(&state));
}

/// Drops each held upstream when its hold ends, whoever told that its entry is missing.
async fn drop_held_upstreams(state: &ForwardState) {
    let mut changes = state.feed_changes.subscribe();
    loop {
        changes.borrow_and_update();
        let next_wake = state.registry().next_wake();
        tokio::select! {
            () = sleep_until_some(next_wake) => {
                state.update_registry(|registry| registry.on_tick(now()));
            }
            _ = changes.changed() => {}
        }
    }
}

/// Lists the upstreams, and watches them or lets other VMs do so.
async fn read_upstreams(state: &Arc<ForwardState>, store: Arc<dyn FeedStore>) {
    let mut backoff = Backoff::new();
    let mut availability = StoreAvailability::new(state, "upstreams");
    // The first list may lag, since the watch after it delivers what it lacks. Later lists replace
    // a history of changes that the store no longer has, so they must be current.
    let mut freshness = Freshness::MayLag;
    let mut pace = WatchPace::new(now());
    let mut era_before = None;
    loop {
        let listed = match store.list_upstreams(freshness).await {
            Ok(listing) => {
                backoff.reset();
                availability.call_answered();
                let era = listing.position.era;
                if era_before.replace(era).is_some_and(|before| before != era) {
                    state.registry().store_reset(now());
                }
                state.learn_list(listing.entries, listing.position, now());
                freshness = Freshness::Current;
                listing.position
            }
            Err(error) => {
                state.registry().store_failed(now());
                availability.wait_after_failure(&error, &mut backoff).await;
                continue;
            }
        };
        let reason =
            watch_upstreams(state, &*store, listed, &mut pace, &mut backoff, &mut availability)
                .await;
        availability.relisting(reason);
    }
}

/// Watches the upstreams, or lets other VMs do so, until they have to be listed again.
async fn watch_upstreams(
    state: &ForwardState,
    store: &dyn FeedStore,
    listed: StorePosition,
    pace: &mut WatchPace,
    backoff: &mut Backoff,
    availability: &mut StoreAvailability,
) -> RelistReason {
    let mut eras = store.eras();
    // A watch that does not wait tells the store's present position, from which readers know all.
    let mut catches_up = false;
    let needed = state.upstreams_needed.notified();
    tokio::select! {
        () = wait_for_cover(state) => {}
        () = needed => {}
        () = state.feed_gone.notified() => catches_up = true,
    }
    loop {
        gather_changes(state, pace).await;
        tokio::select! {
            () = wait_while_covered(state) => {}
            () = wait_for_later_era(&mut eras, listed.era) => return RelistReason::StoreReset,
        }
        state.update_registry(|registry| registry.on_tick(now()));
        state.set_reads_store(true);
        let recheck_at = state.registry().recheck_at();
        // Another VM may have told of later changes.
        let after = state.feed().history.position().unwrap_or(listed).revision;
        let started = now();
        let wait = match std::mem::take(&mut catches_up) {
            true => Duration::ZERO,
            false => state.store_health.watch_wait(started),
        };
        let outcome = tokio::select! {
            outcome = store.watch_upstreams(after, wait) => outcome,
            () = state.store_health.watch_is_doubtful(started, wait) => continue,
            // A settled store would leave the position, and with it the readers' answer, as it is.
            () = state.feed_gone.notified(), if !wait.is_zero() => {
                catches_up = true;
                continue;
            }
            () = wait_for_later_era(&mut eras, listed.era) => return RelistReason::StoreReset,
            () = sleep_until_some(recheck_at) => return RelistReason::OlderEntries,
        };
        match outcome {
            Ok(changes) => {
                backoff.reset();
                availability.call_answered();
                if changes.position.era != listed.era {
                    return RelistReason::StoreReset;
                }
                state.learn_changes(changes.changes, changes.position, now());
            }
            Err(PlatformError::HistoryGone) => return RelistReason::HistoryGone,
            Err(error) => {
                state.set_reads_store(false);
                state.registry().store_failed(now());
                availability.wait_after_failure(&error, backoff).await;
            }
        }
    }
}

/// Waits for the next watch of the upstreams, in which further changes gather.
async fn gather_changes(state: &ForwardState, pace: &mut WatchPace) {
    // After a failure the pause stays short: the upstream of a removed entry is used for some time
    // longer, so the removal must be noticed soon.
    if state.registry().store_failed_recently(now()) {
        sleep(UPSTREAMS_WATCH_PAUSE_SHORT).await;
        return;
    }
    let needed = state.upstreams_needed.notified();
    let role = state.feed_role.borrow().clone();
    let burst = if role.reads_for_others { WATCH_BURST_FOR_OTHERS } else { 1 };
    let pause = pace.take(role.watch_interval, burst, now());
    sleep(pause.min(UPSTREAMS_WATCH_PAUSE_SHORT)).await;
    // Ends early if a request found a service without upstreams.
    let _ = timeout(pause.saturating_sub(UPSTREAMS_WATCH_PAUSE_SHORT), needed).await;
}

/// Waits a moment for another VM that reads the store for this one, unless this VM does so for others.
async fn wait_for_cover(state: &ForwardState) {
    let mut covered_until = state.covered_until.subscribe();
    let mut role = state.feed_role.subscribe();
    // Errors cannot occur: `state` holds the senders.
    tokio::select! {
        _ = covered_until.wait_for(Option::is_some) => {}
        _ = role.wait_for(|role| role.reads_for_others) => {}
        () = sleep(COVER_WAIT) => {}
    }
}

/// Returns once this VM has to read the store itself.
async fn wait_while_covered(state: &ForwardState) {
    while state.is_covered(now()) {
        state.set_reads_store(false);
        state.cover_ended().await;
        if !state.feed_role.borrow().readers.is_empty() {
            let jitter = rand::rng().random_range(0.0..1.0);
            sleep(COVER_ENDED_JITTER_MAX.mul_f64(jitter)).await;
        }
    }
}

/// Returns once the store has come back from an older copy since `era`.
async fn wait_for_later_era(eras: &mut watch::Receiver<Option<StoreEra>>, era: StoreEra) {
    if eras.wait_for(|newest| newest.is_some_and(|newest| newest > era)).await.is_err() {
        // The store's client has ended, and the process is about to stop.
        std::future::pending::<()>().await;
    }
}

/// Sleeps until `wake`, for good if there is none.
async fn sleep_until_some(wake: Option<Instant>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(wake.into()).await,
        None => std::future::pending().await,
    }
}

/// Returns the time of Tokio's clock, which tests can pause.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Lists and watches the routes until the task is aborted.
pub(crate) async fn follow_routes(state: Arc<ForwardState>, store: Arc<dyn FeedStore>) {
    let mut backoff = Backoff::new();
    let mut availability = StoreAvailability::new(&state, "routes");
    let mut eras = store.eras();
    loop {
        let mut position = match store.list_routes().await {
            Ok(listing) => {
                backoff.reset();
                availability.call_answered();
                for entry in listing.entries {
                    apply_routes(&state, entry, RoutesSource::List, listing.position);
                }
                listing.position
            }
            Err(error) => {
                availability.wait_after_failure(&error, &mut backoff).await;
                continue;
            }
        };
        wait_for_cover(&state).await;
        loop {
            sleep(ROUTES_WATCH_PAUSE).await;
            let relist = tokio::select! {
                () = wait_while_covered(&state) => None,
                () = wait_for_later_era(&mut eras, position.era) => Some(RelistReason::StoreReset),
                () = wait_until_behind_peers(&state) => Some(RelistReason::BehindPeers),
            };
            if let Some(reason) = relist {
                availability.relisting(reason);
                break;
            }
            let (started, wait) = (now(), state.store_health.watch_wait(now()));
            let outcome = tokio::select! {
                outcome = store.watch_routes(position.revision, wait) => outcome,
                () = state.store_health.watch_is_doubtful(started, wait) => continue,
                () = wait_for_later_era(&mut eras, position.era) => {
                    availability.relisting(RelistReason::StoreReset);
                    break;
                }
                // The watch or the store has lost a change that another VM has: lists again.
                () = wait_until_behind_peers(&state) => {
                    availability.relisting(RelistReason::BehindPeers);
                    break;
                }
            };
            match outcome {
                Ok(changes) => {
                    backoff.reset();
                    availability.call_answered();
                    if changes.position.era != position.era {
                        availability.relisting(RelistReason::StoreReset);
                        break;
                    }
                    position.revision = position.revision.max(changes.position.revision);
                    for change in changes.changes {
                        match change {
                            Change::Put(entry) => {
                                apply_routes(&state, entry, RoutesSource::Watch, position);
                            }
                            // The routes in force stay until a later version replaces them.
                            Change::Removed { .. } => {}
                        }
                    }
                }
                Err(PlatformError::HistoryGone) => {
                    availability.relisting(RelistReason::HistoryGone);
                    break;
                }
                Err(error) => {
                    availability.wait_after_failure(&error, &mut backoff).await;
                }
            }
        }
    }
}

/// Returns once another VM has had newer routes in force for [`BEHIND_PEERS_MAX`].
async fn wait_until_behind_peers(state: &ForwardState) {
    let mut members = state.members.clone();
    loop {
        let own = state.routes_version();
        let ahead = |members: &crate::membership::MemberView| {
            members.members.values().any(|member| member.configuration_version > own)
        };
        if members.wait_for(|view| ahead(view)).await.is_err() {
            // The membership has ended: the process is about to stop.
            std::future::pending::<()>().await;
        }
        sleep(BEHIND_PEERS_MAX).await;
        let own_now = state.routes_version();
        if own_now == own {
            return;
        }
    }
}

/// Where a document of routes comes from.
#[closed_set]
pub(crate) enum RoutesSource {
    /// A list of the store.
    List,
    /// A watch of the store.
    Watch,
    /// The answer of another VM.
    Peer,
}

/// Puts a document of routes in force if it is newer than the current one.
pub(crate) fn apply_routes(
    state: &ForwardState,
    entry: NamedEntry<RouteDocument>,
    source: RoutesSource,
    position: StorePosition,
) {
    let in_force = state.routes.borrow().as_ref().map(|table| table.document().version);
    let document = match entry.content {
        Ok(document) => document,
        Err(fault) => {
            let fields = || json!({ "name": entry.name, "detail": fault.detail });
            state.log.write(DecisionEvent::RoutesIgnored, fields);
            return;
        }
    };
    if in_force.is_some_and(|version| version >= document.version) {
        return;
    }
    let version = document.version;
    let routes = document.routes.len();
    let table = Arc::new(RouteTable::new(document));
    state.decisions().retain_routes(&table);
    state.routes.send_replace(Some(Arc::clone(&table)));
    state.feed().record_routes(table);
    state.wake_followers();
    state.log.write(DecisionEvent::RoutesInForce, || {
        json!({
            "version": version,
            "earlier_version": in_force,
            "routes": routes,
            "source": source,
            "store_era": position.era,
            "store_revision": position.revision,
        })
    });
}

/// Records this VM in the store, so that other VMs find it, and reads the record back whenever the
/// store has answered nothing for [`STORE_CHECK_INTERVAL`]. The feeds wait in watches most of the
/// time and notice a store that lost their answers only by the failure of this check.
async fn keep_vm_recorded(state: Arc<ForwardState>, store: Arc<dyn FeedStore>, address: VmAddress) {
    let mut backoff = Backoff::new();
    let mut availability = StoreAvailability::new(&state, "record");
    let own = ListedVm {
        address,
        data_centre: state.settings.data_centre.clone(),
        entry_vm: true,
        state: ListedState::Live,
    };
    let mut eras = store.eras();
    loop {
        while let Err(error) = store.register_vm(&own).await {
            availability.wait_after_failure(&error, &mut backoff).await;
        }
        let era = eras.borrow_and_update().unwrap_or_default();
        availability.call_answered();
        backoff.reset();
        let mut is_recorded = true;
        while is_recorded {
            let silent_at = state.store_health.silent_at(store_check_interval(&state), now());
            tokio::select! {
                () = tokio::time::sleep_until(silent_at.into()) => {}
                () = store_check_due_sooner(&state) => {}
                () = wait_for_later_era(&mut eras, era) => {
                    // Jitter keeps the VMs from writing their records all at once.
                    let jitter = rand::rng().random_range(0.0..1.0);
                    sleep(RECORD_JITTER_MAX.mul_f64(jitter)).await;
                    break;
                }
            }
            if state.store_health.answered_within(store_check_interval(&state), now()) {
                continue;
            }
            match store.is_recorded(&own).await {
                Ok(found) => {
                    availability.call_answered();
                    backoff.reset();
                    is_recorded = found;
                }
                Err(error) => availability.wait_after_failure(&error, &mut backoff).await,
            }
        }
    }
}

/// Returns the longest time without an answer of the store before this VM checks that it answers.
fn store_check_interval(state: &ForwardState) -> Duration {
    if state.is_covered(now()) {
        STORE_CHECK_INTERVAL_COVERED
    } else if state.feed().is_followed(now()) {
        STORE_CHECK_INTERVAL_FOLLOWED
    } else {
        STORE_CHECK_INTERVAL
    }
}

/// Returns once [`store_check_interval`] has become shorter.
async fn store_check_due_sooner(state: &ForwardState) {
    if state.is_covered(now()) {
        state.cover_ended().await;
    } else {
        state.feed_followed.notified().await;
    }
}

/// Finds the other VMs in the store's records; lists them again only while none is known.
pub(crate) async fn discover_vms(
    state: Arc<ForwardState>,
    store: Arc<dyn FeedStore>,
    membership: Arc<Membership>,
) {
    let mut availability = StoreAvailability::new(&state, "vms");
    let mut pause = VM_LIST_PAUSE_INITIAL;
    let first_jitter = rand::rng().random_range(0.0..1.0);
    sleep(VM_LIST_JITTER.mul_f64(first_jitter)).await;
    loop {
        match store.list_vms().await {
            Ok(vms) => {
                availability.call_answered();
                membership.set_seeds(vms.iter().map(|vm| vm.address).collect());
                let listed = vms.into_iter().map(|vm| (vm.address, vm.data_centre)).collect();
                state.set_listed_vms(listed, now());
            }
            Err(error) => availability.call_failed(&error),
        }
        let mut members = state.members.clone();
        // Ends as soon as another VM is a member; from then on the membership protocol finds VMs.
        let found = members.wait_for(|view| view.members.len() > 1);
        let jitter = rand::rng().random_range(0.8..1.2);
        if tokio::time::timeout(pause.mul_f64(jitter), found).await.is_ok() {
            return;
        }
        pause = (pause * 2).min(VM_LIST_PAUSE_MAX);
    }
}

/// Updates the number of known VMs and the announced version when members, routes or upstreams
/// change.
pub(crate) async fn follow_members(state: Arc<ForwardState>, membership: Arc<Membership>) {
    let mut members = state.members.clone();
    let mut routes = state.routes.subscribe();
    let mut upstreams = state.upstreams.subscribe();
    let mut live_before: BTreeSet<VmAddress> = BTreeSet::new();
    let mut unreachable_before = BTreeSet::new();
    loop {
        let view = members.borrow_and_update().clone();
        state.set_members(&view, now());
        state.update_feed_role(&view);
        state.peers().retain_members(&view);
        let live: BTreeSet<VmAddress> = view.live().map(|member| member.identity.address).collect();
        let unreachable = &view.unreachable_regions;
        if live != live_before || *unreachable != unreachable_before {
            state.log.write(DecisionEvent::MembersChanged, || {
                members_changed_fields(&live_before, &live, unreachable)
            });
            live_before = live;
            unreachable_before = unreachable.clone();
        }
        let version = routes.borrow_and_update().as_ref().map(|table| table.document().version);
        if let (Some(version), true) = (version, upstreams.borrow_and_update().is_some())
            && !state.departure.is_leaving()
        {
            membership.set_configuration_version(version);
        }
        let changed = tokio::select! {
            changed = members.changed() => changed.is_ok(),
            changed = routes.changed() => changed.is_ok(),
            changed = upstreams.changed() => changed.is_ok(),
            () = sleep_until_some(state.list_ends_at()) => true,
        };
        if !changed {
            return;
        }
    }
}

/// Returns the fields of the line about a change of the live VMs: how many there are, and who came
/// and went.
pub(crate) fn members_changed_fields(
    live_before: &BTreeSet<VmAddress>,
    live: &BTreeSet<VmAddress>,
    unreachable_regions: &BTreeSet<RegionName>,
) -> Value {
    let joined: Vec<&VmAddress> = live.difference(live_before).collect();
    let left: Vec<&VmAddress> = live_before.difference(live).collect();
    json!({
        "live": live.len(),
        "live_before": live_before.len(),
        "joined": first_names(&joined),
        "left": first_names(&left),
        "unreachable_regions": unreachable_regions,
    })
}
