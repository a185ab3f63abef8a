//! Answers and failures in words.

use std::collections::BTreeMap;
use std::fmt::Write;

use papayastack::{
    AddressesAnswer, CallError, Certainty, Coverage, Hit, MissingReason, QueryAnswer,
    SubmissionAnswer,
};
use serde::Serialize;

const SHARDS_NAMED_MAX: usize = 8;

/// A submission that ran, with its key.
#[derive(Debug, Serialize)]
pub(crate) struct Submitted {
    pub(crate) key: String,
    #[serde(flatten)]
    pub(crate) answer: SubmissionAnswer,
}

/// A call without an answer, as JSON.
#[derive(Debug, Serialize)]
pub(crate) struct Failure {
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    certainty: Certainty,
    reason: serde_json::Value,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Failure {
    pub(crate) fn new(key: Option<String>, error: &CallError) -> Self {
        let reason = match error {
            CallError::Refused(answer) => serde_json::json!(answer.refusal.reason()),
            CallError::NotConnected { .. } => "not_connected".into(),
            CallError::NoAnswer { .. } => "no_answer".into(),
            CallError::Unexpected { .. } => "unexpected_answer".into(),
        };
        let retry_after_ms = retry_after_ms(error);
        Self {
            key,
            certainty: error.certainty(),
            reason,
            detail: error.to_string(),
            retry_after_ms,
        }
    }
}

/// Describes an answer; what its coverage allows comes first.
pub(crate) fn query(answer: &QueryAnswer) -> String {
    let verdict = answer.answer.verdict();
    let coverage = answer.answer.coverage();
    let missing = coverage.missing().len();
    let shards = coverage.answered().len() + missing;
    let source = format!("{}, snapshot {}", answer.answer.service(), coverage.snapshot());
    let mut text = if verdict.is_none_found() {
        format!("None found in {source}: all {shards} shards answered.")
    } else if verdict.is_inconclusive() {
        format!(
            "INCONCLUSIVE: nothing found in {source}, but {missing} of {shards} shards did not \
             answer, so matching documents may exist."
        )
    } else if missing == 0 {
        format!("Found {} in {source}: all {shards} shards answered.", verdict.hits_total())
    } else {
        format!(
            "PARTIAL: found at least {} in {source}, but {missing} of {shards} shards did not \
             answer, so there may be more.",
            verdict.hits_total()
        )
    };
    text.push_str(&missing_lines(coverage));
    text.push_str(&hit_lines(verdict.hits(), verdict.hits_total()));
    let _ = write!(text, "\nRequest {} took {} ms.", answer.request_id, answer.elapsed_ms);
    text
}

/// Describes a submission that ran.
pub(crate) fn submission(submitted: &Submitted) -> String {
    let Submitted { key, answer } = submitted;
    let ran = match answer.repeated {
        true => "It had run before under this key and was not run again.",
        false => "It ran once.",
    };
    format!("Done. {ran} Receipt: {}\nKey: {key}\nRequest {}.", answer.receipt, answer.request_id)
}

/// Lists addresses in the order of preference.
pub(crate) fn addresses(answer: &AddressesAnswer) -> String {
    let mut text = format!("Use these for {} ms, the first ones first:", answer.lifetime_ms);
    for (address, data_centre) in answer.addresses.iter().zip(&answer.data_centres) {
        let _ = write!(text, "\n  {address}  {data_centre}");
    }
    text
}

/// Describes a call without an answer; how certainly it did not run comes first.
pub(crate) fn failure(key: Option<&str>, error: &CallError) -> String {
    let certainty = match error.certainty() {
        Certainty::NotRun => "NOT RUN",
        Certainty::OutcomeUnknown => "OUTCOME UNKNOWN",
    };
    let mut text = format!("{certainty}: {error}.");
    if let Some(wait_ms) = retry_after_ms(error) {
        let _ = write!(text, "\nCome back in {wait_ms} ms.");
    }
    if let Some(key) = key
        && error.certainty() == Certainty::OutcomeUnknown
    {
        let _ = write!(text, "\nSend it again with --key {key}; it then runs at most once.");
    }
    text
}

fn retry_after_ms(error: &CallError) -> Option<u64> {
    let CallError::Refused(answer) = error else { return None };
    let wait = answer.refusal.retry_after()?;
    Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
}

fn missing_lines(coverage: &Coverage) -> String {
    let mut by_reason: BTreeMap<MissingReason, Vec<u32>> = BTreeMap::new();
    for (shard, reason) in coverage.missing() {
        by_reason.entry(*reason).or_default().push(*shard);
    }
    let mut text = String::new();
    for (reason, shards) in by_reason {
        let named: Vec<String> =
            shards.iter().take(SHARDS_NAMED_MAX).map(ToString::to_string).collect();
        let more = if shards.len() > SHARDS_NAMED_MAX { ", ..." } else { "" };
        let count = shards.len();
        let _ = write!(
            text,
            "\n  missing, {}: {count} ({}{more})",
            reason_in_words(reason),
            named.join(", ")
        );
    }
    text
}

fn reason_in_words(reason: MissingReason) -> &'static str {
    match reason {
        MissingReason::DeadlineExceeded => "no answer before the deadline",
        MissingReason::ReplicasUnavailable => "no replica could be reached",
        MissingReason::Overloaded => "every replica is overloaded",
        MissingReason::SnapshotRetired => "the snapshot was retired meanwhile",
        MissingReason::NoReplica => "no replica is known",
        MissingReason::Cancelled => "cancelled",
    }
}

fn hit_lines(hits: &[Hit], hits_total: u64) -> String {
    let mut text = String::new();
    for hit in hits {
        let _ = write!(text, "\n  {}  (score {})  {}", hit.id, hit.score, hit.summary);
    }
    let shown = hits.len() as u64;
    if shown > 0 && shown < hits_total {
        let _ = write!(text, "\n  showing {shown} of {hits_total}; --hits asks for more");
    }
    text
}
