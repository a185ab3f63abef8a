//! Which shards of the pinned snapshot answered, which did not, and why.

use std::collections::{BTreeMap, BTreeSet};

use papayastack_macros::{closed_set, message, value};

use crate::ids::{ShardId, SnapshotVersion};

/// Says why a shard is missing from an answer.
#[closed_set]
pub enum MissingReason {
    /// No partial answer came within the deadline.
    DeadlineExceeded,
    /// Every replica of the shard failed or is unreachable.
    ReplicasUnavailable,
    /// Every replica of the shard is overloaded.
    Overloaded,
    /// The pinned snapshot was retired while the query ran.
    SnapshotRetired,
    /// The shard has no replica in the shard map.
    NoReplica,
    /// Every attempt was cancelled.
    Cancelled,
}

/// A statement of which shards of one snapshot an answer covers.
#[message]
#[serde(try_from = "CoverageParts", into = "CoverageParts")]
pub struct Coverage {
    snapshot: SnapshotVersion,
    answered: BTreeSet<ShardId>,
    missing: BTreeMap<ShardId, MissingReason>,
}

impl Coverage {
    /// Builds a coverage statement.
    ///
    /// # Errors
    /// A shard is listed both as answered and as missing, or no shard is listed.
    pub fn new(
        snapshot: SnapshotVersion,
        answered: BTreeSet<ShardId>,
        missing: BTreeMap<ShardId, MissingReason>,
    ) -> Result<Self, CoverageError> {
        if let Some(shard) = missing.keys().find(|shard| answered.contains(shard)) {
            return Err(CoverageError::Contradictory { shard: *shard });
        }
        if answered.is_empty() && missing.is_empty() {
            return Err(CoverageError::NoShards);
        }
        Ok(Self { snapshot, answered, missing })
    }

    /// Returns the snapshot that every covered shard answered from.
    pub fn snapshot(&self) -> SnapshotVersion {
        self.snapshot
    }

    /// Returns the shards that answered.
    pub fn answered(&self) -> &BTreeSet<ShardId> {
        &self.answered
    }

    /// Returns the shards that did not answer, each with the reason.
    pub fn missing(&self) -> &BTreeMap<ShardId, MissingReason> {
        &self.missing
    }

    /// Returns a proof that every shard answered; `None` if a shard is missing.
    pub fn complete(&self) -> Option<CompleteCoverage<'_>> {
        self.missing.is_empty().then_some(CompleteCoverage { coverage: self })
    }

    /// Returns the covered share of the shards, in thousandths, rounded down.
    pub fn share_permille(&self) -> u32 {
        let shards = self.answered.len() + self.missing.len();
        u32::try_from(self.answered.len() * 1000 / shards).unwrap_or(0)
    }
}

/// A proof that a coverage statement misses no shard.
#[derive(Debug, Clone, Copy)]
pub struct CompleteCoverage<'a> {
    coverage: &'a Coverage,
}

impl CompleteCoverage<'_> {
    /// Returns the snapshot that was covered completely.
    pub fn snapshot(&self) -> SnapshotVersion {
        self.coverage.snapshot
    }
}

/// Says why a coverage statement cannot be built.
#[value]
pub enum CoverageError {
    /// A shard is listed both as answered and as missing.
    Contradictory {
        /// The shard in question.
        shard: ShardId,
    },
    /// The statement names no shard.
    NoShards,
}

impl std::fmt::Display for CoverageError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Contradictory { shard } => {
                write!(formatter, "shard {shard} is listed both as answered and as missing")
            }
            Self::NoShards => write!(formatter, "the coverage names no shard"),
        }
    }
}

impl std::error::Error for CoverageError {}

#[message]
struct CoverageParts {
    snapshot: SnapshotVersion,
    complete: bool,
    answered: BTreeSet<ShardId>,
    /// Keyed by text, because serde does not parse numeric map keys inside a flattened field.
    missing: BTreeMap<String, MissingReason>,
}

impl From<Coverage> for CoverageParts {
    fn from(coverage: Coverage) -> Self {
        Self {
            snapshot: coverage.snapshot,
            complete: coverage.missing.is_empty(),
            answered: coverage.answered,
            missing: coverage
                .missing
                .into_iter()
                .map(|(shard, reason)| (shard.to_string(), reason))
                .collect(),
        }
    }
}

impl TryFrom<CoverageParts> for Coverage {
    type Error = String;

    fn try_from(parts: CoverageParts) -> Result<Self, Self::Error> {
        if parts.complete != parts.missing.is_empty() {
            return Err("`complete` contradicts `missing`".to_owned());
        }
        let missing = parts.missing.into_iter().map(missing_shard).collect::<Result<_, _>>()?;
        Self::new(parts.snapshot, parts.answered, missing).map_err(|error| error.to_string())
    }
}

fn missing_shard(
    (shard, reason): (String, MissingReason),
) -> Result<(ShardId, MissingReason), String> {
    let number = shard.parse().map_err(|_| format!("`{shard}` in `missing` is not a shard"))?;
    Ok((number, reason))
}
