//! Formats answers and failures as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use papayastack::{
    AddressesAnswer, CallError, Certainty, Coverage, Hit, MissingReason, QueryAnswer,
    SubmissionAnswer,
};
use serde::Serialize;

const SHARDS_LISTED_MAX: usize = 8;

/// The answer to a submission that ran, with its key.
#[derive(Debug, Serialize)]
pub(crate) struct Submitted {
    pub(crate) key: String,
    #[serde(flatten)]
    pub(crate) answer: SubmissionAnswer,
}

/// A failed call, as JSON.
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

/// Formats the answer to a query, starting with what its coverage allows to conclude.
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

/// Formats the answer to a submission that ran.
pub(crate) fn submission(submitted: &Submitted) -> String {
    let Submitted { key, answer } = submitted;
    let ran = match answer.repeated {
        true => "It had run before under this key and was not run again.",
        false => "It ran once.",
    };
    format!("Done. {ran} Receipt: {}\nKey: {key}\nRequest {}.", answer.receipt, answer.request_id)
}

/// Formats addresses in the order of preference.
pub(crate) fn addresses(answer: &AddressesAnswer) -> String {
    let mut text =
        format!("Addresses for the next {} ms, in order of preference:", answer.lifetime_ms);
    for (address, data_centre) in answer.addresses.iter().zip(&answer.data_centres) {
        let _ = write!(text, "\n  {address}  {data_centre}");
    }
    text
}

/// Formats a failed call, starting with whether it may have run.
pub(crate) fn failure(key: Option<&str>, error: &CallError) -> String {
    let certainty = match error.certainty() {
        Certainty::NotRun => "NOT RUN",
        Certainty::OutcomeUnknown => "OUTCOME UNKNOWN",
    };
    let mut text = format!("{certainty}: {error}.");
    if let Some(wait_ms) = retry_after_ms(error) {
        let _ = write!(text, "\nRetry after {wait_ms} ms.");
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
        let listed: Vec<String> =
            shards.iter().take(SHARDS_LISTED_MAX).map(ToString::to_string).collect();
        let more = if shards.len() > SHARDS_LISTED_MAX { ", ..." } else { "" };
        let count = shards.len();
        let _ = write!(
            text,
            "\n  missing, {}: {count} ({}{more})",
            reason_text(reason),
            listed.join(", ")
        );
    }
    text
}

fn reason_text(reason: MissingReason) -> &'static str {
    match reason {
        MissingReason::DeadlineExceeded => "no answer before the deadline",
        MissingReason::ReplicasUnavailable => "no replica could be reached",
        MissingReason::Overloaded => "every replica is overloaded",
        MissingReason::SnapshotRetired => "the snapshot was retired during the query",
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
