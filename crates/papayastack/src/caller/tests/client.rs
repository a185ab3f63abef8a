//! Tests of the client library against servers on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::fixtures::*;
use crate::caller::*;
use crate::observe::IdSource;
use crate::outcome::{Certainty, RefusalReason};

/// The ways in which a faulty VM treats its connections.
#[derive(Clone, Copy)]
enum SocketFault {
    /// Reads a request and closes the connection.
    Closes,
    /// Accepts connections and never answers.
    Silent,
}

async fn faulty_vm(fault: SocketFault) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open_streams = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            match fault {
                SocketFault::Silent => open_streams.push(stream),
                SocketFault::Closes => {
                    let _ = stream.read(&mut [0; 4096]).await;
                }
            }
        }
    });
    address
}

async fn closed_port() -> SocketAddr {
    TcpListener::bind(any_port()).await.unwrap().local_addr().unwrap()
}

/// Opens a client that prefers `first` and also knows a healthy VM.
async fn client_preferring(
    first: SocketAddr,
    script: Script,
) -> (CallerClient, Arc<FakeService>, CallerServer) {
    let service = FakeService::new(script);
    let server = serve(&service).await;
    *service.addresses.lock().unwrap() = vec![(first, "near"), (server.address(), "far")];
    let client = CallerClient::open(vec![server.address()], Some("near".to_owned())).await;
    (client, service, server)
}

fn query() -> QueryRequest {
    let request: QueryRequest = serde_json::from_str(SWEEP).unwrap();
    QueryRequest { deadline_ms: Some(10_000), ..request }
}

fn submission(key: Option<&str>) -> SubmissionRequest {
    SubmissionRequest {
        service: "reminder-mailer".to_owned(),
        key: key.map(str::to_owned),
        body: serde_json::json!({}),
        deadline_ms: Some(10_000),
    }
}

#[tokio::test]
async fn a_query_survives_a_vm_that_is_down_disconnects_or_freezes() {
    let faulty = [
        closed_port().await,
        faulty_vm(SocketFault::Closes).await,
        faulty_vm(SocketFault::Silent).await,
    ];

    for address in faulty {
        let (client, service, _server) =
            client_preferring(address, Script::Answer { missing: 0 }).await;

        let answer = client.query(query(), CallContext::default()).await;

        assert!(answer.unwrap().answer.verdict().is_none_found());
        assert_eq!(service.contexts.lock().unwrap().len(), 1);
    }
}

#[tokio::test]
async fn a_query_is_retried_elsewhere_when_its_vm_is_leaving() {
    let leaving = FakeService::new(Script::Refuse {
        reason: RefusalReason::Leaving,
        handed_over: false,
        retry_after: None,
    });
    let first = serve(&leaving).await;
    let (client, _service, _server) =
        client_preferring(first.address(), Script::Answer { missing: 0 }).await;
    let context = CallContext { request_id: Some("call-1".to_owned()), trace: None };

    let answer = client.query(query(), context).await.unwrap();

    assert_eq!(answer.request_id, "call-1");
    assert_eq!(leaving.contexts.lock().unwrap()[0].request_id, "call-1");
}

#[tokio::test]
async fn a_submission_without_key_is_not_retried_after_a_lost_answer() {
    let closing = faulty_vm(SocketFault::Closes).await;
    let (client, service, _server) =
        client_preferring(closing, Script::Answer { missing: 0 }).await;

    let error = client.submit(submission(None), CallContext::default()).await.unwrap_err();

    assert_eq!(error.certainty(), Certainty::OutcomeUnknown);
    assert!(service.contexts.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_submission_with_a_key_is_retried_after_a_lost_answer() {
    let closing = faulty_vm(SocketFault::Closes).await;
    let (client, _service, _server) =
        client_preferring(closing, Script::Answer { missing: 0 }).await;

    let answer = client.submit(submission(Some("1-a")), CallContext::default()).await.unwrap();

    assert_eq!(answer.receipt, "receipt-1");
}

#[tokio::test]
async fn not_run_is_not_claimed_for_an_earlier_attempt_that_may_have_run() {
    let closing = faulty_vm(SocketFault::Closes).await;
    let refuses =
        Script::Refuse { reason: RefusalReason::BadRequest, handed_over: false, retry_after: None };
    let (client, _service, _server) = client_preferring(closing, refuses).await;

    let error = client.submit(submission(Some("1-a")), CallContext::default()).await.unwrap_err();

    let CallError::Refused(refused) = error else { panic!("{error}") };
    assert_eq!(refused.refusal.certainty(), Certainty::OutcomeUnknown);
}

#[tokio::test]
async fn a_query_without_a_reachable_vm_is_reported_as_not_run() {
    let client = CallerClient::open(vec![closed_port().await], None).await;
    let request = QueryRequest { deadline_ms: Some(100), ..query() };

    let error = client.query(request, CallContext::default()).await.unwrap_err();

    assert_eq!(error.certainty(), Certainty::NotRun);
}

#[tokio::test]
async fn an_answer_of_another_protocol_is_reported_as_unexpected() {
    let listener = tokio::net::TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, axum::Router::new()).await });
    let client = CallerClient::open(vec![address], None).await;

    let error = client.query(query(), CallContext::default()).await.unwrap_err();

    assert!(matches!(error, CallError::Unexpected { status: 404, .. }), "{error}");
}

#[test]
fn a_new_submission_key_starts_with_its_time_of_issue() {
    let issued_at = SystemTime::UNIX_EPOCH + std::time::Duration::from_millis(1_234);

    let key = new_submission_key(issued_at, &IdSource::seeded(1));

    assert!(key.starts_with("1234-"));
    assert_eq!(key.len(), "1234-".len() + 32);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_vm_of_four_fails_no_query() {
    const QUERIES: usize = 400;
    const CONCURRENT_MAX: usize = 20;
    let service = FakeService::new(Script::Answer { missing: 0 });
    let mut servers = Vec::new();
    for _ in 0..3 {
        servers.push(serve(&service).await);
    }
    // Shutting down a separate runtime closes its connections, as killing a process does.
    let killed_runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let killed_service = Arc::clone(&service);
    servers.push(killed_runtime.spawn(async move { serve(&killed_service).await }).await.unwrap());
    *service.addresses.lock().unwrap() =
        servers.iter().map(|server| (server.address(), "centro-a")).collect();
    let client = Arc::new(CallerClient::open(vec![servers[0].address()], None).await);

    let mut killed_runtime = Some(killed_runtime);
    let mut running = tokio::task::JoinSet::new();
    for number in 0..QUERIES {
        if number == QUERIES / 4 {
            killed_runtime.take().unwrap().shutdown_background();
        }
        if running.len() == CONCURRENT_MAX {
            running.join_next().await.unwrap().unwrap();
        }
        let client = Arc::clone(&client);
        running.spawn(async move {
            client.query(query(), CallContext::default()).await.unwrap();
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.unwrap();
    }

    assert!(service.contexts.lock().unwrap().len() >= QUERIES);
}
