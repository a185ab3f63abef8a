//! The size and processor time of the frames that carry sub-requests and replies between VMs.

use papayastack::{
    AttemptOutcome, LinkReply, LinkRequest, Partial, QueryClass, SearchBatch, SearchItem,
    SearchResult, Selection, decode_frame, encode_frame,
};
use serde_json::{Value, json};

use crate::{fit, machine};

/// The measured numbers of sub-requests in one frame.
///
/// At the target size, one owner gets this many sub-requests of a query, depending on the number of
/// owners asked.
const BATCH_SIZES: [u64; 4] = [1, 6, 20, 50];
/// The number of frames timed for each size.
const FRAMES_PER_SIZE: u32 = 20_000;
/// The number of sub-requests of one query for one owner at the target size, with groups of 8 VMs.
const TARGET_BATCH_SIZE: f64 = 49.0;

/// Measures how the size and the processor time of a frame grow with its number of sub-requests.
pub(crate) fn measure() -> Result<Value, Box<dyn std::error::Error>> {
    let (mut request_bytes, mut request_us) = (Vec::new(), Vec::new());
    let (mut reply_bytes, mut reply_us) = (Vec::new(), Vec::new());
    for batch_size in BATCH_SIZES {
        let (bytes, us) = round_trip(&[LinkRequest::Search(search_batch(batch_size))])?;
        request_bytes.push((batch_size as f64, bytes));
        request_us.push((batch_size as f64, us));
        let replies: Vec<LinkReply> = (0..batch_size).map(search_reply).collect();
        let (bytes, us) = round_trip(&replies)?;
        reply_bytes.push((batch_size as f64, bytes));
        reply_us.push((batch_size as f64, us));
    }
    Ok(json!({
        "request_bytes": fit::report(&request_bytes, TARGET_BATCH_SIZE),
        "request_microseconds_both_ends": fit::report(&request_us, TARGET_BATCH_SIZE),
        "reply_bytes": fit::report(&reply_bytes, TARGET_BATCH_SIZE),
        "reply_microseconds_both_ends": fit::report(&reply_us, TARGET_BATCH_SIZE),
    }))
}

/// Returns the size of one frame in bytes and the microseconds to encode and decode it.
fn round_trip<M>(messages: &[M]) -> Result<(f64, f64), Box<dyn std::error::Error>>
where
    M: serde::Serialize + serde::de::DeserializeOwned,
{
    let size_bytes = encode_frame(messages)?.len() as f64;
    let started = machine::processor_seconds();
    for _ in 0..FRAMES_PER_SIZE {
        let frame = encode_frame(std::hint::black_box(messages))?;
        std::hint::black_box(decode_frame::<M>(&frame)?);
    }
    Ok((size_bytes, (machine::processor_seconds() - started) * 1e6 / f64::from(FRAMES_PER_SIZE)))
}

fn search_batch(items: u64) -> SearchBatch {
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

fn search_reply(attempt: u64) -> LinkReply {
    let partial =
        Partial { snapshot: 41, shard: attempt as u32 * 7, hits: Vec::new(), hits_total: 0 };
    LinkReply::Search(SearchResult {
        query: u128::MAX / 3,
        attempt,
        outcome: AttemptOutcome::Answered(partial),
        queue_len: 0,
    })
}
