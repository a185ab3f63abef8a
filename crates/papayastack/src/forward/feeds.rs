//! Following the store: upstreams, routes, and the other VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::edge::{Change, FeedStore, Freshness, Named};
use super::registry::{Registry, RegistryNote};
use super::route::{RouteDocument, RouteTable};
use super::state::ForwardState;
use crate::ids::VmAddress;
use crate::membership::Membership;
use crate::observe::DecisionEvent;
use crate::platform::{ListedState, ListedVm, PlatformError};

/// How long one watch waits at the store; a dead connection is noticed by its own probes.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// The pause between two watches of upstreams, in which changes gather: calls are charged, and a
/// leaving upstream serves for seconds after its word.
const UPSTREAMS_GAP: Duration = Duration::from_millis(1_200);
/// That pause around trouble of the store, and while requests find a service without upstreams, as after
/// an outage in which all entries lapsed.
const UPSTREAMS_GAP_SHORT: Duration = Duration::from_millis(200);
/// The pause between two watches of the routes.
const ROUTES_GAP: Duration = Duration::from_millis(100);
/// The first pause after a failed call.
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// The longest pause after failed calls: what changed in an outage is known soon after it.
const BACKOFF_MAX: Duration = Duration::from_millis(1_200);
/// The longest pause while this VM cannot serve for want of the store.
const BACKOFF_NOT_READY_MAX: Duration = Duration::from_millis(300);
/// How long another VM's newer routes may be ahead before they are read from the store: the own
/// watch brings them within that time, unless it is deaf.
const BEHIND_PEERS_MAX: Duration = Duration::from_millis(600);
/// The time in which all VMs that start together have recorded themselves.
const REGISTER_TIME: Duration = Duration::from_millis(1_200);
/// The longest pause between two looks for other VMs while none is known.
const ALONE_PAUSE_MAX: Duration = Duration::from_secs(30);

/// The pauses after failed calls: doubling, with jitter.
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn new() -> Self {
        Self { failures: 0 }
    }

    /// Returns the pause after a failed call; the store's own word goes first.
    fn pause(&mut self, error: &PlatformError, is_ready: bool) -> Duration {
        let doubled = BACKOFF_INITIAL * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        let longest = if is_ready { BACKOFF_MAX } else { BACKOFF_NOT_READY_MAX };
        let pause = doubled.min(longest).mul_f64(rand::rng().random_range(0.7..1.0));
        match error {
            PlatformError::RateLimited { retry_after } => {
                pause.max(retry_after.mul_f64(rand::rng().random_range(1.0..1.5)))
            }
            _ => pause,
        }
    }

    fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Notes the loss and the return of the store as one feed sees them.
struct StoreStanding {
    state: Arc<ForwardState>,
    feed: &'static str,
    lost_at: Option<Instant>,
}

impl StoreStanding {
    fn new(state: &Arc<ForwardState>, feed: &'static str) -> Self {
        Self { state: Arc::clone(state), feed, lost_at: None }
    }

    fn failed(&mut self, error: &PlatformError) {
        self.state.metrics.store_call(self.feed, Some(error));
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            self.state.log.write(
                DecisionEvent::StoreLost,
                || json!({ "feed": self.feed, "error": error.to_string() }),
            );
        }
    }

    fn answered(&mut self) {
        self.state.metrics.store_call(self.feed, None);
        self.state.store_gate.call_answered();
        if let Some(lost_at) = self.lost_at.take() {
            self.state.log.write(
                DecisionEvent::StoreRegained,
                || json!({ "feed": self.feed, "away_ms": lost_at.elapsed().as_millis() as u64 }),
            );
        }
    }
}

