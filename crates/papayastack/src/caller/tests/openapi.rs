//! Tests that `docs/openapi.json` matches the server: paths, statuses, fields and enum values.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::fixtures::*;
use crate::caller::*;
use crate::outcome::{Certainty, MissingReason, RefusalReason};
use crate::settings::{LimitSettings, QueryClass};
use crate::upstream::Selection;

const SUBMISSION: &str = r#"{"service": "reminder-mailer", "key": "1-a", "body": {}}"#;
const REASONS: [RefusalReason; 13] = [
    RefusalReason::BadRequest,
    RefusalReason::UnknownService,
    RefusalReason::Overloaded,
    RefusalReason::DeadlineTooShort,
    RefusalReason::NotReady,
    RefusalReason::Leaving,
    RefusalReason::StoreUnavailable,
    RefusalReason::UpstreamUnavailable,
    RefusalReason::DeadlineExceeded,
    RefusalReason::Conflict,
    RefusalReason::NoLongerKnown,
    RefusalReason::InProgress,
    RefusalReason::EarlierAttemptUnknown,
];
/// Refusal reasons that apply only to submissions.
const SUBMISSION_REASONS: [RefusalReason; 3] =
    [RefusalReason::Conflict, RefusalReason::NoLongerKnown, RefusalReason::InProgress];

fn document() -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi.json");
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn documented_statuses(path: &str, method: &str) -> BTreeSet<u16> {
    let responses = &document()["paths"][path][method]["responses"];
    responses.as_object().unwrap().keys().map(|status| status.parse().unwrap()).collect()
}

fn schema(name: &str) -> Value {
    document()["components"]["schemas"][name].clone()
}

fn properties(name: &str) -> BTreeSet<String> {
    schema(name)["properties"].as_object().unwrap().keys().cloned().collect()
}

fn fields(value: &Value) -> BTreeSet<String> {
    value.as_object().unwrap().keys().cloned().collect()
}

fn names(values: impl IntoIterator<Item = impl serde::Serialize>) -> Value {
    values.into_iter().map(|value| serde_json::to_value(value).unwrap()).collect()
}

/// Provokes each refusal that the server sends without asking the service, for a path with a body.
async fn statuses_of_faulty_requests(path: &str, body: &str) -> BTreeSet<u16> {
    let service = FakeService::new(Script::Answer { missing: 0 });
    let server = serve(&service).await;
    let mut text = request(&server, "POST", path, body);
    text.headers_mut().remove("content-type");
    let mut replies = vec![
        post(&server, path, body).await,
        post(&server, path, "{").await,
        send(request(&server, "PUT", path, body)).await,
        send(text).await,
    ];
    *service.limits.lock().unwrap() =
        LimitSettings { body_max_bytes: 1, ..LimitSettings::default() };
    replies.push(post(&server, path, body).await);
    *service.limits.lock().unwrap() =
        LimitSettings { header_max_bytes: 1, ..LimitSettings::default() };
    replies.push(post(&server, path, body).await);
    replies.iter().map(|reply| reply.status.as_u16()).collect()
}

async fn statuses_of_refusals(path: &str, body: &str, reasons: &[RefusalReason]) -> BTreeSet<u16> {
    let service = FakeService::new(Script::Hang);
    let server = serve(&service).await;
    let mut statuses = BTreeSet::new();
    for reason in reasons {
        for handed_over in [false, true] {
            *service.script.lock().unwrap() =
                Script::Refuse { reason: *reason, handed_over, retry_after: None };
            statuses.insert(post(&server, path, body).await.status.as_u16());
        }
    }
    statuses
}

/// Sends the head of a request with a `content-length`, but no body.
async fn status_without_body(path: &str) -> u16 {
    let service = FakeService::new(Script::Hang);
    let server = serve(&service).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: vm\r\ncontent-type: application/json\r\n");
    stream.write_all(format!("{head}content-length: 9\r\n\r\n").as_bytes()).await.unwrap();
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).await.unwrap();
    std::str::from_utf8(&status_line[9..]).unwrap().parse().unwrap()
}

#[tokio::test]
async fn the_statuses_of_queries_are_documented() {
    let reasons: Vec<RefusalReason> =
        REASONS.into_iter().filter(|reason| !SUBMISSION_REASONS.contains(reason)).collect();

    let mut statuses = statuses_of_faulty_requests(QUERY_PATH, SWEEP).await;
    statuses.extend(statuses_of_refusals(QUERY_PATH, SWEEP, &reasons).await);
    statuses.insert(408);

    assert_eq!(documented_statuses(QUERY_PATH, "post"), statuses);
}

