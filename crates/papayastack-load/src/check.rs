//! The comparison of answers with the naive search.

use std::collections::{BTreeMap, BTreeSet};

use papayastack::{Answer, Partial, QueryRequest, ServiceName, ShardId, SnapshotVersion};
use papayastack_macros::value;
use papayastack_standin::naive_search;

use crate::tally::Told;

/// The shards of every snapshot that a case publishes, by service.
pub(crate) type KnownSnapshots = BTreeMap<(ServiceName, SnapshotVersion), BTreeSet<ShardId>>;

/// Says in what an answer or the outcome of a submission is wrong.
#[value]
pub(crate) enum Wrong {
    /// It names a snapshot that was never published.
    UnknownSnapshot,
    /// Its coverage does not name each shard of the snapshot exactly once.
    Coverage,
    /// It differs from the naive answer over the shards that it says it covers.
    Content,
    /// A submission ran more than once.
    RanTwice,
    /// A submission ran although its caller was told that it did not.
    RanThoughNotRun,
    /// A submission did not run although its caller was told that it did.
    NotRunThoughDone,
}

impl Wrong {
    /// Returns the name in the report.
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

/// Compares an answer with the naive answer over the covered shards.
///
/// # Errors
/// The answer is wrong.
pub(crate) fn check_answer(
    seed: u64,
    query: &QueryRequest,
    answer: &Answer,
    known: &KnownSnapshots,
) -> Result<(), Wrong> {
    let coverage = answer.coverage();
    let key = (query.service.clone(), coverage.snapshot());
    let shards = known.get(&key).ok_or(Wrong::UnknownSnapshot)?;
    let named: BTreeSet<ShardId> =
        coverage.answered().iter().chain(coverage.missing().keys()).copied().collect();
    if named != *shards {
        return Err(Wrong::Coverage);
    }
    let hits_limit = query.hits_limit.unwrap_or(u32::MAX);
    let naive = |shard: &ShardId| -> Partial {
        let service = &query.service;
        naive_search(seed, service, coverage.snapshot(), *shard, &query.selection, hits_limit)
    };
    let partials: Vec<Partial> = coverage.answered().iter().map(naive).collect();
    let limit = usize::try_from(hits_limit).unwrap_or(usize::MAX);
    let expected = Answer::merge(query.service.clone(), coverage.clone(), &partials, limit);
    if expected.as_ref() == Ok(answer) { Ok(()) } else { Err(Wrong::Content) }
}

/// Compares what a caller was told of a submission with how often it ran.
///
/// # Errors
/// The submission ran twice, or the caller was told something false.
pub(crate) fn check_submission(told: Told, executions: u64) -> Result<(), Wrong> {
    match (told, executions) {
        (_, 2..) => Err(Wrong::RanTwice),
        (Told::NotRun, 1) => Err(Wrong::RanThoughNotRun),
        (Told::Done, 0) => Err(Wrong::NotRunThoughDone),
        _ => Ok(()),
    }
}
