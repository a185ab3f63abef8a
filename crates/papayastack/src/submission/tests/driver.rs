//! Tests of the asynchronous driver, in virtual time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use serde_json::json;

use super::store::{CallFault, MemoryPlatform};
use crate::outcome::{Certainty, Refusal, RefusalReason};
use crate::platform::Platform;
use crate::settings::SubmissionSettings;
use crate::submission::driver::{SubmissionCoordinator, WallClock};
use crate::submission::pruner::LedgerPruner;
use crate::submission::sender::{SendOutcome, Submission, SubmissionDone, SubmissionSender};
use crate::upstream::SubmitRequest;

const START_UNIX_MS: u64 = 1_700_000_000_000;
const DRAIN_WAIT: Duration = Duration::from_secs(30);
const KEY: &str = "1700000000000-a";

/// An upstream that counts executions by key.
#[derive(Default)]
struct CountingUpstream {
    executions: Mutex<BTreeMap<String, u32>>,
    next: Mutex<Option<SendOutcome>>,
}

impl CountingUpstream {
    fn executions_of(&self, key: &str) -> u32 {
        self.executions.lock().unwrap().get(key).copied().unwrap_or_default()
    }

    fn answer_next(&self, outcome: SendOutcome) {
        *self.next.lock().unwrap() = Some(outcome);
    }
}

#[async_trait]
impl SubmissionSender for CountingUpstream {
    async fn send(&self, request: SubmitRequest) -> SendOutcome {
        let next = self.next.lock().unwrap().take();
        if matches!(next, Some(SendOutcome::NotRun { .. })) {
            return next.unwrap();
        }
        *self.executions.lock().unwrap().entry(request.key.clone()).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(30)).await;
        next.unwrap_or_else(|| SendOutcome::Done { receipt: format!("receipt {}", request.key) })
    }
}

struct Fixture {
    platform: Arc<MemoryPlatform>,
    upstream: Arc<CountingUpstream>,
    clock: WallClock,
}

fn fixture() -> Fixture {
    let start = tokio::time::Instant::now();
    let clock: WallClock =
        Arc::new(move || START_UNIX_MS + u64::try_from(start.elapsed().as_millis()).unwrap());
    Fixture { platform: Arc::default(), upstream: Arc::default(), clock }
}

impl Fixture {
    fn coordinator(&self) -> SubmissionCoordinator {
        let platform = Arc::clone(&self.platform) as Arc<dyn Platform>;
        let sender = Arc::clone(&self.upstream) as Arc<dyn SubmissionSender>;
        let settings = SubmissionSettings::default();
        SubmissionCoordinator::spawn_with_clock(platform, settings, sender, Arc::clone(&self.clock))
    }
}

fn submission(key: Option<&str>, body: &str) -> Submission {
    Submission { service: "filings".into(), key: key.map(str::to_owned), body: json!(body) }
}

async fn submit(
    coordinator: &SubmissionCoordinator,
    key: &str,
    body: &str,
) -> Result<SubmissionDone, Refusal> {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(2);
    coordinator.submit(submission(Some(key), body), deadline.into_std()).await
}

fn refusal_kind(result: Result<SubmissionDone, Refusal>) -> (RefusalReason, Certainty) {
    let refusal = result.unwrap_err();
    (refusal.reason(), refusal.certainty())
}

