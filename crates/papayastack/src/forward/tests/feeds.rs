//! Tests of the feeds in virtual time, against a store with scripted answers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use axum::http::{HeaderName, Uri};
use bytes::Bytes;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::registry::{entry, named, removed};
use crate::caller::AddressesAnswer;
use crate::forward::feeds::{follow_upstreams, members_changed_fields};
use crate::forward::state::ForwardState;
use crate::forward::{
    CallerLocation, Changes, FeedStore, Freshness, GatewaySettings, HeaderNames, IngressFormat,
    Listing, RepeatSettings, RouteDocument, StorePosition, StoreRevision, UpstreamEntry,
};
use crate::ids::VmAddress;
use crate::membership::MemberView;
use crate::observe::DecisionLog;
use crate::platform::{ListedVm, PlatformError, StoreEra};

/// How long an upstream still serves requests after its removal from the store.
const LEAVING_SERVES_FOR: Duration = Duration::from_secs(3);

struct StubFormat(HeaderNames);

impl IngressFormat for StubFormat {
    fn headers(&self) -> &HeaderNames {
        &self.0
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }

    fn addresses_path(&self) -> &'static str {
        "/addresses"
    }

    fn caller_location(&self, _: &Uri) -> CallerLocation {
        CallerLocation::default()
    }

    fn encode_addresses(&self, _: &AddressesAnswer) -> Bytes {
        Bytes::new()
    }
}

/// A store that fails the first watch, answers the second one, and removes the upstream `one` right
/// after that.
struct StoreThatRemovesOne {
    eras: watch::Sender<Option<StoreEra>>,
    watches: AtomicU32,
    removed_at: watch::Sender<Option<Instant>>,
}

#[async_trait]
impl FeedStore for StoreThatRemovesOne {
    fn eras(&self) -> watch::Receiver<Option<StoreEra>> {
        self.eras.subscribe()
    }

    async fn list_upstreams(&self, _: Freshness) -> Result<Listing<UpstreamEntry>, PlatformError> {
        Ok(Listing { entries: vec![named("one", entry("board", 1))], position: position(1) })
    }

    async fn watch_upstreams(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<Changes<UpstreamEntry>, PlatformError> {
        match self.watches.fetch_add(1, Ordering::Relaxed) {
            0 => Err(PlatformError::Unavailable),
            1 => {
                self.removed_at.send_replace(Some(Instant::now()));
                Ok(Changes { changes: Vec::new(), position: position(after) })
            }
            2 => Ok(Changes { changes: vec![removed("one")], position: position(after + 1) }),
            _ => {
                sleep(wait).await;
                Ok(Changes { changes: Vec::new(), position: position(after) })
            }
        }
    }

    async fn list_routes(&self) -> Result<Listing<RouteDocument>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn watch_routes(
        &self,
        _: StoreRevision,
        _: Duration,
    ) -> Result<Changes<RouteDocument>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn register_vm(&self, _: &ListedVm) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn is_recorded(&self, _: &ListedVm) -> Result<bool, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

/// Returns a position in the only era of a store.
pub(super) fn position(revision: StoreRevision) -> StorePosition {
    StorePosition { era: 0, revision }
}

pub(super) fn state() -> Arc<ForwardState> {
    let (_, members) = watch::channel(Arc::new(MemberView::default()));
    state_of(&["a"], 0, members)
}

/// Returns the state of a VM in one of the data centres, which form one region.
pub(super) fn state_of(
    data_centres: &[&str],
    vm: usize,
    members: watch::Receiver<Arc<MemberView>>,
) -> Arc<ForwardState> {
    let address = ([127, 0, 0, 1], 0).into();
    let region = |name: &&str| ((*name).to_owned(), "region".to_owned());
    let settings = GatewaySettings {
        vm: format!("front-{}", vm + 1),
        data_centre: data_centres[vm % data_centres.len()].to_owned(),
        data_centres: data_centres.iter().map(region).collect(),
        caller_address: address,
        ready_address: address,
        directory_address: address,
        link_address: address,
        operator_address: address,
        store_address: address,
        system_keys: vec!["a key of the tests".to_owned()],
        address_lifetime_max_s: 1,
        stop_grace_s: 6,
        repeats: RepeatSettings { window_s: 10, per_request: 0.2, extra: 56 },
    };
    let name = HeaderName::from_static;
    let headers = HeaderNames {
        request_id: name("request"),
        remaining_ms: name("remaining"),
        target_upstream: name("target"),
        upstream_id: name("upstream"),
        seal: name("seal"),
        load: name("load"),
        leaving: name("leaving"),
        rate_limit: name("rate-limit"),
        not_run: name("not-run"),
        part_seals: name("seals"),
        parts_missing: name("missing"),
    };
    Arc::new(ForwardState::new(
        settings,
        Arc::new(StubFormat(headers)),
        members,
        DecisionLog::disabled(),
    ))
}

#[tokio::test(start_paused = true)]
async fn an_upstream_removed_after_a_store_failure_is_dropped_while_it_still_serves() {
    let state = state();
    let (removed_at, mut removals) = watch::channel(None);
    let store = Arc::new(StoreThatRemovesOne {
        eras: watch::Sender::new(None),
        watches: AtomicU32::new(0),
        removed_at,
    });
    let mut upstreams = state.upstreams.subscribe();
    let feed = tokio::spawn(follow_upstreams(Arc::clone(&state), store));
    let removed_at: Instant = removals.wait_for(Option::is_some).await.unwrap().unwrap();

    upstreams
        .wait_for(|set| set.as_ref().is_some_and(|set| set.by_index.is_empty()))
        .await
        .unwrap();

    assert!(removed_at.elapsed() < LEAVING_SERVES_FOR, "dropped after {:?}", removed_at.elapsed());
    feed.abort();
}

// Guards against logs that grow with the square of the fleet when VMs find each other.
#[test]
fn a_change_of_the_members_is_one_short_line_in_a_fleet_of_any_size() {
    let vms = |count: u16| (0..count).map(|port| ([10, 0, 0, 1], port).into()).collect();
    let (few, many): (BTreeSet<VmAddress>, BTreeSet<VmAddress>) = (vms(3), vms(8_000));

    let all_join = members_changed_fields(&few, &many, &BTreeSet::new());
    let one_leaves = members_changed_fields(&few, &vms(2), &BTreeSet::new());

    assert!(all_join.to_string().len() < 400, "{all_join}");
    assert_eq!((&all_join["live"], &all_join["live_before"]), (&json!(8_000), &json!(3)));
    assert_eq!(one_leaves["left"], json!(["10.0.0.1:2"]));
    assert_eq!(one_leaves["joined"], json!([]));
}
