//! Tests of the command line and of the text output.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;

use papayastack::{
    Answer, CallError, Coverage, DeliveryRecord, Hit, MissingReason, Partial, QueryAnswer,
    QueryClass, RefusalAnswer, RefusalReason, Selection,
};

use crate::exit::Exit;
use crate::options::{Action, Call, Command, KeyChoice, parse_arguments};
use crate::render;

fn parse(line: &str) -> Result<Action, String> {
    let arguments: Vec<OsString> = line.split_whitespace().map(OsString::from).collect();
    parse_arguments(pico_args::Arguments::from_vec(arguments))
}

fn call(line: &str) -> Call {
    match parse(&format!("{line} --entry 127.0.0.1:1")) {
        Ok(Action::Call(call)) => call,
        other => panic!("{other:?}"),
    }
}

fn answer(hits: u32, missing: u32) -> QueryAnswer {
    let hit = |number| Hit { id: format!("grant-{number}"), score: 1, summary: "due".to_owned() };
    let hits: Vec<Hit> = (0..hits).map(hit).collect();
    let missing: BTreeMap<_, _> =
        (1..=missing).map(|shard| (shard, MissingReason::Overloaded)).collect();
    let coverage = Coverage::new(7, BTreeSet::from([0]), missing).unwrap();
    let partial = Partial { snapshot: 7, shard: 0, hits_total: hits.len() as u64, hits };
    let answer = Answer::merge("deadline-board".to_owned(), coverage, &[partial], 10).unwrap();
    QueryAnswer { request_id: "r-1".to_owned(), answer, elapsed_ms: 12 }
}

#[test]
fn terms_default_to_sweep_and_the_class_can_be_given() {
    let sweep = call("query deadline-board --term due --term term").command;
    let lookup = call("query deadline-board --key grant-1 --class archive --hits 5").command;

    assert_eq!(
        sweep,
        Command::Query {
            service: "deadline-board".to_owned(),
            class: QueryClass::Sweep,
            selection: Selection::Terms(vec!["due".to_owned(), "term".to_owned()]),
            hits_limit: None,
        }
    );
    assert_eq!(
        lookup,
        Command::Query {
            service: "deadline-board".to_owned(),
            class: QueryClass::Archive,
            selection: Selection::Key("grant-1".to_owned()),
            hits_limit: Some(5),
        }
    );
}

#[test]
fn a_submission_needs_a_key() {
    let given = call(r#"submit mailer --key 1-a --body {"to":"a"}"#).command;
    let missing_key = parse("submit mailer --body {} --entry 127.0.0.1:1").unwrap_err();

    let body = serde_json::json!({"to": "a"});
    let key = KeyChoice::Given("1-a".to_owned());
    assert_eq!(given, Command::Submit { service: "mailer".to_owned(), key, body });
    assert!(missing_key.contains("--new-key"));
}

#[test]
fn command_line_errors_name_the_cause() {
    let faults = [
        ("", "no command"),
        ("qurey s --term a", "`qurey`; did you mean `query`? The commands are query, submit"),
        ("search s --term a", "`search`. The commands are query, submit, addresses"),
        ("quer s --term a", "`quer`; did you mean `query`?"),
        ("query s --term a --deadlin-ms 5", "`--deadlin-ms`; did you mean `--deadline-ms`?"),
        ("query --tern a", "`--tern`; did you mean `--term`?"),
        ("query s --tern a", "`--tern`; did you mean `--term`?"),
        ("query s --term a --body {}", "`--body` does not belong to this command"),
        ("query s --term a extra", "`extra`"),
        ("query s", "give --term or --key"),
        ("query s --term a --key b", "not both"),
        ("query --term a", "no service"),
        ("query s --term a --class sweeep", "`sweeep`; did you mean `sweep`?"),
        ("query s --term a --deadline-ms soon", "--deadline-ms"),
        ("submit s --new-key --body {", "--body is not JSON"),
        ("submit s --new-key", "give --body or --body-file"),
        ("addresses --entry nowhere", "--entry"),
    ];

    for (line, expected) in faults {
        let problem = parse(line).unwrap_err();
        assert!(problem.contains(expected), "{line}: {problem}");
    }
}

#[test]
fn text_output_starts_with_the_coverage() {
    let found = render::query(&answer(2, 0));
    let none_found = render::query(&answer(0, 0));
    let partial = render::query(&answer(2, 3));
    let inconclusive = render::query(&answer(0, 3));

    assert!(found.starts_with("Found 2 in deadline-board, snapshot 7: all 1 shards answered."));
    assert!(none_found.starts_with("None found"));
    assert!(partial.starts_with("PARTIAL: found at least 2"));
    assert!(partial.contains("3 of 4 shards did not answer, so there may be more."));
    assert!(partial.contains("missing, every replica is overloaded: 3 (1, 2, 3)"));
    assert!(inconclusive.starts_with("INCONCLUSIVE"));
    assert!(inconclusive.contains("matching documents may exist"));
    assert!(!inconclusive.contains("None"));
}

#[test]
fn each_kind_of_answer_has_its_exit_code() {
    let exit = |hits, missing| Exit::from_answer(&answer(hits, missing).answer);

    assert_eq!(exit(1, 0), Exit::Complete);
    assert_eq!(exit(0, 0), Exit::NoneFound);
    assert_eq!(exit(1, 1), Exit::Partial);
    assert_eq!(exit(0, 1), Exit::Inconclusive);
}

#[test]
fn refusals_of_a_submission_end_with_codes_of_their_own() {
    let exits = [
        (RefusalReason::Conflict, Exit::Conflict),
        (RefusalReason::InProgress, Exit::InProgress),
        (RefusalReason::NoLongerKnown, Exit::NoLongerKnown),
        (RefusalReason::EarlierAttemptUnknown, Exit::OutcomeUnknown),
    ];

    for (reason, exit) in exits {
        let mut delivery = DeliveryRecord::new();
        delivery.sent_to("an earlier request");
        let refusal = delivery.refuse(reason, "", None);
        let error = CallError::Refused(RefusalAnswer { request_id: String::new(), refusal });
        assert_eq!(Exit::from_error(&error), exit);
    }
}
