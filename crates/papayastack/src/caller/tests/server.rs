//! Tests of the callers' HTTP server.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::fixtures::*;
use crate::caller::*;
use crate::observe::TraceContext;
use crate::outcome::RefusalReason;
use crate::settings::LimitSettings;

const TRACEPARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[tokio::test]
async fn an_answer_is_json_with_the_request_id() {
    let service = FakeService::new(Script::Answer { missing: 0 });
    let server = serve(&service).await;

    let reply = post(&server, QUERY_PATH, SWEEP).await;

    assert_eq!(reply.status, 200);
    assert_eq!(reply.body["verdict"], "none_found");
    assert_eq!(reply.body["request_id"], reply.header(REQUEST_ID_HEADER));
    assert!(TraceContext::parse(reply.header("traceresponse")).is_some());
}

#[tokio::test]
async fn a_well_formed_request_id_and_trace_are_kept() {
    let service = FakeService::new(Script::Answer { missing: 0 });
    let server = serve(&service).await;
    let mut modified = request(&server, "POST", QUERY_PATH, SWEEP);
    modified.headers_mut().insert(REQUEST_ID_HEADER, "call-17".parse().unwrap());
    modified.headers_mut().insert("traceparent", TRACEPARENT.parse().unwrap());
    modified.headers_mut().insert("tracestate", "vendor=1".parse().unwrap());

    let reply = send(modified).await;

    let contexts = service.contexts.lock().unwrap();
    assert_eq!(reply.header(REQUEST_ID_HEADER), "call-17");
    assert_eq!(contexts[0].trace.traceparent(), TRACEPARENT);
    assert_eq!(contexts[0].trace.state.as_deref(), Some("vendor=1"));
}

#[tokio::test]
async fn a_malformed_request_id_or_trace_is_replaced() {
    let service = FakeService::new(Script::Answer { missing: 0 });
    let server = serve(&service).await;
    let mut modified = request(&server, "POST", QUERY_PATH, SWEEP);
    modified.headers_mut().insert(REQUEST_ID_HEADER, "two words".parse().unwrap());
    modified.headers_mut().insert("traceparent", "00-0-0-00".parse().unwrap());

    let reply = send(modified).await;

    assert_eq!(reply.header(REQUEST_ID_HEADER).len(), 32);
    assert!(!service.contexts.lock().unwrap()[0].trace.sampled);
}

#[test]
fn a_traceparent_is_parsed_strictly() {
    let malformed = [
        "",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
        "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
        "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-+1",
    ];
    let later_version = "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more";

    for text in malformed {
        assert_eq!(TraceContext::parse(text), None, "{text}");
    }
    assert!(TraceContext::parse(later_version).is_some());
    assert_eq!(TraceContext::parse(TRACEPARENT).unwrap().traceparent(), TRACEPARENT);
}

