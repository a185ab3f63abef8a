//! Tests that spans are logged as JSON lines and refer to the spans of their parent hops.

use std::sync::Mutex;
use std::time::Duration;

use papayastack::{Hop, IdSource, SPAN_TARGET, SpanIds, SpanRecord, TraceContext, Tracer};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.target() == SPAN_TARGET
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            LINES.lock().expect("no test panicked").push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

#[tokio::test(start_paused = true)]
async fn spans_link_hops_and_end_when_dropped() {
    log::set_logger(&Capture).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let tracer = Tracer::open(IdSource::seeded(1), 0);
    let caller = TraceContext { trace_id: 17, span_id: 1, sampled: true, state: None };
    let ids = |shard| {
        move || SpanIds { query: Some(u128::MAX), shard: Some(shard), ..SpanIds::default() }
    };

    let entry = tracer.start(Hop::Entry, &caller, SpanIds::default);
    let answered = tracer.start(Hop::UpstreamAttempt, entry.context(), ids(3));
    let given_up = tracer.start(Hop::UpstreamAttempt, entry.context(), ids(4));
    tokio::time::advance(Duration::from_millis(20)).await;
    answered.end("answered");
    drop(given_up);
    let entry_context = entry.context().clone();
    entry.end("found");

    let lines = LINES.lock().unwrap();
    let spans: Vec<SpanRecord> =
        lines.iter().map(|line| serde_json::from_str(line).unwrap()).collect();
    let outcomes: Vec<&str> = spans.iter().map(|span| span.outcome.as_str()).collect();
    assert_eq!(outcomes, ["answered", "cancelled", "found"]);
    assert_eq!(spans[0].parent_span_id, format!("{:016x}", entry_context.span_id));
    assert_eq!(spans[2].parent_span_id, format!("{:016x}", caller.span_id));
    assert!(spans.iter().all(|span| span.trace_id == format!("{:032x}", 17)));
    assert_eq!(spans[0].duration_us, 20_000);
    assert_eq!(spans[1].ids.shard, Some(4));
    assert_eq!(spans[1].ids.query, Some(u128::MAX));
}
