//! The arrivals of an open loop: times and queries that follow from the seed alone.

use std::time::Duration;

use papayastack::{QueryRequest, Selection, SubmissionRequest};
use papayastack_standin::{ServiceShape, document_key, vocabulary};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::experiment::{Load, LooksFor};

const DOCUMENT_NUMBERS: u32 = 64;

/// One request of the plan.
pub(crate) struct Arrival {
    /// The time after the start of the run.
    pub(crate) at: Duration,
    /// The request.
    pub(crate) work: Work,
    /// Whether the answer is compared with the naive search.
    pub(crate) checked: bool,
}

/// A planned request.
pub(crate) enum Work {
    Query(QueryRequest),
    /// A submission; the time of issue becomes part of its key when it is sent.
    Submission {
        unique: String,
        request: SubmissionRequest,
    },
}

/// The arrivals of one load, in the order of time, without end.
pub(crate) struct Arrivals {
    load: Load,
    shards: u32,
    words: Vec<&'static str>,
    checked_permille: u32,
    random: StdRng,
    at: Duration,
    stream: u64,
    count: u64,
}

impl Arrivals {
    /// Plans the arrivals of `load`; each `stream` of one seed differs from the others.
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
            words: vocabulary(shape.name),
            checked_permille,
            random: StdRng::seed_from_u64(seed.rotate_left(17) ^ stream),
            at: Duration::ZERO,
            stream,
            count: 0,
        }
    }

    fn work(&mut self) -> Work {
        self.count += 1;
        let Some(class) = self.load.class.query_class() else {
            return self.submission();
        };
        Work::Query(QueryRequest {
            service: self.load.service.clone(),
            class,
            selection: self.selection(),
            deadline_ms: Some(self.load.deadline_ms),
            hits_limit: Some(self.load.hits_limit),
        })
    }

    fn submission(&self) -> Work {
        let unique = format!("{}-{}", self.stream, self.count);
        let request = SubmissionRequest {
            service: self.load.service.clone(),
            key: None,
            body: json!({ "number": self.count }),
            deadline_ms: Some(self.load.deadline_ms),
        };
        Work::Submission { unique, request }
    }

    fn selection(&mut self) -> Selection {
        match self.load.looks_for {
            LooksFor::Terms => {
                let count = self.random.random_range(1..=2);
                let words = self.words.choose_multiple(&mut self.random, count);
                Selection::Terms(words.map(|word| (*word).to_owned()).collect())
            }
            LooksFor::Key => {
                let shard = self.random.random_range(0..self.shards);
                let number = self.random.random_range(0..DOCUMENT_NUMBERS);
                Selection::Key(document_key(&self.load.service, shard, number))
            }
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        self.at += Duration::from_secs_f64(-uniform.ln() / f64::from(self.load.rate_per_s));
        let work = self.work();
        let checked = self.random.random_range(0..1_000) < self.checked_permille;
        Some(Arrival { at: self.at, work, checked })
    }
}
