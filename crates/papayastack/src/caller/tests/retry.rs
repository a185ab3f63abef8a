//! Tests of the retry policy.

use std::time::Duration;

use super::fixtures::refused;
use crate::caller::client::retry::{AttemptFailure, CallKind, RetryBudget, RetryDecision, decide};
use crate::outcome::RefusalReason;

const AMPLE_TIME: Duration = Duration::from_secs(1);

fn not_connected() -> AttemptFailure {
    AttemptFailure::NotConnected { detail: String::new() }
}

fn no_answer() -> AttemptFailure {
    AttemptFailure::NoAnswer { detail: String::new() }
}

fn refusal(reason: RefusalReason, handed_over: bool, wait: Option<Duration>) -> AttemptFailure {
    AttemptFailure::Refused(refused("r", reason, handed_over, wait).refusal)
}

fn decide_first(kind: CallKind, failure: &AttemptFailure) -> RetryDecision {
    decide(kind, failure, 1, AMPLE_TIME, true, &mut RetryBudget::new())
}

#[test]
fn a_submission_without_key_is_retried_only_if_it_did_not_run() {
    let kind = CallKind::UnkeyedSubmission;

    assert_eq!(decide_first(kind, &not_connected()), RetryDecision::OtherAddress);
    assert_eq!(decide_first(kind, &no_answer()), RetryDecision::GiveUp);
    let returned = refusal(RefusalReason::Leaving, false, None);
    assert_eq!(decide_first(kind, &returned), RetryDecision::OtherAddress);
    let unknown = refusal(RefusalReason::UpstreamUnavailable, true, None);
    assert_eq!(decide_first(kind, &unknown), RetryDecision::GiveUp);
}

#[test]
fn queries_and_keyed_submissions_are_retried_after_a_lost_answer() {
    for kind in [CallKind::Query, CallKind::KeyedSubmission] {
        assert_eq!(decide_first(kind, &no_answer()), RetryDecision::OtherAddress);
    }
}

#[test]
fn permanent_refusals_are_not_retried() {
    use RefusalReason as Reason;
    let permanent = [
        Reason::BadRequest,
        Reason::UnknownService,
        Reason::DeadlineTooShort,
        Reason::DeadlineExceeded,
        Reason::Conflict,
        Reason::NoLongerKnown,
        Reason::EarlierAttemptUnknown,
    ];

    for reason in permanent {
        let decision = decide_first(CallKind::KeyedSubmission, &refusal(reason, false, None));
        assert_eq!(decision, RetryDecision::GiveUp, "{reason:?}");
    }
}

#[test]
fn a_retry_is_given_up_if_its_pause_ends_after_the_deadline() {
    let short = refusal(RefusalReason::InProgress, true, Some(Duration::from_millis(200)));
    let long = refusal(RefusalReason::InProgress, true, Some(Duration::MAX));

    assert_eq!(
        decide_first(CallKind::KeyedSubmission, &short),
        RetryDecision::AfterPause(Duration::from_millis(200))
    );
    assert_eq!(decide_first(CallKind::KeyedSubmission, &long), RetryDecision::GiveUp);
}

#[test]
fn no_retry_starts_without_time_left_or_beyond_the_attempt_limit() {
    let mut budget = RetryBudget::new();
    let kind = CallKind::Query;

    let late = decide(kind, &no_answer(), 1, Duration::from_millis(5), true, &mut budget);
    let many = decide(kind, &no_answer(), 8, AMPLE_TIME, true, &mut budget);

    assert_eq!((late, many), (RetryDecision::GiveUp, RetryDecision::GiveUp));
}

#[test]
fn retries_of_overloaded_requests_are_bounded_by_the_budget() {
    let mut budget = RetryBudget::new();
    let overloaded = refusal(RefusalReason::Overloaded, false, None);
    let requests = 1_000;

    let mut retries = 0;
    for _ in 0..requests {
        budget.add_tokens();
        let decision = decide(CallKind::Query, &overloaded, 1, AMPLE_TIME, true, &mut budget);
        retries += u32::from(decision != RetryDecision::GiveUp);
    }

    assert!(retries <= requests / 10 + 10, "{retries} retries of {requests} requests");
}
