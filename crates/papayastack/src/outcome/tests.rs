//! Tests of answers, coverage and refusals.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

fn coverage(answered: &[u32], missing: &[u32]) -> Coverage {
    let missing = missing.iter().map(|shard| (*shard, MissingReason::DeadlineExceeded));
    Coverage::new(7, answered.iter().copied().collect(), missing.collect()).unwrap()
}

fn partial(snapshot: u64, shard: u32, ids: &[&str]) -> Partial {
    let hit = |id: &&str| Hit { id: (*id).to_owned(), score: 1, summary: String::new() };
    let hits: Vec<Hit> = ids.iter().map(hit).collect();
    Partial { snapshot, shard, hits_total: hits.len() as u64, hits }
}

#[test]
fn none_found_needs_complete_coverage() {
    let complete =
        Answer::merge("s".into(), coverage(&[0], &[]), &[partial(7, 0, &[])], 10).unwrap();
    let incomplete =
        Answer::merge("s".into(), coverage(&[0], &[1]), &[partial(7, 0, &[])], 10).unwrap();

    assert!(complete.verdict().is_none_found());
    assert!(incomplete.verdict().is_inconclusive());
}

#[test]
fn partials_of_different_snapshots_are_not_merged() {
    let partials = [partial(7, 0, &["a"]), partial(8, 1, &["b"])];

    let merged = Answer::merge("s".into(), coverage(&[0, 1], &[]), &partials, 10);

    assert_eq!(merged, Err(MergeError::OtherSnapshot { expected: 7, received: 8 }));
}

#[test]
fn a_shard_with_two_partials_is_rejected() {
    let twice = [partial(7, 0, &["a"]), partial(7, 0, &["a"])];

    let merged = Answer::merge("s".into(), coverage(&[0], &[]), &twice, 10);

    assert_eq!(merged, Err(MergeError::UnexpectedShard { shard: 0 }));
}

#[test]
fn a_forged_none_found_is_rejected_when_decoded() {
    let answer =
        Answer::merge("s".into(), coverage(&[0], &[1]), &[partial(7, 0, &[])], 10).unwrap();
    let text = serde_json::to_string(&answer).unwrap();

    let forged = text.replace("inconclusive", "none_found");

    assert_eq!(serde_json::from_str::<Answer>(&text).unwrap(), answer);
    assert!(serde_json::from_str::<Answer>(&forged).is_err());
}

#[test]
fn a_contradictory_coverage_is_rejected() {
    let missing = BTreeMap::from([(1, MissingReason::Overloaded)]);

    let coverage = Coverage::new(7, BTreeSet::from([1]), missing);

    assert_eq!(coverage, Err(CoverageError::Contradictory { shard: 1 }));
}

#[test]
fn not_run_is_claimed_only_if_every_recipient_confirmed_it() {
    let mut delivery = DeliveryRecord::new();
    delivery.sent_to("a");
    delivery.sent_to("b");
    delivery.confirmed_not_run("a");

    let refusal = delivery.refuse(RefusalReason::Overloaded, "busy", None);

    assert_eq!(refusal.certainty(), Certainty::OutcomeUnknown);
    assert_eq!(DeliveryRecord::new().certainty(), Certainty::NotRun);
}

#[test]
fn a_partial_answer_is_decoded_from_a_flattened_field() {
    #[papayastack_macros::message]
    struct Envelope {
        request_id: String,
        #[serde(flatten)]
        answer: Answer,
    }
    let answer =
        Answer::merge("s".into(), coverage(&[0], &[1, 12]), &[partial(7, 0, &[])], 10).unwrap();
    let envelope = Envelope { request_id: "r".to_owned(), answer };

    let text = serde_json::to_string(&envelope).unwrap();

    assert_eq!(serde_json::from_str::<Envelope>(&text).unwrap(), envelope);
}
