//! Bytes and processor time of sub-requests and their results in frames between VMs.

use papayastack::{
    AttemptOutcome, LinkReply, LinkRequest, Partial, QueryClass, SearchBatch, SearchItem,
    SearchResult, Selection, decode_frame, encode_frame,
};
use serde_json::{Value, json};

use crate::{fit, machine};

/// Sub-requests that one owner gets of a query at the target, by the number of owners asked.
const BATCHES: [u64; 4] = [1, 6, 20, 50];
/// Frames over which one size is timed.
const FRAMES: u32 = 20_000;
/// Sub-requests of one query for one owner at the target, with groups of 8 VMs.
const TARGET_BATCH: f64 = 49.0;

/// Measures bytes and microseconds of frames over the sub-requests in them.
pub(crate) fn measure() -> Result<Value, Box<dyn std::error::Error>> {
    let (mut request_bytes, mut request_us) = (Vec::new(), Vec::new());
    let (mut reply_bytes, mut reply_us) = (Vec::new(), Vec::new());
    for batch in BATCHES {
        let (bytes, us) = round_trip(&[LinkRequest::Search(search(batch))])?;
        request_bytes.push((batch as f64, bytes));
        request_us.push((batch as f64, us));
        let replies: Vec<LinkReply> = (0..batch).map(reply).collect();
        let (bytes, us) = round_trip(&replies)?;
        reply_bytes.push((batch as f64, bytes));
        reply_us.push((batch as f64, us));
    }
    Ok(json!({
        "request_bytes": fit::report(&request_bytes, TARGET_BATCH),
        "request_microseconds_both_ends": fit::report(&request_us, TARGET_BATCH),
        "reply_bytes": fit::report(&reply_bytes, TARGET_BATCH),
        "reply_microseconds_both_ends": fit::report(&reply_us, TARGET_BATCH),
    }))
}

fn round_trip<M>(messages: &[M]) -> Result<(f64, f64), Box<dyn std::error::Error>>
where
    M: serde::Serialize + serde::de::DeserializeOwned,
{
    let size_bytes = encode_frame(messages)?.len() as f64;
    let started = machine::processor_seconds();
    for _ in 0..FRAMES {
        let frame = encode_frame(std::hint::black_box(messages))?;
        std::hint::black_box(decode_frame::<M>(&frame)?);
    }
    Ok((size_bytes, (machine::processor_seconds() - started) * 1e6 / f64::from(FRAMES)))
}

fn search(items: u64) -> SearchBatch {
    let item = |attempt: u64| SearchItem {
        attempt,
        shard: attempt as u32 * 7,
        upstream: format!("deadline-board-{:05}", attempt * 21),
    };
    SearchBatch {
        query: u128::MAX / 3,
        service: "deadline-board".to_owned(),
        snapshot: 41,
        class: QueryClass::Sweep,
        selection: Selection::Terms(vec!["dgapa".to_owned(), "financial-report".to_owned()]),
        hits_limit: 100,
        remaining_ms: 125,
        traceparent: "00-7078d2699f206fb395cb6c471dd6f35c-ecd35eb2505956fc-00".to_owned(),
        items: (0..items).map(item).collect(),
    }
}

fn reply(attempt: u64) -> LinkReply {
    let partial =
        Partial { snapshot: 41, shard: attempt as u32 * 7, hits: Vec::new(), hits_total: 0 };
    LinkReply::Search(SearchResult {
        query: u128::MAX / 3,
        attempt,
        outcome: AttemptOutcome::Answered(partial),
        queue_len: 0,
    })
}
