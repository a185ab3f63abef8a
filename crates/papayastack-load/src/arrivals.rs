//! Generates open-loop arrivals: request times and contents that depend only on the seed and the
//! load, never on earlier answers.

use std::time::Duration;

use papayastack::{QueryRequest, Selection, SubmissionRequest};
use papayastack_standin::{ServiceShape, document_key, vocabulary};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::experiment::{Load, LooksFor};

const DOCUMENT_NUMBERS: u32 = 64;

/// A planned request and the time to send it.
pub(crate) struct Arrival {
    /// The time to send the request, counted from the start of the run.
    pub(crate) at: Duration,
    pub(crate) request: PlannedRequest,
    /// Whether the answer is compared with the naive search.
    pub(crate) checked: bool,
}

/// The content of a planned request.
pub(crate) enum PlannedRequest {
    Query(QueryRequest),
    /// A submission; its key is built from the time of sending, the seed and `key_suffix`.
    Submission {
        key_suffix: String,
        request: SubmissionRequest,
    },
}

/// An endless iterator over the arrivals of one load stream, ordered by time.
pub(crate) struct Arrivals {
    load: Load,
    shards: u32,
    terms: Vec<&'static str>,
    checked_permille: u32,
    rng: StdRng,
    at: Duration,
    stream: u64,
    count: u64,
}

impl Arrivals {
    /// Creates the arrivals of `load`; each `stream` number gives a different sequence for the
    /// same seed.
    pub(crate) fn new(
        load: &Load,
        shape: &ServiceShape,
        seed: u64,
        stream: u64,
        checked_permille: u32,
    ) -> Self {
        Self {
            load: load.clone(),
            shards: shape.shards,
            terms: vocabulary(shape.name),
            checked_permille,
            rng: StdRng::seed_from_u64(seed.rotate_left(17) ^ stream),
            at: Duration::ZERO,
            stream,
            count: 0,
        }
    }

    fn next_request(&mut self) -> PlannedRequest {
        self.count += 1;
        let Some(class) = self.load.class.query_class() else {
            return self.next_submission();
        };
        PlannedRequest::Query(QueryRequest {
            service: self.load.service.clone(),
            class,
            selection: self.random_selection(),
            deadline_ms: Some(self.load.deadline_ms),
            hits_limit: Some(self.load.hits_limit),
        })
    }

    fn next_submission(&self) -> PlannedRequest {
        let key_suffix = format!("{}-{}", self.stream, self.count);
        let request = SubmissionRequest {
            service: self.load.service.clone(),
            key: None,
            body: json!({ "number": self.count }),
            deadline_ms: Some(self.load.deadline_ms),
        };
        PlannedRequest::Submission { key_suffix, request }
    }

    fn random_selection(&mut self) -> Selection {
        match self.load.looks_for {
            LooksFor::Terms => {
                let count = self.rng.random_range(1..=2);
                let terms = self.terms.choose_multiple(&mut self.rng, count);
                Selection::Terms(terms.map(|term| (*term).to_owned()).collect())
            }
            LooksFor::Key => {
                let shard = self.rng.random_range(0..self.shards);
                let number = self.rng.random_range(0..DOCUMENT_NUMBERS);
                Selection::Key(document_key(&self.load.service, shard, number))
            }
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = 1.0 - self.rng.random::<f64>();
        self.at += Duration::from_secs_f64(-uniform.ln() / f64::from(self.load.rate_per_s));
        let request = self.next_request();
        let checked = self.rng.random_range(0..1_000) < self.checked_permille;
        Some(Arrival { at: self.at, request, checked })
    }
}
