//! Partial answers and the merged answer that a caller receives.

use papayastack_macros::{message, value};

use super::coverage::Coverage;
use super::verdict::Verdict;
use crate::ids::{ServiceName, ShardId, SnapshotVersion};

/// One matching document.
#[message]
pub struct Hit {
    /// The id of the document, unique within its service.
    pub id: String,
    /// The score of the document; a higher one ranks first.
    pub score: u32,
    /// A human-readable summary of the document.
    pub summary: String,
}

/// What one shard found, with the snapshot that it was computed on.
#[message]
pub struct Partial {
    /// The snapshot that the hits come from.
    pub snapshot: SnapshotVersion,
    /// The shard that answered.
    pub shard: ShardId,
    /// The best hits of the shard, best first.
    pub hits: Vec<Hit>,
    /// How many documents of the shard matched.
    pub hits_total: u64,
}

/// The answer to one query, from one snapshot, with its coverage.
#[message]
#[serde(try_from = "AnswerParts", into = "AnswerParts")]
pub struct Answer {
    service: ServiceName,
    coverage: Coverage,
    verdict: Verdict,
}

impl Answer {
    /// Merges partial answers under a coverage statement, keeping the best `hits_limit` hits.
    ///
    /// # Errors
    /// A partial comes from another snapshot or from a shard that is not covered, or a covered
    /// shard has several partials or none.
    pub fn merge(
        service: ServiceName,
        coverage: Coverage,
        partials: &[Partial],
        hits_limit: usize,
    ) -> Result<Self, MergeError> {
        check_partials(&coverage, partials)?;
        let mut hits: Vec<Hit> = partials.iter().flat_map(|p| p.hits.iter().cloned()).collect();
        hits.sort_by(|left, right| {
            right.score.cmp(&left.score).then_with(|| left.id.cmp(&right.id))
        });
        hits.truncate(hits_limit);
        let hits_total = partials.iter().map(|partial| partial.hits_total).sum();
        let verdict = Verdict::of(hits, hits_total, &coverage);
        Ok(Self { service, coverage, verdict })
    }

    /// Returns the service that answered.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns which shards the answer covers.
    pub fn coverage(&self) -> &Coverage {
        &self.coverage
    }

    /// Returns whether matching documents exist, as far as the answer proves it.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }
}

fn check_partials(coverage: &Coverage, partials: &[Partial]) -> Result<(), MergeError> {
    let mut seen = std::collections::BTreeSet::new();
    for partial in partials {
        if partial.snapshot != coverage.snapshot() {
            return Err(MergeError::OtherSnapshot {
                expected: coverage.snapshot(),
                received: partial.snapshot,
            });
        }
        if !coverage.answered().contains(&partial.shard) || !seen.insert(partial.shard) {
            return Err(MergeError::UnexpectedShard { shard: partial.shard });
        }
    }
    match coverage.answered().iter().find(|shard| !seen.contains(shard)) {
        Some(shard) => Err(MergeError::UnexpectedShard { shard: *shard }),
        None => Ok(()),
    }
}

/// Says why partial answers cannot be merged.
#[value]
pub enum MergeError {
    /// A partial was computed on another snapshot.
    OtherSnapshot {
        /// The pinned snapshot.
        expected: SnapshotVersion,
        /// The partial's snapshot.
        received: SnapshotVersion,
    },
    /// A covered shard has no partial or several, or a shard that is not covered has one.
    UnexpectedShard {
        /// The shard in question.
        shard: ShardId,
    },
}

impl std::fmt::Display for MergeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OtherSnapshot { expected, received } => {
                write!(
                    formatter,
                    "partial answer is from snapshot {received}, but the query uses {expected}"
                )
            }
            Self::UnexpectedShard { shard } => {
                write!(
                    formatter,
                    "shard {shard} must have one partial answer if covered, and none otherwise"
                )
            }
        }
    }
}

impl std::error::Error for MergeError {}

#[message]
struct AnswerParts {
    service: ServiceName,
    snapshot: SnapshotVersion,
    verdict: String,
    coverage: Coverage,
    hits: Vec<Hit>,
    hits_total: u64,
}

impl From<Answer> for AnswerParts {
    fn from(answer: Answer) -> Self {
        Self {
            service: answer.service,
            snapshot: answer.coverage.snapshot(),
            verdict: answer.verdict.name().to_owned(),
            hits: answer.verdict.hits().to_vec(),
            hits_total: answer.verdict.hits_total(),
            coverage: answer.coverage,
        }
    }
}

impl TryFrom<AnswerParts> for Answer {
    type Error = String;

    fn try_from(parts: AnswerParts) -> Result<Self, Self::Error> {
        if parts.snapshot != parts.coverage.snapshot() {
            return Err("`snapshot` contradicts the coverage".to_owned());
        }
        let verdict = Verdict::of(parts.hits, parts.hits_total, &parts.coverage);
        if verdict.name() != parts.verdict {
            return Err(format!(
                "verdict `{}` contradicts hits and coverage, which allow `{}`",
                parts.verdict,
                verdict.name()
            ));
        }
        Ok(Self { service: parts.service, coverage: parts.coverage, verdict })
    }
}
