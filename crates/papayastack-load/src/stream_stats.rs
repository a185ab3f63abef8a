//! Statistics of one load stream.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use papayastack::{Answer, Certainty};

use crate::check::{CheckError, check_submission};

const LATENCY_MAX_US: u64 = 600_000_000;
const PRECISION_DIGITS: u8 = 3;
/// An answer counts as late only this long after its deadline, to allow for its way back to the
/// caller.
const LATE_MARGIN: Duration = Duration::from_millis(20);

/// Counts and latencies of one load stream, without the warm-up.
#[derive(Debug, Clone)]
pub(crate) struct StreamStats {
    pub(crate) arrived: u64,
    pub(crate) dropped: u64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) refused: BTreeMap<String, u64>,
    pub(crate) failed: u64,
    pub(crate) late: u64,
    pub(crate) checked: u64,
    pub(crate) wrong: BTreeMap<&'static str, u64>,
    pub(crate) missing: BTreeMap<String, u64>,
    pub(crate) shards_total: u64,
    pub(crate) shards_answered: u64,
    pub(crate) latency_us: Histogram<u64>,
    /// The outcome that the caller received for each submission, by submission key.
    pub(crate) reported_outcomes: BTreeMap<String, ReportedOutcome>,
}

/// The outcome of a submission as its caller received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportedOutcome {
    Done,
    NotRun,
    Unknown,
}

impl From<Certainty> for ReportedOutcome {
    fn from(certainty: Certainty) -> Self {
        match certainty {
            Certainty::NotRun => Self::NotRun,
            Certainty::OutcomeUnknown => Self::Unknown,
        }
    }
}

impl StreamStats {
    pub(crate) fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_MAX_US, PRECISION_DIGITS)
            .expect("the bounds of the histogram are valid");
        Self {
            arrived: 0,
            dropped: 0,
            complete: 0,
            partial: 0,
            refused: BTreeMap::new(),
            failed: 0,
            late: 0,
            checked: 0,
            wrong: BTreeMap::new(),
            missing: BTreeMap::new(),
            shards_total: 0,
            shards_answered: 0,
            latency_us,
            reported_outcomes: BTreeMap::new(),
        }
    }

    /// Counts a query answer; `latency` runs from the planned arrival.
    pub(crate) fn record_answer(&mut self, answer: &Answer, latency: Duration, deadline: Duration) {
        let coverage = answer.coverage();
        if coverage.complete().is_some() {
            self.complete += 1;
        } else {
            self.partial += 1;
        }
        self.shards_total += shard_count(answer);
        self.shards_answered += coverage.answered().len() as u64;
        for reason in coverage.missing().values() {
            *self.missing.entry(wire_name(reason)).or_default() += 1;
        }
        self.record_latency(latency, deadline);
    }

    /// Counts a submission that completed.
    pub(crate) fn record_submission(&mut self, latency: Duration, deadline: Duration) {
        self.complete += 1;
        self.record_latency(latency, deadline);
    }

    /// Compares the outcome that each caller received with the number of executions of its key.
    pub(crate) fn check_submissions(&mut self, executions: &BTreeMap<String, u64>) {
        for (key, outcome) in std::mem::take(&mut self.reported_outcomes) {
            let executed = executions.get(&key).copied().unwrap_or(0);
            self.record_check(check_submission(outcome, executed));
        }
    }

    fn record_latency(&mut self, latency: Duration, deadline: Duration) {
        self.late += u64::from(latency > deadline + LATE_MARGIN);
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
        self.latency_us.saturating_record(latency_us.max(1));
    }

    /// Counts the result of checking one answer or one submission.
    pub(crate) fn record_check(&mut self, result: Result<(), CheckError>) {
        self.checked += 1;
        if let Err(wrong) = result {
            *self.wrong.entry(wrong.name()).or_default() += 1;
        }
    }

    /// Counts a refusal under its reason and certainty.
    pub(crate) fn record_refusal(&mut self, refusal: &papayastack::Refusal) {
        let kind = format!("{}/{}", wire_name(&refusal.reason()), wire_name(&refusal.certainty()));
        *self.refused.entry(kind).or_default() += 1;
    }

    /// Returns the number of answers, complete or partial.
    pub(crate) fn answers(&self) -> u64 {
        self.complete + self.partial
    }

    /// Returns the number of refusals.
    pub(crate) fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// Returns the number of shards in the coverage of an answer, answered or missing.
pub(crate) fn shard_count(answer: &Answer) -> u64 {
    let coverage = answer.coverage();
    (coverage.answered().len() + coverage.missing().len()) as u64
}

fn wire_name<T: serde::Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        other => format!("{other:?}"),
    }
}
