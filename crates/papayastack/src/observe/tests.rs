//! Tests of spans, logs and metrics.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use log4rs::encode::Encode;

use super::*;
use crate::outcome::RefusalReason;
use crate::platform::PlatformError;
use crate::query::{AttemptOutcome, FanoutCounts, NotRunReason};
use crate::settings::QueryClass;

fn trace(sampled: bool) -> TraceContext {
    TraceContext { trace_id: 0xabc_500, span_id: 7, sampled, state: None }
}

fn tracer(sampling_permille: u32) -> Tracer {
    Tracer::open(IdSource::seeded(1), sampling_permille)
}

#[test]
fn the_ids_of_an_unsampled_span_are_not_computed() {
    let tracer = tracer(0);

    let span = tracer.start(Hop::Entry, &trace(false), || panic!("the ids are not needed"));

    assert!(!span.is_recorded());
    assert_eq!(*span.context(), trace(false));
}

#[test]
fn sampling_follows_the_rate_but_keeps_the_callers_choice() {
    let all = tracer(1000).sample(trace(false));
    let none = tracer(0).sample(trace(false));
    let marked_by_the_caller = tracer(0).sample(trace(true));

    assert!(all.sampled);
    assert!(!none.sampled);
    assert!(marked_by_the_caller.sampled);
}

#[test]
fn metrics_name_their_units_and_labels() {
    let metrics = Metrics::new();
    let counts = FanoutCounts { needed: 30, sent: 32, hedges: 1, ..FanoutCounts::default() };

    metrics.query_ended(
        QueryClass::Sweep,
        QueryOutcome::NoneFound,
        Duration::from_millis(30),
        None,
    );
    metrics.sub_requests(QueryClass::Sweep, &counts);
    metrics.attempt_ended(&AttemptOutcome::NotRun(NotRunReason::Shed));
    metrics.refused(RefusalReason::Overloaded);
    metrics.platform_call(PlatformCall::Update, Some(&PlatformError::AnswerLost));
    metrics.set_configuration_version(12);
    let guard = metrics.request_started();
    let during = metrics.encode();
    drop(guard);
    let after = metrics.encode();

    for line in [
        r#"papaya_query_duration_seconds_sum{class="sweep",outcome="none_found"} 0.03"#,
        r#"papaya_sub_requests_needed_total{class="sweep"} 30"#,
        r#"papaya_sub_requests_sent_total{class="sweep"} 32"#,
        r#"papaya_hedges_total{class="sweep"} 1"#,
        r#"papaya_attempts_total{outcome="shed"} 1"#,
        r#"papaya_refusals_total{reason="overloaded"} 1"#,
        r#"papaya_platform_calls_total{call="update",result="answer_lost"} 1"#,
        "papaya_configuration_version 12",
        "papaya_requests_in_flight 1",
    ] {
        assert!(during.contains(line), "{line} is not in:\n{during}");
    }
    assert!(after.contains("papaya_requests_in_flight 0"));
}

#[test]
fn labels_match_the_names_on_the_wire() {
    for outcome in QueryOutcome::ALL {
        assert_eq!(serde_json::to_value(outcome).unwrap(), outcome.name());
    }
}

#[test]
fn an_unknown_log_level_is_named_in_the_error() {
    let settings = LogSettings { level: "loud".to_owned(), ..LogSettings::default() };

    let error = logs::log_config(&settings).unwrap_err();

    assert!(error.current_context().to_string().contains("`loud`"));
}

fn level_of(settings: &LogSettings, target: &str) -> log::LevelFilter {
    let config = logs::log_config(settings).unwrap();
    let mut loggers = config.loggers().iter();
    loggers.find(|logger| logger.name() == target).unwrap().level()
}

#[test]
fn spans_are_off_unless_asked_for() {
    let quiet = LogSettings::default();
    let asked_for = LogSettings { spans: true, ..LogSettings::default() };

    assert_eq!(level_of(&quiet, SPAN_TARGET), log::LevelFilter::Off);
    assert_eq!(level_of(&asked_for, SPAN_TARGET), log::LevelFilter::Info);
}

#[test]
fn the_level_applies_to_components_and_modules() {
    let settings = LogSettings { level: "debug".to_owned(), ..LogSettings::default() };

    assert_eq!(level_of(&settings, "papaya"), log::LevelFilter::Debug);
    assert_eq!(level_of(&settings, "papayastack"), log::LevelFilter::Debug);
}

#[test]
fn a_text_line_has_the_component_as_prefix() {
    let mut line = log4rs::encode::writer::simple::SimpleWriter(Vec::new());
    let encoder = log4rs::encode::pattern::PatternEncoder::new(logs::TEXT_PATTERN);
    let message = format_args!("link: Link ended.");

    let record = log::Record::builder().target("papaya::link").args(message).build();
    encoder.encode(&mut line, &record).unwrap();

    let text = String::from_utf8(line.0).unwrap();
    assert!(text.ends_with("Z INFO  link: Link ended.\n"), "{text}");
}

#[test]
fn the_metrics_page_lists_exactly_the_registered_metrics() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let metrics = Metrics::new().encode() + &crate::forward::empty_metrics();

    let types = metrics.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let registered: BTreeSet<&str> = types
        .filter_map(|line| line.split_once(' '))
        .map(|(name, kind)| if kind == "info" { "papaya_build_info" } else { name })
        .collect();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `papaya_"));
    let documented: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(|name| format!("papaya_{}", name.trim_end_matches("_total")))
        .collect();

    assert_eq!(documented, registered.into_iter().map(str::to_owned).collect());
}

#[test]
fn the_logs_page_lists_exactly_the_decision_events() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOGS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let rows: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|row| row.split('`').next())
        .collect();

    let events: Vec<String> = DecisionEvent::ALL
        .iter()
        .map(|event| serde_json::to_value(event).unwrap().as_str().unwrap().to_owned())
        .collect();

    assert_eq!(rows, events.iter().map(String::as_str).collect());
}
