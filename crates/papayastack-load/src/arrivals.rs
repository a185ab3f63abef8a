//! The arrivals of an open loop: times and queries that follow from the seed alone.

use std::time::Duration;

use papayastack::{QueryRequest, Selection};
use papayastack_standin::{ServiceShape, document_key, vocabulary};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::experiment::{Load, LooksFor};

const DOCUMENT_NUMBERS: u32 = 64;

/// One request of the plan.
pub(crate) struct Arrival {
    /// The time after the start of the run.
    pub(crate) at: Duration,
    /// The query.
    pub(crate) query: QueryRequest,
    /// Whether the answer is compared with the naive search.
    pub(crate) checked: bool,
}

/// The arrivals of one load, in the order of time, without end.
pub(crate) struct Arrivals {
    load: Load,
    shards: u32,
    words: Vec<&'static str>,
    checked_permille: u32,
    random: StdRng,
    at: Duration,
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
        }
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
        let query = QueryRequest {
            service: self.load.service.clone(),
            class: self.load.class,
            selection: self.selection(),
            deadline_ms: Some(self.load.deadline_ms),
            hits_limit: Some(self.load.hits_limit),
        };
        let checked = self.random.random_range(0..1_000) < self.checked_permille;
        Some(Arrival { at: self.at, query, checked })
    }
}
