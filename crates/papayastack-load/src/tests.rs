//! Tests of the load generator.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::time::Duration;

use papayastack::{Answer, Coverage, MissingReason, QueryRequest, RoutingPolicy};
use papayastack_standin::{Deployment, ServiceShape, naive_search};
use pico_args::Arguments;

use super::arrivals::{Arrival, Arrivals, PlannedRequest};
use super::check::{CheckError, KnownSnapshots, check_answer, check_submission};
use super::experiment::{Experiment, Load, LoadClass, LooksFor};
use super::options::{Options, Request};
use super::plot::latency_svg;
use super::report::Report;
use super::run::run_case;
use super::stream_stats::{ReportedOutcome, StreamStats};

const SERVICE: &str = "batch-ledger";

fn shape() -> ServiceShape {
    Deployment::Armor.services().into_iter().find(|shape| shape.name == SERVICE).unwrap()
}

fn load(looks_for: LooksFor) -> Load {
    Load {
        service: SERVICE.to_owned(),
        class: LoadClass::Sweep,
        rate_per_s: 200,
        deadline_ms: 1_000,
        looks_for,
        hits_limit: 7,
    }
}

fn planned_arrivals(seed: u64, looks_for: LooksFor) -> Vec<Arrival> {
    Arrivals::new(&load(looks_for), &shape(), seed, 0, 100).take(2_000).collect()
}

fn experiment(change: &str) -> Result<Experiment, String> {
    let mut value = serde_json::json!({
        "name": "test", "seed": 3, "duration_s": 1, "policies": ["owner"],
        "cases": [{
            "name": "ledger", "place": "armor", "services": [SERVICE],
            "load": [{ "service": SERVICE, "class": "sweep", "rate_per_s": 20 }]
        }]
    });
    json_patch::merge(&mut value, &serde_json::from_str(change).unwrap());
    Experiment::parse(&value.to_string()).map_err(|error| error.to_string())
}

fn query() -> QueryRequest {
    query_of(&planned_arrivals(1, LooksFor::Terms)[0]).clone()
}

fn query_of(arrival: &Arrival) -> &QueryRequest {
    match &arrival.request {
        PlannedRequest::Query(query) => query,
        PlannedRequest::Submission { .. } => panic!("a query was planned"),
    }
}

fn known_snapshots() -> KnownSnapshots {
    BTreeMap::from([((SERVICE.to_owned(), 1), BTreeSet::from([0, 1, 2]))])
}

fn answer(answered: &[u32], missing: &[u32], content_seed: u64) -> Answer {
    let missing = missing.iter().map(|shard| (*shard, MissingReason::Overloaded)).collect();
    let coverage = Coverage::new(1, answered.iter().copied().collect(), missing).unwrap();
    let query = query();
    let partials: Vec<_> = answered
        .iter()
        .map(|shard| naive_search(content_seed, SERVICE, 1, *shard, &query.selection, 7))
        .collect();
    Answer::merge(SERVICE.to_owned(), coverage, &partials, 7).unwrap()
}

fn options(arguments: &[&str]) -> Result<Request, String> {
    let arguments = arguments.iter().map(OsString::from).collect();
    Options::from_arguments(Arguments::from_vec(arguments))
}

#[test]
fn equal_seeds_give_equal_arrivals_and_other_seeds_do_not() {
    let first = planned_arrivals(5, LooksFor::Key);
    let again = planned_arrivals(5, LooksFor::Key);
    let other = planned_arrivals(6, LooksFor::Key);

    let times = |plan: &[Arrival]| plan.iter().map(|arrival| arrival.at).collect::<Vec<_>>();
    assert_eq!(times(&first), times(&again));
    assert!(first.iter().zip(&again).all(|(left, right)| query_of(left) == query_of(right)));
    assert_ne!(times(&first), times(&other));
}

