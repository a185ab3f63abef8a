//! Tests of the stand-in platform through `PlatformStore`, and of its parts.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{ListedState, ListedVm, ObjectName, Platform, PlatformError, Precondition};
use papayastack_platform::PlatformStore;
use serde_json::json;
use tokio::net::TcpStream;

use super::store::{HistoryGone, Store, WriteOutcome};
use super::token_bucket::TokenBucket;
use super::*;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn object_name() -> ObjectName {
    ObjectName::new("ledger", "bucket 3/slot é")
}

async fn bind_with_client() -> (PlatformStandin, Arc<PlatformStore>) {
    let standin = PlatformStandin::bind(any_port()).await.unwrap();
    let client = Arc::new(PlatformStore::open(vec![standin.address()]));
    (standin, client)
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn wait_until_refused(address: SocketAddr) {
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn an_object_is_created_read_updated_listed_and_deleted() {
    let (_standin, client) = bind_with_client().await;

    let first = client.update(&object_name(), Precondition::Absent, json!({"a": 1})).await.unwrap();
    let second =
        client.update(&object_name(), Precondition::Version(first), json!({"a": 2})).await.unwrap();
    let object = client.read(&object_name()).await.unwrap();
    let listed = client.list("ledger").await.unwrap();
    client.delete(&object_name(), second).await.unwrap();

    assert_eq!((object.version, object.value), (second, json!({"a": 2})));
    assert_eq!(listed, [object_name()]);
    assert_eq!(client.read(&object_name()).await, Err(PlatformError::NotFound));
}

#[tokio::test]
async fn a_recreated_object_does_not_reuse_a_version() {
    let (_standin, client) = bind_with_client().await;
    let first = client.update(&object_name(), Precondition::Absent, json!(1)).await.unwrap();
    client.delete(&object_name(), first).await.unwrap();

    let second = client.update(&object_name(), Precondition::Absent, json!(2)).await.unwrap();

    assert!(second > first);
    let late = client.update(&object_name(), Precondition::Version(first), json!(3)).await;
    assert_eq!(late, Err(PlatformError::Conflict));
}

#[tokio::test]
async fn exactly_one_of_concurrent_conditional_updates_succeeds() {
    let (standin, client) = bind_with_client().await;
    let base = client.update(&object_name(), Precondition::Absent, json!(0)).await.unwrap();

    let updates: Vec<_> = (1..=8)
        .map(|number| {
            let client = Arc::clone(&client);
            tokio::spawn(async move {
                client.update(&object_name(), Precondition::Version(base), json!(number)).await
            })
        })
        .collect();
    let mut outcomes = Vec::new();
    for update in updates {
        outcomes.push(update.await.unwrap());
    }

    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1);
    let conflict = Err(PlatformError::Conflict);
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == conflict).count(), 7);
    assert_eq!(standin.counts().conflicts, 7);
}

#[test]
fn a_store_back_from_an_older_copy_loses_later_changes_and_gives_their_revisions_out_again() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut store = Store::default();
    let name = |text: &str| ObjectName::new("ledger", text);
    let (old, lost) = (name("old"), name("lost"));
    store.create(&old, json!(1), Vec::new(), at(0));
    let copied = store.revision();
    store.replace(&old, None, json!(2), None, at(1_000));
    store.create(&lost, json!(1), Vec::new(), at(1_100));
    let newest = store.revision();

    store.restore(Duration::from_millis(1_500), at(2_000));

    assert_eq!((store.era(), store.revision()), (2, copied));
    assert_eq!(store.read(&old).map(|stored| stored.spec), Some(json!(1)));
    assert_eq!(store.read(&lost), None);
    assert_eq!(store.events("ledger", newest), Err(HistoryGone));
    store.create(&name("later"), json!(1), Vec::new(), at(2_100));
    assert_eq!(store.revision(), copied + 1);
}

// Guards against an update that replaces other content because the store has given the revision of
// its precondition out again.
#[tokio::test]
async fn a_version_from_before_an_older_copy_matches_nothing_after_it() {
    let (standin, client) = bind_with_client().await;
    let name = object_name();
    client.update(&name, Precondition::Absent, json!(1)).await.unwrap();
    let copied_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(5)).await;
    let first = client.read(&name).await.unwrap().version;
    let lost = client.update(&name, Precondition::Version(first), json!(2)).await.unwrap();

    standin.restore_copy(copied_at.elapsed());
    standin.put_object(&name, json!(3));
    let late = client.update(&name, Precondition::Version(lost), json!(4)).await;

    // The first answer of the new era cannot say what the update replaced.
    assert_eq!(late, Err(PlatformError::AnswerLost));
    let again = client.update(&name, Precondition::Version(lost), json!(5)).await;
    assert_eq!(again, Err(PlatformError::Conflict));
    assert!(client.read(&name).await.unwrap().version > lost);
}