#[tokio::test(start_paused = true)]
async fn a_repeated_key_gets_the_first_outcome() {
    let fixture = fixture();
    let coordinator = fixture.coordinator();

    let first = submit(&coordinator, KEY, "a").await.unwrap();
    let again = submit(&coordinator, KEY, "a").await.unwrap();
    assert!(coordinator.wait_until_drained(DRAIN_WAIT).await);
    let elsewhere = submit(&fixture.coordinator(), KEY, "a").await.unwrap();

    let receipt = format!("receipt {KEY}");
    assert_eq!(first, SubmissionDone { receipt: receipt.clone(), repeated: false });
    assert_eq!(again, SubmissionDone { receipt: receipt.clone(), repeated: true });
    assert_eq!(elsewhere, SubmissionDone { receipt, repeated: true });
    assert_eq!(fixture.upstream.executions_of(KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn a_retry_at_two_vms_at_once_runs_once() {
    let fixture = fixture();
    let (one, other) = (fixture.coordinator(), fixture.coordinator());

    let results = tokio::join!(submit(&one, KEY, "a"), submit(&other, KEY, "a"));

    assert_eq!(fixture.upstream.executions_of(KEY), 1);
    let refused = [results.0, results.1].into_iter().filter_map(Result::err);
    let refused: Vec<_> = refused.map(|it| (it.reason(), it.certainty())).collect();
    assert_eq!(refused, [(RefusalReason::InProgress, Certainty::OutcomeUnknown)]);
}

#[tokio::test(start_paused = true)]
async fn a_retry_at_the_same_vm_joins_the_running_attempt() {
    let fixture = fixture();
    let coordinator = fixture.coordinator();

    let (first, second) =
        tokio::join!(submit(&coordinator, KEY, "a"), submit(&coordinator, KEY, "a"));

    assert!(!first.unwrap().repeated);
    assert!(second.unwrap().repeated);
    assert_eq!(fixture.upstream.executions_of(KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn another_body_under_the_same_key_is_a_conflict() {
    let fixture = fixture();
    let coordinator = fixture.coordinator();
    submit(&coordinator, KEY, "a").await.unwrap();

    let same_vm = submit(&coordinator, KEY, "b").await;
    assert!(coordinator.wait_until_drained(DRAIN_WAIT).await);
    let other_vm = submit(&fixture.coordinator(), KEY, "b").await;

    assert_eq!(refusal_kind(same_vm), (RefusalReason::Conflict, Certainty::NotRun));
    assert_eq!(refusal_kind(other_vm), (RefusalReason::Conflict, Certainty::NotRun));
    assert_eq!(fixture.upstream.executions_of(KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn keys_out_of_bounds_are_refused_before_anything_is_recorded() {
    let fixture = fixture();
    let coordinator = fixture.coordinator();
    let deadline = (tokio::time::Instant::now() + Duration::from_secs(1)).into_std();

    let missing = coordinator.submit(submission(None, "a"), deadline).await;
    let ahead = submit(&coordinator, "1700000005001-a", "a").await;
    let old = submit(&coordinator, "1699913599999-a", "a").await;

    assert!(missing.as_ref().unwrap_err().detail().contains("make one as <unix milliseconds"));
    assert_eq!(refusal_kind(missing), (RefusalReason::BadRequest, Certainty::NotRun));
    assert_eq!(refusal_kind(ahead), (RefusalReason::BadRequest, Certainty::NotRun));
    assert_eq!(refusal_kind(old), (RefusalReason::NoLongerKnown, Certainty::OutcomeUnknown));
    assert!(fixture.platform.take_calls().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_submission_that_provably_did_not_run_runs_on_retry_at_another_vm() {
    let fixture = fixture();
    let shed = SendOutcome::NotRun {
        reason: RefusalReason::Overloaded,
        detail: "no slot is free".into(),
        retry_after: Some(Duration::from_millis(100)),
    };
    fixture.upstream.answer_next(shed);

    let first = submit(&fixture.coordinator(), KEY, "a").await;
    let executions_before = fixture.upstream.executions_of(KEY);
    let retry = submit(&fixture.coordinator(), KEY, "a").await;

    assert_eq!(refusal_kind(first), (RefusalReason::Overloaded, Certainty::NotRun));
    assert_eq!(executions_before, 0);
    assert!(!retry.unwrap().repeated);
    assert_eq!(fixture.upstream.executions_of(KEY), 1);
}

#[tokio::test(start_paused = true)]
async fn a_lost_upstream_answer_is_never_repeated() {
    let fixture = fixture();
    fixture.upstream.answer_next(SendOutcome::Unknown { detail: "connection reset".into() });
    let coordinator = fixture.coordinator();

    let first = submit(&coordinator, KEY, "a").await;
    assert!(coordinator.wait_until_drained(DRAIN_WAIT).await);
    let retry = submit(&fixture.coordinator(), KEY, "a").await;

    assert_eq!(
        refusal_kind(first),
        (RefusalReason::UpstreamUnavailable, Certainty::OutcomeUnknown)
    );
    assert_eq!(
        refusal_kind(retry),
        (RefusalReason::EarlierAttemptUnknown, Certainty::OutcomeUnknown)
    );
    assert_eq!(fixture.upstream.executions_of(KEY), 1);
}

/// The platform calls of a first submission: layout read and write, object read and write, floor
/// read.
const CALLS_BEFORE_SENDING: usize = 5;

#[tokio::test(start_paused = true)]
async fn a_store_outage_at_any_step_before_sending_is_reported_as_not_run() {
    for step in 0..CALLS_BEFORE_SENDING {
        let fixture = fixture();
        let coordinator = fixture.coordinator();
        let mut script = vec![CallFault::None; step];
        script.push(CallFault::Unavailable);
        fixture.platform.script(&script);

        let refused = submit(&coordinator, KEY, "a").await;
        let executions_before = fixture.upstream.executions_of(KEY);
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert!(coordinator.wait_until_drained(DRAIN_WAIT).await);
        let retry = submit(&fixture.coordinator(), KEY, "a").await;

        let not_run = (RefusalReason::StoreUnavailable, Certainty::NotRun);
        assert_eq!(refusal_kind(refused), not_run, "step {step}");
        assert_eq!(executions_before, 0, "step {step}");
        assert!(!retry.unwrap().repeated, "step {step}");
        assert_eq!(fixture.upstream.executions_of(KEY), 1, "step {step}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_platform_answer_is_resolved_by_reading_back() {
    for fault in [CallFault::LostBefore, CallFault::LostAfter] {
        for step in [1, 3] {
            let fixture = fixture();
            let coordinator = fixture.coordinator();
            let mut script = vec![CallFault::None; step];
            script.push(fault);
            fixture.platform.script(&script);

            let done = submit(&coordinator, KEY, "a").await;

            assert!(!done.unwrap().repeated, "{fault:?} at step {step}");
            assert_eq!(fixture.upstream.executions_of(KEY), 1, "{fault:?} at step {step}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn draining_ends_at_its_time_limit_while_the_store_is_down() {
    let fixture = fixture();
    let coordinator = fixture.coordinator();
    submit(&coordinator, KEY, "a").await.unwrap();
    fixture.platform.script(&vec![CallFault::Unavailable; 20]);

    let in_time = coordinator.wait_until_drained(Duration::from_secs(5)).await;
    let later = coordinator.wait_until_drained(Duration::from_secs(600)).await;
    let elsewhere = submit(&fixture.coordinator(), KEY, "a").await.unwrap();

    assert_eq!((in_time, later), (false, true));
    assert!(elsewhere.repeated);
}

#[tokio::test(start_paused = true)]
async fn an_intent_recorded_before_the_deadline_is_not_sent_after_it() {
    let fixture = fixture();
    let coordinator = fixture.coordinator();
    let mut script = vec![CallFault::None; CALLS_BEFORE_SENDING - 1];
    script.push(CallFault::Slow(1_900));
    fixture.platform.script(&script);
    let deadline = (tokio::time::Instant::now() + Duration::from_secs(1)).into_std();

    let refused = coordinator.submit(submission(Some(KEY), "a"), deadline).await;
    assert!(coordinator.wait_until_drained(DRAIN_WAIT).await);
    let executions_before = fixture.upstream.executions_of(KEY);
    let retry = submit(&fixture.coordinator(), KEY, "a").await;

    assert_eq!(refusal_kind(refused), (RefusalReason::DeadlineExceeded, Certainty::NotRun));
    assert_eq!(executions_before, 0);
    assert!(!retry.unwrap().repeated);
}

#[tokio::test(start_paused = true)]
async fn the_pruner_deletes_objects_older_than_the_retention_window() {
    let fixture = fixture();
    let coordinator = fixture.coordinator();
    submit(&coordinator, KEY, "a").await.unwrap();
    let platform = Arc::clone(&fixture.platform) as Arc<dyn Platform>;
    let pass_settings = || Some(SubmissionSettings::default());
    let _pruner =
        LedgerPruner::spawn_with_clock(platform, pass_settings, Arc::clone(&fixture.clock));

    tokio::time::sleep(Duration::from_secs(30 * 3_600)).await;
    let newer = format!("{}-b", (fixture.clock)());
    submit(&coordinator, &newer, "a").await.unwrap();
    let kept = fixture.platform.names("ledger").len();
    tokio::time::sleep(Duration::from_secs(3_600)).await;
    let left = fixture.platform.names("ledger");
    let pruned = submit(&coordinator, KEY, "a").await;

    assert_eq!((kept, left.len()), (2, 1));
    assert_eq!(fixture.platform.names("ledger-era").len(), 1);
    assert_eq!(refusal_kind(pruned), (RefusalReason::NoLongerKnown, Certainty::OutcomeUnknown));
    assert!(submit(&coordinator, &newer, "a").await.unwrap().repeated);
}
