//! What one load stream has seen.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use papayastack::{Answer, Certainty};

use crate::check::{Wrong, check_submission};

const LATENCY_MAX_US: u64 = 600_000_000;
const PRECISION_DIGITS: u8 = 3;
/// The time that the way back to the caller may take after the deadline.
const LATE_MARGIN: Duration = Duration::from_millis(20);

/// Counts and latencies of one load stream, without the warm-up.
#[derive(Debug, Clone)]
pub(crate) struct Tally {
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
    pub(crate) shards_named: u64,
    pub(crate) shards_answered: u64,
    pub(crate) latency_us: Histogram<u64>,
    /// What the caller was told of each submission, by key.
    pub(crate) told: BTreeMap<String, Told>,
}

/// What a caller was told of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Told {
    Done,
    NotRun,
    Unknown,
}

impl From<Certainty> for Told {
    fn from(certainty: Certainty) -> Self {
        match certainty {
            Certainty::NotRun => Self::NotRun,
            Certainty::OutcomeUnknown => Self::Unknown,
        }
    }
}

impl Tally {
    /// Starts empty.
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
            shards_named: 0,
            shards_answered: 0,
            latency_us,
            told: BTreeMap::new(),
        }
    }

    /// Counts an answer that took `latency`, from the planned arrival on.
    pub(crate) fn answered(&mut self, answer: &Answer, latency: Duration, deadline: Duration) {
        let coverage = answer.coverage();
        if coverage.complete().is_some() {
            self.complete += 1;
        } else {
            self.partial += 1;
        }
        self.shards_named += shards_named(answer);
        self.shards_answered += coverage.answered().len() as u64;
        for reason in coverage.missing().values() {
            *self.missing.entry(word(reason)).or_default() += 1;
        }
        self.took(latency, deadline);
    }

    /// Counts a submission that is done.
    pub(crate) fn submitted(&mut self, latency: Duration, deadline: Duration) {
        self.complete += 1;
        self.took(latency, deadline);
    }

    /// Compares what callers were told of submissions with what ran, by key.
    pub(crate) fn compare_submissions(&mut self, executions: &BTreeMap<String, u64>) {
        for (key, told) in std::mem::take(&mut self.told) {
            let ran = executions.get(&key).copied().unwrap_or(0);
            self.compared(check_submission(told, ran));
        }
    }

    fn took(&mut self, latency: Duration, deadline: Duration) {
        self.late += u64::from(latency > deadline + LATE_MARGIN);
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
        self.latency_us.saturating_record(latency_us.max(1));
    }

    /// Counts the result of a comparison with the naive search.
    pub(crate) fn compared(&mut self, result: Result<(), Wrong>) {
        self.checked += 1;
        if let Err(wrong) = result {
            *self.wrong.entry(wrong.name()).or_default() += 1;
        }
    }

    /// Counts a refusal.
    pub(crate) fn refused(&mut self, refusal: &papayastack::Refusal) {
        let kind = format!("{}/{}", word(&refusal.reason()), word(&refusal.certainty()));
        *self.refused.entry(kind).or_default() += 1;
    }

    /// Returns the answers.
    pub(crate) fn answers(&self) -> u64 {
        self.complete + self.partial
    }

    /// Returns the refusals.
    pub(crate) fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// Returns the number of shards that an answer names, answered or missing.
pub(crate) fn shards_named(answer: &Answer) -> u64 {
    let coverage = answer.coverage();
    (coverage.answered().len() + coverage.missing().len()) as u64
}

fn word<T: serde::Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        other => format!("{other:?}"),
    }
}
