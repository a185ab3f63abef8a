//! Documents generated from a seed.

use std::collections::BTreeSet;
use std::hash::Hasher;

use papayastack::{ShardId, SnapshotVersion};
use papayastack_macros::value;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use twox_hash::XxHash3_64;

const DOCUMENTS_PER_SHARD: u32 = 48;
const LABEL_SERVICES: [&str; 4] =
    ["label-vetting", "examiner-portal", "dossier-viewer", "batch-ledger"];

const FUNDERS: [&str; 6] = ["conahcyt", "dgapa", "wellcome", "horizon", "fonacyt", "imss"];
const DUE_QUARTERS: [&str; 4] = ["due-2027q1", "due-2027q2", "due-2027q3", "due-2027q4"];
const REPORTS: [&str; 4] = ["final-report", "progress-report", "financial-report", "ethics-report"];
const WORDINGS: [&str; 6] = ["cidre", "poire", "pommeau", "fermier", "bouche", "reserve"];
const APPELLATIONS: [&str; 4] = ["cornouaille", "domfront", "pays-d-auge", "bretagne"];
const STYLES: [&str; 4] = ["brut", "demi-sec", "doux", "rose"];

/// One document of a shard.
#[value]
pub(crate) struct Document {
    pub(crate) id: String,
    pub(crate) terms: BTreeSet<&'static str>,
    pub(crate) score: u32,
    pub(crate) summary: String,
}

/// Returns the generated documents of one shard; equal arguments give equal documents.
pub(crate) fn shard_documents(
    seed: u64,
    service: &str,
    snapshot: SnapshotVersion,
    shard: ShardId,
) -> Vec<Document> {
    let mut random = StdRng::seed_from_u64(shard_seed(seed, service, snapshot, shard));
    (0..DOCUMENTS_PER_SHARD)
        .map(|number| {
            let id = document_key(service, shard, number);
            if has_label_filings(service) {
                random_filing(id, &mut random)
            } else {
                random_grant(id, &mut random)
            }
        })
        .collect()
}

/// Returns the id of document `number` of a shard, where `number` is taken modulo the size of a
/// shard.
pub fn document_key(service: &str, shard: ShardId, number: u32) -> String {
    let prefix = if has_label_filings(service) { "filing" } else { "grant" };
    format!("{prefix}-{shard:04}-{:04}", number % DOCUMENTS_PER_SHARD)
}

/// Returns the terms that the documents of a service contain.
pub fn vocabulary(service: &str) -> Vec<&'static str> {
    if has_label_filings(service) {
        [&WORDINGS[..], &APPELLATIONS, &STYLES].concat()
    } else {
        [&FUNDERS[..], &DUE_QUARTERS, &REPORTS].concat()
    }
}

fn has_label_filings(service: &str) -> bool {
    LABEL_SERVICES.contains(&service)
}

fn shard_seed(seed: u64, service: &str, snapshot: SnapshotVersion, shard: ShardId) -> u64 {
    let mut hasher = XxHash3_64::with_seed(seed);
    hasher.write(service.as_bytes());
    hasher.write_u64(snapshot);
    hasher.write_u32(shard);
    hasher.finish()
}

fn random_grant(id: String, random: &mut StdRng) -> Document {
    let funder = pick(&FUNDERS, random);
    let quarter = random.random_range(0..DUE_QUARTERS.len());
    let report = pick(&REPORTS, random);
    let month = quarter * 3 + random.random_range(1..=3);
    let day = random.random_range(1..=28);
    let summary = format!("{report} to {funder} due on 2027-{month:02}-{day:02}");
    // An earlier deadline ranks higher.
    let days_left = u32::try_from(month * 31 + day).unwrap_or(u32::MAX);
    Document {
        id,
        terms: BTreeSet::from([funder, DUE_QUARTERS[quarter], report]),
        score: 1_000_u32.saturating_sub(days_left),
        summary,
    }
}

fn random_filing(id: String, random: &mut StdRng) -> Document {
    let wording = pick(&WORDINGS, random);
    let appellation = pick(&APPELLATIONS, random);
    let style = pick(&STYLES, random);
    let year = random.random_range(2015..=2026);
    Document {
        id,
        terms: BTreeSet::from([wording, appellation, style]),
        score: random.random_range(1..1_000),
        summary: format!("label \"{wording} {appellation} {style}\" filed in {year}"),
    }
}

fn pick(options: &[&'static str], random: &mut StdRng) -> &'static str {
    options.choose(random).copied().expect("the lists of words are not empty")
}