#[tokio::test]
async fn a_watch_returns_the_next_version_or_nothing() {
    let (standin, client) = bind_with_client().await;
    let version = client.update(&object_name(), Precondition::Absent, json!(1)).await.unwrap();
    let watching = {
        let client = Arc::clone(&client);
        tokio::spawn(async move { client.watch(&object_name(), version, TEST_TIMEOUT).await })
    };
    wait_until(|| standin.counts().watches_waiting == 1).await;

    let next =
        client.update(&object_name(), Precondition::Version(version), json!(2)).await.unwrap();

    let seen = watching.await.unwrap().unwrap().unwrap();
    assert_eq!((seen.version, seen.value), (next, json!(2)));
    let nothing = client.watch(&object_name(), next, Duration::from_millis(5)).await;
    assert_eq!(nothing, Ok(None));
    assert_eq!(standin.counts().watches, 2);
}

#[tokio::test]
async fn an_outage_refuses_calls_and_ends_watches() {
    let (standin, client) = bind_with_client().await;
    let watching = {
        let client = Arc::clone(&client);
        tokio::spawn(async move { client.watch(&object_name(), 0, TEST_TIMEOUT).await })
    };
    wait_until(|| standin.counts().watches_waiting == 1).await;

    standin.change_behaviour(|behaviour| behaviour.unavailable = true);
    let update = client.update(&object_name(), Precondition::Absent, json!(1)).await;

    assert_eq!(update, Err(PlatformError::Unavailable));
    assert_eq!(watching.await.unwrap(), Err(PlatformError::Unavailable));
    standin.change_behaviour(|behaviour| behaviour.unavailable = false);
    assert_eq!(client.read(&object_name()).await, Err(PlatformError::NotFound));
}

#[tokio::test]
async fn an_unreachable_platform_is_unavailable_and_calls_fail_over() {
    let (first, client) = bind_with_client().await;
    let (second, _) = bind_with_client().await;
    first.change_behaviour(|behaviour| behaviour.unreachable = true);
    wait_until_refused(first.address()).await;
    let two_addresses = PlatformStore::open(vec![first.address(), second.address()]);

    let unreachable_only = client.update(&object_name(), Precondition::Absent, json!(1)).await;
    let failed_over = two_addresses.update(&object_name(), Precondition::Absent, json!(1)).await;

    assert_eq!(unreachable_only, Err(PlatformError::Unavailable));
    assert!(failed_over.is_ok(), "{failed_over:?}");
    assert_eq!(second.counts().updates, 1);
}

#[tokio::test]
async fn an_update_with_a_lost_answer_does_not_fail_over() {
    let (first, _) = bind_with_client().await;
    let (second, _) = bind_with_client().await;
    first.change_behaviour(|behaviour| behaviour.lost_after_permille = 1_000);
    let two_addresses = PlatformStore::open(vec![first.address(), second.address()]);

    let outcome = two_addresses.update(&object_name(), Precondition::Absent, json!(1)).await;

    assert_eq!(outcome, Err(PlatformError::AnswerLost));
    assert_eq!(two_addresses.read(&object_name()).await.unwrap().value, json!(1));
    assert_eq!((first.counts().updates, second.counts().updates), (1, 0));
}

#[tokio::test]
async fn an_update_lost_before_it_takes_effect_changes_nothing() {
    let (standin, client) = bind_with_client().await;
    standin.change_behaviour(|behaviour| behaviour.lost_before_permille = 1_000);

    let outcome = client.update(&object_name(), Precondition::Absent, json!(1)).await;

    assert_eq!(outcome, Err(PlatformError::AnswerLost));
    assert_eq!(client.read(&object_name()).await, Err(PlatformError::NotFound));
}

#[tokio::test]
async fn a_value_beyond_the_limit_is_rejected() {
    let (_standin, client) = bind_with_client().await;
    let large = json!("x".repeat(1_000_000));

    let outcome = client.update(&object_name(), Precondition::Absent, large).await;

    assert!(matches!(outcome, Err(PlatformError::Rejected { .. })), "{outcome:?}");
}

#[tokio::test]
async fn calls_beyond_the_rate_limit_get_a_retry_delay() {
    let (standin, client) = bind_with_client().await;
    standin.change_behaviour(|behaviour| behaviour.writes_per_s = 1);

    let mut refused = None;
    while refused.is_none() {
        let object = object_name();
        let calls = (0..8).map(|_| client.update(&object, Precondition::Absent, json!(1)));
        for outcome in futures_util::future::join_all(calls).await {
            if let Err(PlatformError::RateLimited { retry_after }) = outcome {
                refused = Some(retry_after);
            }
        }
    }

    assert!(refused.unwrap() <= Duration::from_secs(2), "{refused:?}");
    assert!(standin.counts().rate_limited > 0);
}