#[tokio::test]
async fn the_statuses_of_submissions_are_documented() {
    let mut statuses = statuses_of_faulty_requests(SUBMISSIONS_PATH, SUBMISSION).await;
    statuses.extend(statuses_of_refusals(SUBMISSIONS_PATH, SUBMISSION, &REASONS).await);
    statuses.insert(408);

    assert_eq!(documented_statuses(SUBMISSIONS_PATH, "post"), statuses);
}

#[tokio::test(start_paused = true)]
async fn a_body_that_never_comes_is_refused() {
    assert_eq!(status_without_body(QUERY_PATH).await, 408);
    assert_eq!(status_without_body(SUBMISSIONS_PATH).await, 408);
}

#[tokio::test]
async fn the_statuses_of_addresses_are_documented() {
    let service = FakeService::new(Script::Hang);
    let server = serve(&service).await;

    let answered = send(request(&server, "GET", ADDRESSES_PATH, "")).await;
    let parameter = send(request(&server, "GET", "/v1/addresses?dc=a", "")).await;
    let method = send(request(&server, "POST", ADDRESSES_PATH, "")).await;
    *service.refuse_addresses.lock().unwrap() = true;
    let refused = send(request(&server, "GET", ADDRESSES_PATH, "")).await;
    service.limits.lock().unwrap().header_max_bytes = 1;
    let headers = send(request(&server, "GET", ADDRESSES_PATH, "")).await;

    let statuses = [answered, parameter, method, refused, headers].map(|r| r.status.as_u16());
    assert_eq!(documented_statuses(ADDRESSES_PATH, "get"), BTreeSet::from(statuses));
}

#[test]
fn no_other_path_is_documented() {
    let paths = fields(&document()["paths"]);

    let served = [QUERY_PATH, SUBMISSIONS_PATH, ADDRESSES_PATH].map(str::to_owned);
    assert_eq!(paths, BTreeSet::from(served));
}

#[test]
fn the_fields_of_each_message_are_documented() {
    let request_id = "r-1".to_owned();
    let query = QueryRequest {
        service: "s".to_owned(),
        class: QueryClass::Sweep,
        selection: Selection::Key("k".to_owned()),
        deadline_ms: Some(1),
        hits_limit: Some(1),
    };
    let submission: SubmissionRequest =
        serde_json::from_value(json!({"service": "s", "key": "1-a", "body": 1, "deadline_ms": 1}))
            .unwrap();
    let wait = Some(Duration::from_millis(1));
    let messages = BTreeMap::from([
        ("QueryRequest", json!(query)),
        ("SubmissionRequest", json!(submission)),
        (
            "QueryAnswer",
            json!(QueryAnswer { request_id: request_id.clone(), answer: answer(1), elapsed_ms: 1 }),
        ),
        ("Coverage", json!(answer(1).coverage())),
        ("Refusal", json!(refused(&request_id, RefusalReason::Overloaded, false, wait))),
        (
            "SubmissionAnswer",
            json!(SubmissionAnswer { request_id, receipt: String::new(), repeated: false }),
        ),
        (
            "AddressesAnswer",
            json!(AddressesAnswer {
                addresses: Vec::new(),
                data_centres: Vec::new(),
                lifetime_ms: 1
            }),
        ),
    ]);

    for (name, message) in messages {
        assert_eq!(properties(name), fields(&message), "{name}");
    }
}

#[test]
fn the_values_of_each_enum_are_documented() {
    let refusal = &schema("Refusal")["properties"];
    let missing = [
        MissingReason::DeadlineExceeded,
        MissingReason::ReplicasUnavailable,
        MissingReason::Overloaded,
        MissingReason::SnapshotRetired,
        MissingReason::NoReplica,
        MissingReason::Cancelled,
    ];
    let classes = [QueryClass::Sweep, QueryClass::Lookup, QueryClass::Archive];

    assert_eq!(refusal["reason"]["enum"], names(REASONS));
    let certainties = [Certainty::NotRun, Certainty::OutcomeUnknown];
    assert_eq!(refusal["certainty"]["enum"], names(certainties));
    let missing_schema = &schema("Coverage")["properties"]["missing"]["additionalProperties"];
    assert_eq!(missing_schema["enum"], names(missing));
    assert_eq!(schema("QueryRequest")["properties"]["class"]["enum"], names(classes));
}
