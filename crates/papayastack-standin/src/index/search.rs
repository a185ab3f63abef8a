//! The sequential search of one shard, without a time limit.

use papayastack::{Hit, Partial, Selection, ShardId, SnapshotVersion};

use super::documents::{Document, shard_documents};

/// Generates the documents of one shard and scans all of them; differential tests compare answers
/// with the result.
pub fn naive_search(
    seed: u64,
    service: &str,
    snapshot: SnapshotVersion,
    shard: ShardId,
    selection: &Selection,
    hits_limit: u32,
) -> Partial {
    let documents = shard_documents(seed, service, snapshot, shard);
    search(&documents, snapshot, shard, selection, hits_limit)
}

/// Searches documents that have already been generated.
pub(crate) fn search(
    documents: &[Document],
    snapshot: SnapshotVersion,
    shard: ShardId,
    selection: &Selection,
    hits_limit: u32,
) -> Partial {
    let mut hits: Vec<Hit> =
        documents.iter().filter(|document| matches(document, selection)).map(hit).collect();
    let hits_total = hits.len() as u64;
    hits.sort_by(|left, right| right.score.cmp(&left.score).then_with(|| left.id.cmp(&right.id)));
    hits.truncate(usize::try_from(hits_limit).unwrap_or(usize::MAX));
    Partial { snapshot, shard, hits, hits_total }
}

fn matches(document: &Document, selection: &Selection) -> bool {
    match selection {
        Selection::Terms(terms) => terms.iter().all(|term| document.terms.contains(term.as_str())),
        Selection::Key(key) => document.id == *key,
    }
}

fn hit(document: &Document) -> Hit {
    Hit { id: document.id.clone(), score: document.score, summary: document.summary.clone() }
}