#[tokio::test]
async fn an_invalid_query_is_refused_with_the_field_and_a_hint() {
    let service = FakeService::new(Script::Answer { missing: 0 });
    *service.limits.lock().unwrap() =
        LimitSettings { terms_max: 2, term_max_bytes: 8, hits_max: 5, ..LimitSettings::default() };
    let server = serve(&service).await;
    let query = |rest: &str| format!(r#"{{"service": "s", "class": "sweep", {rest}}}"#);
    let faults = [
        ("{", "EOF"),
        ("[]", "expected struct QueryRequest"),
        (&format!("{SWEEP} {SWEEP}"), "trailing characters"),
        (&query(r#""selection": {"terms": ["a"]}, "clas": 1"#), "`clas`"),
        (&query(r#""selection": {"terms": ["a", 2]}"#), "`selection.terms[1]`"),
        (&query(r#""selection": {"terms": []}"#), "`selection.terms` is empty"),
        (&query(r#""selection": {"terms": ["a", "b", "c"]}"#), "`limits.terms_max` is 2"),
        (&query(r#""selection": {"terms": ["a", "123456789"]}"#), "`selection.terms[1]` takes 9"),
        (&query(r#""selection": {"key": ""}"#), "`selection.key` is empty"),
        (&query(r#""selection": {"key": "a"}, "hits_limit": 6"#), "`limits.hits_max` is 5"),
        (&query(r#""selection": {"key": "a"}, "deadline_ms": 0"#), "`deadline_ms` is 0"),
        (&query(r#""selection": {"key": "a"}, "deadline_ms": -1"#), "`deadline_ms`"),
    ];

    for (body, expected) in faults {
        let reply = post(&server, QUERY_PATH, body).await;

        assert_eq!(reply.status, 400, "{body}");
        assert!(reply.detail().contains(expected), "{body}: {}", reply.detail());
        assert_eq!(reply.body["reason"], "bad_request");
        assert_eq!(reply.body["certainty"], "not_run");
    }
    assert!(service.contexts.lock().unwrap().is_empty());
}

#[tokio::test]
async fn limits_are_read_for_each_request() {
    let service = FakeService::new(Script::Answer { missing: 0 });
    let server = serve(&service).await;
    let before = post(&server, QUERY_PATH, SWEEP).await;
    service.limits.lock().unwrap().body_max_bytes = 10;
    let body = post(&server, QUERY_PATH, SWEEP).await;
    service.limits.lock().unwrap().header_max_bytes = 10;
    let headers = post(&server, QUERY_PATH, SWEEP).await;

    assert_eq!(before.status, 200);
    assert_eq!(body.status, 413);
    assert!(body.detail().contains("`limits.body_max_bytes`, 10 bytes"));
    assert_eq!(headers.status, 431);
    assert!(headers.detail().contains("`limits.header_max_bytes` is 10"));
}

#[tokio::test]
async fn unknown_paths_methods_media_types_and_parameters_are_refused_in_json() {
    let service = FakeService::new(Script::Answer { missing: 0 });
    let server = serve(&service).await;
    let mut text = request(&server, "POST", QUERY_PATH, SWEEP);
    text.headers_mut().insert("content-type", "text/plain".parse().unwrap());

    let path = post(&server, "/v1/querry", SWEEP).await;
    let method = send(request(&server, "GET", QUERY_PATH, "")).await;
    let media_type = send(text).await;
    let parameter = send(request(&server, "GET", "/v1/addresses?data_center=a", "")).await;

    assert_eq!(path.status, 404);
    assert!(path.detail().contains("/v1/querry"));
    assert_eq!(method.status, 405);
    assert_eq!(method.header("allow"), "POST");
    assert_eq!(media_type.status, 415);
    assert!(media_type.detail().contains("text/plain"));
    assert_eq!(parameter.status, 400);
    assert!(parameter.detail().contains("`data_center`"));
    for reply in [path, method, media_type, parameter] {
        assert_eq!(reply.body["certainty"], "not_run");
        assert_eq!(reply.body["request_id"], reply.header(REQUEST_ID_HEADER));
    }
}

#[tokio::test]
async fn each_refusal_has_its_status() {
    use RefusalReason as Reason;
    let service = FakeService::new(Script::Hang);
    let server = serve(&service).await;
    let wait = Some(Duration::from_millis(1_001));
    let statuses = [
        (Reason::BadRequest, false, None, 400),
        (Reason::UnknownService, false, None, 404),
        (Reason::Conflict, false, None, 409),
        (Reason::InProgress, true, wait, 409),
        (Reason::NoLongerKnown, true, None, 410),
        (Reason::EarlierAttemptUnknown, true, None, 502),
        (Reason::Overloaded, false, wait, 503),
        (Reason::NotReady, false, wait, 503),
        (Reason::Leaving, false, wait, 503),
        (Reason::StoreUnavailable, false, wait, 503),
        (Reason::UpstreamUnavailable, false, wait, 503),
        (Reason::UpstreamUnavailable, true, wait, 502),
        (Reason::DeadlineTooShort, false, None, 504),
        (Reason::DeadlineExceeded, true, None, 504),
    ];

    for (reason, handed_over, retry_after, status) in statuses {
        *service.script.lock().unwrap() = Script::Refuse { reason, handed_over, retry_after };
        let reply = post(&server, SUBMISSIONS_PATH, r#"{"service": "s", "body": {}}"#).await;

        assert_eq!(reply.status, status, "{reason:?}");
        assert_eq!(reply.header("retry-after"), if retry_after.is_some() { "2" } else { "" });
        let retry_after_ms = retry_after.map(|_| 1_001);
        assert_eq!(reply.body["retry_after_ms"].as_u64(), retry_after_ms);
    }
}

#[tokio::test]
async fn addresses_are_requested_for_a_data_centre() {
    let service = FakeService::new(Script::Hang);
    let server = serve(&service).await;

    let reply = send(request(&server, "GET", "/v1/addresses?data_centre=brest", "")).await;

    let answer: AddressesAnswer = serde_json::from_value(reply.body).unwrap();
    assert_eq!(answer.data_centres, ["brest"]);
}

#[tokio::test]
async fn a_caller_that_disconnects_drops_its_query() {
    let service = FakeService::new(Script::Hang);
    let server = serve(&service).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let head = "POST /v1/query HTTP/1.1\r\nhost: vm\r\ncontent-type: application/json\r\n";
    let request = format!("{head}content-length: {}\r\n\r\n{SWEEP}", SWEEP.len());
    stream.write_all(request.as_bytes()).await.unwrap();
    service.started.notified().await;

    drop(stream);

    service.dropped.notified().await;
}

#[tokio::test]
async fn shutdown_lets_requests_finish_and_closes_idle_connections() {
    let service = FakeService::new(Script::Hang);
    let server = serve(&service).await;
    let address = server.address();
    let _silent = TcpStream::connect(address).await.unwrap();
    let query = request(&server, "POST", QUERY_PATH, SWEEP);
    let reply = tokio::spawn(send(query));
    service.started.notified().await;

    let stopped = tokio::spawn(server.shutdown());
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let waits = !stopped.is_finished();
    service.released.notify_one();
    let reply = reply.await.unwrap();
    stopped.await.unwrap();

    assert!(waits, "the server stopped before its request had an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), "close");
}

#[tokio::test]
async fn a_retired_server_answers_and_closes_its_connections() {
    let service = FakeService::new(Script::Answer { missing: 0 });
    let server = serve(&service).await;

    server.retire();
    let reply = post(&server, QUERY_PATH, SWEEP).await;

    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), "close");
}
