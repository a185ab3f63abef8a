//! Tests of the decision to send a request again.

use std::time::Duration;

use super::fixtures::refused;
use crate::caller::client::retry::{AttemptFailure, CallKind, Decision, RetryBudget, decide};
use crate::outcome::RefusalReason;

const PLENTY: Duration = Duration::from_secs(1);

fn not_connected() -> AttemptFailure {
    AttemptFailure::NotConnected { detail: String::new() }
}

fn no_answer() -> AttemptFailure {
    AttemptFailure::NoAnswer { detail: String::new() }
}

fn refusal(reason: RefusalReason, handed_over: bool, wait: Option<Duration>) -> AttemptFailure {
    AttemptFailure::Refused(refused("r", reason, handed_over, wait).refusal)
}

fn decide_first(kind: CallKind, failure: &AttemptFailure) -> Decision {
    decide(kind, failure, 1, PLENTY, true, &mut RetryBudget::new())
}

#[test]
fn a_submission_without_key_is_repeated_only_if_it_did_not_run() {
    let kind = CallKind::UnkeyedSubmission;

    assert_eq!(decide_first(kind, &not_connected()), Decision::Elsewhere);
    assert_eq!(decide_first(kind, &no_answer()), Decision::GiveUp);
    let returned = refusal(RefusalReason::Leaving, false, None);
    assert_eq!(decide_first(kind, &returned), Decision::Elsewhere);
    let unknown = refusal(RefusalReason::UpstreamUnavailable, true, None);
    assert_eq!(decide_first(kind, &unknown), Decision::GiveUp);
}

#[test]
fn queries_and_keyed_submissions_are_repeated_after_silence() {
    for kind in [CallKind::Query, CallKind::KeyedSubmission] {
        assert_eq!(decide_first(kind, &no_answer()), Decision::Elsewhere);
    }
}

#[test]
fn what_cannot_succeed_is_not_repeated() {
    use RefusalReason as Reason;
    let hopeless = [
        Reason::BadRequest,
        Reason::UnknownService,
        Reason::DeadlineTooShort,
        Reason::DeadlineExceeded,
        Reason::Conflict,
        Reason::NoLongerKnown,
        Reason::EarlierAttemptUnknown,
    ];

    for reason in hopeless {
        let decision = decide_first(CallKind::KeyedSubmission, &refusal(reason, false, None));
        assert_eq!(decision, Decision::GiveUp, "{reason:?}");
    }
}

#[test]
fn a_pause_is_kept_only_if_it_ends_before_the_deadline() {
    let short = refusal(RefusalReason::InProgress, true, Some(Duration::from_millis(200)));
    let long = refusal(RefusalReason::InProgress, true, Some(Duration::MAX));

    assert_eq!(
        decide_first(CallKind::KeyedSubmission, &short),
        Decision::After(Duration::from_millis(200))
    );
    assert_eq!(decide_first(CallKind::KeyedSubmission, &long), Decision::GiveUp);
}

#[test]
fn no_attempt_starts_without_time_or_without_end() {
    let mut budget = RetryBudget::new();
    let kind = CallKind::Query;

    let late = decide(kind, &no_answer(), 1, Duration::from_millis(5), true, &mut budget);
    let many = decide(kind, &no_answer(), 8, PLENTY, true, &mut budget);

    assert_eq!((late, many), (Decision::GiveUp, Decision::GiveUp));
}

#[test]
fn overload_is_not_answered_with_more_load() {
    let mut budget = RetryBudget::new();
    let overloaded = refusal(RefusalReason::Overloaded, false, None);
    let requests = 1_000;

    let mut retries = 0;
    for _ in 0..requests {
        budget.earn();
        let decision = decide(CallKind::Query, &overloaded, 1, PLENTY, true, &mut budget);
        retries += u32::from(decision != Decision::GiveUp);
    }

    assert!(retries <= requests / 10 + 10, "{retries} retries of {requests} requests");
}
