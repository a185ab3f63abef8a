//! Checks of answers against the naive search, a sequential reference implementation, and of the
//! reported outcomes of submissions against their executions.

use std::collections::{BTreeMap, BTreeSet};

use papayastack::{Answer, Partial, QueryRequest, ServiceName, ShardId, SnapshotVersion};
use papayastack_macros::value;
use papayastack_standin::naive_search;

use crate::stream_stats::ReportedOutcome;

/// The shards of every published snapshot, by service and snapshot version.
pub(crate) type KnownSnapshots = BTreeMap<(ServiceName, SnapshotVersion), BTreeSet<ShardId>>;

/// How an answer or the reported outcome of a submission is wrong.
#[value]
pub(crate) enum CheckError {
    /// The answer names a snapshot that was never published.
    UnknownSnapshot,
    /// The coverage of the answer does not list exactly the shards of the snapshot.
    Coverage,
    /// The answer differs from the naive search over the shards that it lists as answered.
    Content,
    /// The submission ran more than once.
    RanTwice,
    /// The submission ran although it was reported to the caller as not run.
    RanThoughNotRun,
    /// The submission did not run although it was reported to the caller as done.
    NotRunThoughDone,
}

impl CheckError {
    /// Returns the name under which the report counts the error.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::UnknownSnapshot => "unknown_snapshot",
            Self::Coverage => "coverage",
            Self::Content => "content",
            Self::RanTwice => "ran_twice",
            Self::RanThoughNotRun => "ran_though_not_run",
            Self::NotRunThoughDone => "not_run_though_done",
        }
    }
}

/// Compares an answer with the naive search over the shards that it lists as answered.
///
/// # Errors
/// The answer is wrong.
pub(crate) fn check_answer(
    seed: u64,
    query: &QueryRequest,
    answer: &Answer,
    known_snapshots: &KnownSnapshots,
) -> Result<(), CheckError> {
    let coverage = answer.coverage();
    let key = (query.service.clone(), coverage.snapshot());
    let shards = known_snapshots.get(&key).ok_or(CheckError::UnknownSnapshot)?;
    let listed: BTreeSet<ShardId> =
        coverage.answered().iter().chain(coverage.missing().keys()).copied().collect();
    if listed != *shards {
        return Err(CheckError::Coverage);
    }
    let hits_limit = query.hits_limit.unwrap_or(u32::MAX);
    let naive = |shard: &ShardId| -> Partial {
        let service = &query.service;
        naive_search(seed, service, coverage.snapshot(), *shard, &query.selection, hits_limit)
    };
    let partials: Vec<Partial> = coverage.answered().iter().map(naive).collect();
    let limit = usize::try_from(hits_limit).unwrap_or(usize::MAX);
    let expected = Answer::merge(query.service.clone(), coverage.clone(), &partials, limit);
    if expected.as_ref() == Ok(answer) { Ok(()) } else { Err(CheckError::Content) }
}

/// Compares the outcome that the caller of a submission received with the number of times that the
/// submission ran.
///
/// # Errors
/// The submission ran more than once, or the reported outcome is false.
pub(crate) fn check_submission(
    outcome: ReportedOutcome,
    executions: u64,
) -> Result<(), CheckError> {
    match (outcome, executions) {
        (_, 2..) => Err(CheckError::RanTwice),
        (ReportedOutcome::NotRun, 1) => Err(CheckError::RanThoughNotRun),
        (ReportedOutcome::Done, 0) => Err(CheckError::NotRunThoughDone),
        _ => Ok(()),
    }
}