#[test]
fn arrivals_match_the_configured_rate_and_checked_share() {
    let plan = planned_arrivals(5, LooksFor::Terms);

    let seconds = plan.last().unwrap().at.as_secs_f64();
    let checked = plan.iter().filter(|arrival| arrival.checked).count();

    assert!((9.0..11.0).contains(&seconds), "{seconds}");
    assert!((150..250).contains(&checked), "{checked}");
    assert!(plan.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn answers_equal_to_the_naive_search_over_their_coverage_pass_the_check() {
    let complete = check_answer(1, &query(), &answer(&[0, 1, 2], &[], 1), &known_snapshots());
    let partial = check_answer(1, &query(), &answer(&[0, 2], &[1], 1), &known_snapshots());

    assert_eq!((complete, partial), (Ok(()), Ok(())));
}

#[test]
fn wrong_answers_give_the_error_of_their_kind() {
    let content = check_answer(1, &query(), &answer(&[0, 1, 2], &[], 2), &known_snapshots());
    let coverage = check_answer(1, &query(), &answer(&[0, 1], &[], 1), &known_snapshots());
    let snapshot = check_answer(1, &query(), &answer(&[0, 1, 2], &[], 1), &BTreeMap::new());

    assert_eq!(content, Err(CheckError::Content));
    assert_eq!(coverage, Err(CheckError::Coverage));
    assert_eq!(snapshot, Err(CheckError::UnknownSnapshot));
}

#[test]
fn false_submission_outcomes_give_the_error_of_their_kind() {
    assert_eq!(check_submission(ReportedOutcome::Done, 1), Ok(()));
    assert_eq!(check_submission(ReportedOutcome::NotRun, 0), Ok(()));
    assert_eq!(check_submission(ReportedOutcome::Unknown, 0), Ok(()));
    assert_eq!(check_submission(ReportedOutcome::Unknown, 1), Ok(()));

    assert_eq!(check_submission(ReportedOutcome::Unknown, 2), Err(CheckError::RanTwice));
    assert_eq!(check_submission(ReportedOutcome::NotRun, 1), Err(CheckError::RanThoughNotRun));
    assert_eq!(check_submission(ReportedOutcome::Done, 0), Err(CheckError::NotRunThoughDone));
}

#[test]
fn stream_stats_count_complete_partial_and_late_answers_separately() {
    let mut stats = StreamStats::new();
    let deadline = Duration::from_millis(100);

    stats.record_answer(&answer(&[0, 1, 2], &[], 1), Duration::from_millis(50), deadline);
    stats.record_answer(&answer(&[0], &[1, 2], 1), Duration::from_millis(500), deadline);

    assert_eq!((stats.complete, stats.partial, stats.late), (1, 1, 1));
    assert_eq!((stats.shards_total, stats.shards_answered), (6, 4));
    assert_eq!(stats.missing, BTreeMap::from([("overloaded".to_owned(), 2)]));
}

#[test]
fn an_invalid_experiment_is_rejected_with_the_path_of_the_error() {
    let load = |fields: &str| {
        format!(r#"{{"cases":[{{"name":"a","place":"armor","load":[{{{fields}}}]}}]}}"#)
    };
    let cases = [
        (r#"{"duraton_s": 3}"#.to_owned(), "duraton_s"),
        (r#"{"duration_s": 0}"#.to_owned(), "`duration_s`"),
        (r#"{"duration_s": 601}"#.to_owned(), "`duration_s`"),
        (r#"{"policies": ["fast"]}"#.to_owned(), "policies[0]"),
        (r#"{"cases": []}"#.to_owned(), "`cases`"),
        (load(r#""service":"x","class":"sweep","rate_per_s":1"#), "`cases[0].load[0].service`"),
        (
            load(r#""service":"batch-ledger","class":"sweep","rate_per_s":20001"#),
            "`cases[0].load[0].rate_per_s`",
        ),
        (
            load(r#""service":"batch-ledger","class":"submission","rate_per_s":1"#),
            "`cases[0].load[0].class`",
        ),
        (
            r#"{"cases":[{"name":"a","place":"armor","vms":{"running":{"addresses":["192.0.2.1:80"]}},
                "load":[{"service":"batch-ledger","class":"sweep","rate_per_s":1}]}]}"#
                .to_owned(),
            "`cases[0].vms`",
        ),
        (
            r#"{"cases":[{"name":"a","place":"armor","faults":[{"at_s":1,"fault":{"kill_vm":4}}],
                "load":[{"service":"batch-ledger","class":"sweep","rate_per_s":1}]}]}"#
                .to_owned(),
            "`cases[0].faults[0].fault`",
        ),
    ];

    for (change, path) in cases {
        let error = experiment(&change).unwrap_err();

        assert!(error.contains(path), "{change}: {error}");
    }
}

#[test]
fn command_line_errors_name_the_wrong_argument() {
    let misspelt = options(&["a.json", "--jsn", "x"]);
    let extra = options(&["a.json", "b.json"]);
    let none = options(&[]);

    assert!(misspelt.err().unwrap().contains("--jsn"));
    assert!(extra.err().unwrap().contains("b.json"));
    assert!(none.err().unwrap().contains("experiment file"));
}

#[test]
fn the_example_experiments_are_valid() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/experiments");
    let mut count = 0;
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();

        let parsed = Experiment::parse(&text);

        assert!(parsed.is_ok(), "{}: {}", path.display(), parsed.unwrap_err());
        count += 1;
    }
    assert!(count > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_run_accounts_for_every_request_and_finds_no_wrong_answer() {
    let mut experiment = experiment("{}").unwrap();
    experiment.checked_permille = 1_000;

    let result = run_case(&experiment, &experiment.cases[0], RoutingPolicy::Owner).await.unwrap();
    let mut report = Report::new(&experiment);
    report.add(&experiment.cases[0], &result);

    let stats = &result.stream_stats[0];
    let accounted = stats.answers() + stats.refusals() + stats.failed + stats.dropped;
    assert_eq!(accounted, stats.arrived);
    assert!(stats.answers() > 0, "{:?}", stats.refused);
    assert_eq!((stats.checked, report.wrong_answers()), (stats.answers(), 0));
    assert!(result.searches_received.unwrap() >= result.sub_requests_needed);
    assert!(report.markdown().contains("| ledger | owner | batch-ledger, sweep |"));
    assert!(latency_svg(&report).unwrap().starts_with("<svg"));
}
