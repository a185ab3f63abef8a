//! Tests of `papayaq` against a caller server with scripted answers.

use std::collections::BTreeSet;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use papayastack::{
    AddressesAnswer, Answer, CallerServer, CallerService, Coverage, DeliveryRecord, LimitSettings,
    Partial, QueryAnswer, QueryRequest, RefusalAnswer, RefusalReason, RequestContext,
    SubmissionAnswer, SubmissionRequest,
};

/// A VM that finds no documents, and accepts one body for each submission key.
#[derive(Default)]
struct FakeVm {
    submitted: Mutex<Vec<(String, serde_json::Value)>>,
}

impl FakeVm {
    fn refuse(&self, reason: RefusalReason, wait: Option<Duration>) -> RefusalAnswer {
        let refusal = DeliveryRecord::new().refuse(reason, "as scripted", wait);
        RefusalAnswer { request_id: "r-1".to_owned(), refusal }
    }
}

#[async_trait]
impl CallerService for FakeVm {
    async fn query(
        &self,
        request: QueryRequest,
        context: RequestContext,
    ) -> Result<QueryAnswer, RefusalAnswer> {
        if request.service == "unknown" {
            return Err(self.refuse(RefusalReason::UnknownService, None));
        }
        let coverage = Coverage::new(1, BTreeSet::from([0]), [].into()).expect("one shard");
        let partial = Partial { snapshot: 1, shard: 0, hits: Vec::new(), hits_total: 0 };
        let answer =
            Answer::merge(request.service, coverage, &[partial], 10).expect("one snapshot");
        Ok(QueryAnswer { request_id: context.request_id, answer, elapsed_ms: 1 })
    }

    async fn submit(
        &self,
        request: SubmissionRequest,
        context: RequestContext,
    ) -> Result<SubmissionAnswer, RefusalAnswer> {
        let key = request.key.expect("papayaq sends a key");
        let mut submitted = self.submitted.lock().expect("no test panicked");
        let earlier = submitted.iter().find(|(known, _)| *known == key).cloned();
        let request_id = context.request_id;
        let receipt = "receipt-1".to_owned();
        match earlier {
            None => {
                submitted.push((key, request.body));
                Ok(SubmissionAnswer { request_id, receipt, repeated: false })
            }
            Some((_, body)) if body == request.body => {
                Ok(SubmissionAnswer { request_id, receipt, repeated: true })
            }
            Some(_) => Err(self.refuse(RefusalReason::Conflict, None)),
        }
    }

    async fn addresses(&self, _: Option<String>) -> Result<AddressesAnswer, RefusalAnswer> {
        Err(self.refuse(RefusalReason::NotReady, Some(Duration::from_millis(10))))
    }

    fn limits(&self) -> LimitSettings {
        LimitSettings::default()
    }
}

async fn start_fake_vm() -> CallerServer {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    CallerServer::bind(any_port, Arc::new(FakeVm::default())).await.expect("a free port")
}

async fn papayaq(server: &CallerServer, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_papayaq"));
    command.args(arguments).arg("--entry").arg(server.address().to_string());
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    output.expect("the task ends").expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn a_query_without_hits_is_reported_in_text_json_and_exit_code() {
    let server = start_fake_vm().await;

    let text_output = papayaq(&server, &["query", "board", "--term", "due"]).await;
    let json = papayaq(&server, &["query", "board", "--term", "due", "--json"]).await;

    assert_eq!(text_output.status.code(), Some(1), "{text_output:?}");
    assert!(text(&text_output.stdout).starts_with("None found in board"));
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(json["verdict"], "none_found");
}

#[tokio::test]
async fn a_submission_runs_once_for_its_key() {
    let server = start_fake_vm().await;

    let first =
        papayaq(&server, &["submit", "mailer", "--new-key", "--body", "{}", "--json"]).await;
    let answer: serde_json::Value = serde_json::from_slice(&first.stdout).expect("JSON");
    let key = answer["key"].as_str().expect("the key is printed").to_owned();
    let again = papayaq(&server, &["submit", "mailer", "--key", &key, "--body", "{}"]).await;
    let other = papayaq(&server, &["submit", "mailer", "--key", &key, "--body", "[]"]).await;

    assert_eq!(first.status.code(), Some(0));
    assert!(text(&first.stderr).contains(&format!("key: {key}")));
    assert_eq!(again.status.code(), Some(0));
    assert!(text(&again.stdout).contains("was not run again"));
    assert_eq!(other.status.code(), Some(7));
}

#[tokio::test]
async fn refusals_and_usage_errors_have_their_own_exit_codes() {
    let server = start_fake_vm().await;

    let refused = papayaq(&server, &["query", "unknown", "--term", "due"]).await;
    let usage_error = papayaq(&server, &["query", "board", "--term", "due", "--jsn"]).await;
    let help = papayaq(&server, &["--help"]).await;
    let version = papayaq(&server, &["--version"]).await;

    assert_eq!(refused.status.code(), Some(5));
    assert!(text(&refused.stdout).starts_with("NOT RUN: refused: as scripted"));
    assert_eq!(usage_error.status.code(), Some(2));
    assert!(text(&usage_error.stderr).contains("did you mean `--json`?"));
    assert!(text(&help.stdout).contains("Exit codes:"));
    assert_eq!((help.status.code(), version.status.code()), (Some(0), Some(0)));
}