#[tokio::test]
async fn the_list_of_vms_lags_by_the_configured_time() {
    let (standin, client) = bind_with_client().await;
    let vm = ListedVm {
        address: "127.0.0.1:7101".parse().unwrap(),
        data_centre: "rennes".to_owned(),
        entry_vm: true,
        state: ListedState::Live,
    };
    standin.change_behaviour(|behaviour| behaviour.list_lag_ms = 3_600_000);

    standin.put_vm(vm.clone());
    let lagging = client.vms().await.unwrap();
    standin.change_behaviour(|behaviour| behaviour.list_lag_ms = 0);
    let current = client.vms().await.unwrap();

    assert_eq!(lagging, []);
    assert_eq!(current, [vm]);
}

#[test]
fn the_token_bucket_refills_over_time() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(4, start);

    let burst = [bucket.take(4, start), bucket.take(4, start), bucket.take(4, start)];
    let later = bucket.take(4, start + Duration::from_millis(250));

    assert_eq!(burst, [Ok(()), Ok(()), Err(Duration::from_millis(250))]);
    assert_eq!(later, Ok(()));
}

#[test]
fn a_stale_replica_shows_an_earlier_version() {
    let start = Instant::now();
    let lag = Duration::from_secs(2);
    let later = start + Duration::from_secs(3);
    let mut store = Store::default();
    let first = store.create(&object_name(), json!(1), Vec::new(), start);
    let WriteOutcome::Applied(first) = first else { panic!("{first:?}") };
    store.replace(&object_name(), Some(first.meta.revision), json!(2), None, later);

    let stale = store.read_stale(&object_name(), later, lag).unwrap();
    let before_any = store.read_stale(&object_name(), start, lag);

    assert_eq!(stale, first);
    assert!(store.read(&object_name()).unwrap().meta.revision > first.meta.revision);
    assert_eq!(before_any, None);
}

#[test]
fn a_write_of_the_same_content_makes_no_revision_and_no_event() {
    let now = Instant::now();
    let mut store = Store::default();
    store.create(&object_name(), json!(1), Vec::new(), now);
    let before = store.revision();

    store.replace(&object_name(), None, json!(1), None, now);

    assert_eq!(store.revision(), before);
    assert_eq!(store.events("ledger", before), Ok(Vec::new()));
}

#[test]
fn an_object_with_finalizers_is_removed_after_they_are_gone() {
    let now = Instant::now();
    let mut store = Store::default();
    store.create(&object_name(), json!(1), vec!["audit".to_owned()], now);

    store.remove(&object_name(), None, now);
    assert!(store.read(&object_name()).unwrap().meta.delete_pending);
    store.replace(&object_name(), None, json!(1), Some(Vec::new()), now);

    assert_eq!(store.read(&object_name()), None);
}

#[test]
fn a_watch_of_discarded_changes_fails() {
    let now = Instant::now();
    let mut store = Store::default();
    let before = store.revision();
    store.create(&object_name(), json!(1), Vec::new(), now);

    store.compact();

    assert_eq!(store.events("ledger", before), Err(HistoryGone));
    assert_eq!(store.events("ledger", store.revision()), Ok(Vec::new()));
}

#[tokio::test]
async fn a_list_of_several_pages_is_read_completely() {
    let (standin, client) = bind_with_client().await;
    standin.change_behaviour(|behaviour| behaviour.page_max = 2);
    for number in 0..5 {
        let name = ObjectName::new("ledger", format!("bucket {number}"));
        client.update(&name, Precondition::Absent, json!(number)).await.unwrap();
    }

    let names = client.list("ledger").await.unwrap();

    assert_eq!(names.len(), 5);
    assert_eq!(standin.counts().lists, 3);
}

#[tokio::test]
async fn a_watch_continues_after_the_history_is_discarded() {
    let (standin, client) = bind_with_client().await;
    let first = client.update(&object_name(), Precondition::Absent, json!(1)).await.unwrap();
    let second =
        client.update(&object_name(), Precondition::Version(first), json!(2)).await.unwrap();
    standin.compact();

    let seen = client.watch(&object_name(), first, TEST_TIMEOUT).await.unwrap().unwrap();

    assert_eq!((seen.version, seen.value), (second, json!(2)));
}

#[tokio::test]
async fn an_update_can_take_effect_late_without_an_answer() {
    let (standin, client) = bind_with_client().await;
    standin.change_behaviour(|behaviour| {
        behaviour.late_permille = 1_000;
        behaviour.late_ms = 5;
    });

    let outcome = client.update(&object_name(), Precondition::Absent, json!(1)).await;

    assert_eq!(outcome, Err(PlatformError::AnswerLost));
    while client.read(&object_name()).await == Err(PlatformError::NotFound) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