/// Follows the upstreams until the task is dropped.
pub(crate) async fn follow_upstreams(state: Arc<ForwardState>, store: Arc<dyn FeedStore>) {
    let mut registry = Registry::default();
    let mut backoff = Backoff::new();
    let mut standing = StoreStanding::new(&state, "upstreams");
    // The first watch brings what a cheap first list lacks; after a forgotten history nothing would.
    let mut freshness = Freshness::MayLag;
    loop {
        let mut revision = match store.list_upstreams(freshness).await {
            Ok(listing) => {
                backoff.reset();
                standing.answered();
                let notes = registry.on_list(listing.entries, now());
                publish_upstreams(&state, &registry, notes);
                freshness = Freshness::Current;
                listing.revision
            }
            Err(error) => {
                standing.failed(&error);
                registry.store_failed(now());
                state.store_gate.wait(backoff.pause(&error, state.is_ready())).await;
                continue;
            }
        };
        loop {
            let wanted = state.upstreams_wanted.notified();
            sleep(UPSTREAMS_GAP_SHORT).await;
            // A missing entry is held after trouble, so that it must be noticed soon.
            if !registry.is_troubled(now()) {
                // Ends early if a request needs what the next watch may bring.
                let _ = timeout(UPSTREAMS_GAP - UPSTREAMS_GAP_SHORT, wanted).await;
            }
            let notes = registry.on_tick(now());
            publish_upstreams(&state, &registry, notes);
            let wait = registry
                .next_wake()
                .map_or(WATCH_WAIT, |wake| wake.saturating_duration_since(now()).min(WATCH_WAIT));
            match store.watch_upstreams(revision, wait).await {
                Ok(changes) => {
                    backoff.reset();
                    standing.answered();
                    revision = revision.max(changes.revision);
                    let mut notes = registry.on_changes(changes.changes, now());
                    // The watch may have waited for a hold to end.
                    notes.extend(registry.on_tick(now()));
                    publish_upstreams(&state, &registry, notes);
                }
                Err(PlatformError::HistoryGone) => break,
                Err(error) => {
                    standing.failed(&error);
                    registry.store_failed(now());
                    state.store_gate.wait(backoff.pause(&error, state.is_ready())).await;
                }
            }
        }
    }
}

/// Returns the time as the pauses of this task count it.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn publish_upstreams(state: &ForwardState, registry: &Registry, notes: Vec<RegistryNote>) {
    let old = state.upstreams.borrow().clone();
    if old.as_ref().is_none_or(|old| old.version != registry.version()) {
        let set = registry.set();
        let mut decisions = state.decisions();
        for (index, target) in old.iter().flat_map(|old| &old.by_index) {
            if !set.by_index.contains_key(index) {
                decisions.forget_upstream(*index);
                state.pool.forget(target.address);
            }
        }
        for (index, target) in &set.by_index {
            decisions.set_far(*index, target.data_centre != state.settings.data_centre);
        }
        drop(decisions);
        state.upstreams.send_replace(Some(Arc::new(set)));
    }
    for note in notes {
        log_note(state, &note);
    }
}

fn log_note(state: &ForwardState, note: &RegistryNote) {
    match note {
        RegistryNote::Usable(id) => {
            state.log.write(DecisionEvent::UpstreamUsable, || json!({ "upstream": id }));
        }
        RegistryNote::Unusable { id, reason } => {
            let fields = || json!({ "upstream": id, "reason": reason });
            state.log.write(DecisionEvent::UpstreamUnusable, fields);
        }
        RegistryNote::Held(id) => {
            state.log.write(DecisionEvent::UpstreamHeld, || json!({ "upstream": id }));
        }
        RegistryNote::Ignored { id, detail } => {
            let fields = || json!({ "upstream": id, "detail": detail });
            state.log.write(DecisionEvent::UpstreamIgnored, fields);
        }
    }
}

/// Follows the routes until the task is dropped.
pub(crate) async fn follow_routes(state: Arc<ForwardState>, store: Arc<dyn FeedStore>) {
    let mut backoff = Backoff::new();
    let mut standing = StoreStanding::new(&state, "routes");
    loop {
        let mut revision = match store.list_routes().await {
            Ok(listing) => {
                backoff.reset();
                standing.answered();
                listing.entries.into_iter().for_each(|entry| take_routes(&state, entry));
                listing.revision
            }
            Err(error) => {
                standing.failed(&error);
                state.store_gate.wait(backoff.pause(&error, state.is_ready())).await;
                continue;
            }
        };
        loop {
            sleep(ROUTES_GAP).await;
            let watch = store.watch_routes(revision, WATCH_WAIT);
            let outcome = tokio::select! {
                outcome = watch => outcome,
                // The watch is deaf, or the store forgets: all is read again.
                () = behind_peers(&state) => Err(PlatformError::HistoryGone),
            };
            match outcome {
                Ok(changes) => {
                    backoff.reset();
                    standing.answered();
                    revision = revision.max(changes.revision);
                    for change in changes.changes {
                        match change {
                            Change::Put(entry) => take_routes(&state, entry),
                            // The routes in force stay until a later version replaces them.
                            Change::Removed { .. } => {}
                        }
                    }
                }
                Err(PlatformError::HistoryGone) => break,
                Err(error) => {
                    standing.failed(&error);
                    state.store_gate.wait(backoff.pause(&error, state.is_ready())).await;
                }
            }
        }
    }
}

