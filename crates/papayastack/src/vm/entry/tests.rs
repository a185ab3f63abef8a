//! Tests of the metrics of queries.

use super::*;

fn record(metrics: &Metrics) -> QueryRecord<'_> {
    let accepted_at = Instant::now();
    QueryRecord { metrics, class: QueryClass::Sweep, accepted_at, ended: false }
}

#[test]
fn a_query_abandoned_by_its_caller_is_counted_as_cancelled() {
    let metrics = Metrics::new();

    drop(record(&metrics));
    record(&metrics).end(QueryOutcome::Found, Duration::ZERO, None);

    let text = metrics.encode();
    for outcome in ["cancelled", "found"] {
        let line = format!(
            r#"papaya_query_duration_seconds_count{{class="sweep",outcome="{outcome}"}} 1"#
        );
        assert!(text.contains(&line), "{line}");
    }
}
