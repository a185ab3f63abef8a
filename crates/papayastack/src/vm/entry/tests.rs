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

// Guards against answers that miss their caller because a process or the network pauses for a moment.
#[test]
fn an_answer_leaves_time_for_a_pause_on_its_way_to_the_caller() {
    let ms = Duration::from_millis;
    let hop_margin = ms(5);

    assert_eq!(answer_time(ms(400), hop_margin), ms(360));
    // A long wait needs no longer way back, a short one keeps most of its time for the shards.
    assert_eq!(answer_time(ms(5_000), hop_margin), ms(4_960));
    assert_eq!(answer_time(ms(100), hop_margin), ms(90));
    assert_eq!(answer_time(ms(20), hop_margin), ms(15));
}
