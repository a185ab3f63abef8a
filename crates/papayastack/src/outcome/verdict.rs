//! Verdicts: whether matching documents exist, as far as an answer proves it.

use papayastack_macros::value;

use super::answer::Hit;
use super::coverage::{CompleteCoverage, Coverage};

/// Whether matching documents exist, as far as hits and coverage prove it.
#[value]
pub struct Verdict {
    kind: Kind,
}

#[value]
enum Kind {
    Found { hits: Vec<Hit>, hits_total: u64 },
    NoneFound,
    Inconclusive,
}

impl Verdict {
    /// Builds the verdict that the hits and the coverage allow.
    pub fn of(hits: Vec<Hit>, hits_total: u64, coverage: &Coverage) -> Self {
        if !hits.is_empty() || hits_total > 0 {
            return Self { kind: Kind::Found { hits, hits_total } };
        }
        match coverage.complete() {
            Some(proof) => Self::none_found(proof),
            None => Self { kind: Kind::Inconclusive },
        }
    }

    /// Builds the verdict that no document matches; only complete coverage proves it.
    pub fn none_found(_proof: CompleteCoverage<'_>) -> Self {
        Self { kind: Kind::NoneFound }
    }

    /// Returns the hits, best first; empty unless documents were found.
    pub fn hits(&self) -> &[Hit] {
        match &self.kind {
            Kind::Found { hits, .. } => hits,
            Kind::NoneFound | Kind::Inconclusive => &[],
        }
    }

    /// Returns how many documents matched on the covered shards, before the limit on hits.
    pub fn hits_total(&self) -> u64 {
        match &self.kind {
            Kind::Found { hits_total, .. } => *hits_total,
            Kind::NoneFound | Kind::Inconclusive => 0,
        }
    }

    /// Returns whether the answer proves that no document matches.
    pub fn is_none_found(&self) -> bool {
        matches!(self.kind, Kind::NoneFound)
    }

    /// Returns whether nothing was found while shards are missing, so that nothing is proved.
    pub fn is_inconclusive(&self) -> bool {
        matches!(self.kind, Kind::Inconclusive)
    }

    /// Returns the name in the callers' API.
    pub fn name(&self) -> &'static str {
        match &self.kind {
            Kind::Found { .. } => "found",
            Kind::NoneFound => "none_found",
            Kind::Inconclusive => "inconclusive",
        }
    }
}