/// Returns once another VM has had later routes in force for a while.
async fn behind_peers(state: &ForwardState) {
    let mut members = state.members.clone();
    loop {
        let own = state.routes_version();
        let ahead = |members: &crate::membership::MemberView| {
            members.members.values().any(|member| member.configuration_version > own)
        };
        if members.wait_for(|view| ahead(view)).await.is_err() {
            // The membership has ended, and the process is about to.
            std::future::pending::<()>().await;
        }
        sleep(BEHIND_PEERS_MAX).await;
        let own_now = state.routes_version();
        if own_now == own {
            return;
        }
    }
}

/// Takes a document of routes if it is later than the one in force.
fn take_routes(state: &ForwardState, entry: Named<RouteDocument>) {
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
    state.routes.send_replace(Some(table));
    state.log.write(
        DecisionEvent::RoutesInForce,
        || json!({ "version": version, "earlier_version": in_force, "routes": routes }),
    );
}

/// Records this VM in the store and finds the others; looks again only while alone.
pub(crate) async fn find_vms(
    state: Arc<ForwardState>,
    store: Arc<dyn FeedStore>,
    membership: Arc<Membership>,
) {
    let mut backoff = Backoff::new();
    let mut standing = StoreStanding::new(&state, "vms");
    let own = ListedVm {
        address: membership.address(),
        data_centre: state.settings.data_centre.clone(),
        entry_vm: true,
        state: ListedState::Live,
    };
    while let Err(error) = store.register_vm(&own).await {
        standing.failed(&error);
        state.store_gate.wait(backoff.pause(&error, state.is_ready())).await;
    }
    standing.answered();
    let mut pause = REGISTER_TIME;
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(ALONE_PAUSE_MAX);
        match store.list_vms().await {
            Ok(vms) => {
                standing.answered();
                let known = u32::try_from(vms.len()).unwrap_or(u32::MAX);
                state.set_vms_known(known);
                membership.set_seeds(vms.into_iter().map(|vm| vm.address).collect());
            }
            Err(error) => standing.failed(&error),
        }
        let mut members = state.members.clone();
        // Ends as soon as another VM is known; afterwards the members tell each other.
        let found = members.wait_for(|view| view.members.len() > 1);
        if tokio::time::timeout(pause, found).await.is_ok() {
            return;
        }
    }
}

/// Keeps what depends on the number of VMs and on the routes in step with them.
pub(crate) async fn follow_members(state: Arc<ForwardState>, membership: Arc<Membership>) {
    let mut members = state.members.clone();
    let mut routes = state.routes.subscribe();
    let mut upstreams = state.upstreams.subscribe();
    let mut live_before: Vec<VmAddress> = Vec::new();
    loop {
        let view = members.borrow_and_update().clone();
        let seen = u32::try_from(view.members.len()).unwrap_or(u32::MAX);
        state.set_vms_known(seen);
        let live: Vec<VmAddress> = view.live().map(|member| member.identity.address).collect();
        if live != live_before {
            state.log.write(
                DecisionEvent::MembersChanged,
                || json!({ "live": live, "live_before": live_before }),
            );
            live_before = live;
        }
        let version = routes.borrow_and_update().as_ref().map(|table| table.document().version);
        if let (Some(version), true) = (version, upstreams.borrow_and_update().is_some())
            && !state.leaving.load(Ordering::Acquire)
        {
            membership.set_configuration_version(version);
        }
        let changed = tokio::select! {
            changed = members.changed() => changed.is_ok(),
            changed = routes.changed() => changed.is_ok(),
            changed = upstreams.changed() => changed.is_ok(),
        };
        if !changed {
            return;
        }
    }
}
