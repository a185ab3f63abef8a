//! The outcomes that callers receive: answers with coverage, and refusals with certainty.

mod answer;
mod coverage;
mod refusal;
#[cfg(test)]
mod tests;
mod verdict;

pub use answer::{Answer, Hit, MergeError, Partial};
pub use coverage::{CompleteCoverage, Coverage, CoverageError, MissingReason};
pub use refusal::{Certainty, DeliveryRecord, Refusal, RefusalReason};
pub use verdict::Verdict;
