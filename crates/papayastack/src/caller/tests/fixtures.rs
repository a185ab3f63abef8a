//! A service with scripted answers, and an HTTP client that returns the whole response.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use axum::http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::sync::Notify;

use crate::caller::*;
use crate::outcome::{Answer, Coverage, DeliveryRecord, MissingReason, Partial, RefusalReason};
use crate::settings::LimitSettings;

/// How the fake service answers a request.
#[derive(Debug, Clone)]
pub(super) enum Script {
    Answer { missing: u32 },
    Refuse { reason: RefusalReason, handed_over: bool, retry_after: Option<Duration> },
    Hang,
}

pub(super) struct FakeService {
    pub(super) script: Mutex<Script>,
    pub(super) limits: Mutex<LimitSettings>,
    pub(super) addresses: Mutex<Vec<(SocketAddr, &'static str)>>,
    pub(super) refuse_addresses: Mutex<bool>,
    pub(super) contexts: Mutex<Vec<RequestContext>>,
    pub(super) started: Notify,
    pub(super) dropped: Arc<Notify>,
    pub(super) released: Notify,
}

impl FakeService {
    pub(super) fn new(script: Script) -> Arc<Self> {
        Arc::new(Self {
            script: Mutex::new(script),
            limits: Mutex::new(LimitSettings::default()),
            addresses: Mutex::default(),
            refuse_addresses: Mutex::default(),
            contexts: Mutex::default(),
            started: Notify::new(),
            dropped: Arc::default(),
            released: Notify::new(),
        })
    }

    async fn run(&self, context: &RequestContext) -> Result<Answer, RefusalAnswer> {
        self.contexts.lock().unwrap().push(context.clone());
        let script = self.script.lock().unwrap().clone();
        match script {
            Script::Answer { missing } => Ok(answer(missing)),
            Script::Refuse { reason, handed_over, retry_after } => {
                Err(refused(&context.request_id, reason, handed_over, retry_after))
            }
            Script::Hang => {
                let _on_drop = NotifyOnDrop(Arc::clone(&self.dropped));
                self.started.notify_one();
                self.released.notified().await;
                Ok(answer(0))
            }
        }
    }
}

struct NotifyOnDrop(Arc<Notify>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

#[async_trait]
impl CallerService for FakeService {
    async fn query(
        &self,
        _request: QueryRequest,
        context: RequestContext,
    ) -> Result<QueryAnswer, RefusalAnswer> {
        let answer = self.run(&context).await?;
        Ok(QueryAnswer { request_id: context.request_id, answer, elapsed_ms: 1 })
    }

    async fn submit(
        &self,
        _request: SubmissionRequest,
        context: RequestContext,
    ) -> Result<SubmissionAnswer, RefusalAnswer> {
        self.run(&context).await?;
        let request_id = context.request_id;
        Ok(SubmissionAnswer { request_id, receipt: "receipt-1".to_owned(), repeated: false })
    }

    async fn addresses(
        &self,
        data_centre: Option<String>,
    ) -> Result<AddressesAnswer, RefusalAnswer> {
        if *self.refuse_addresses.lock().unwrap() {
            return Err(refused("r", RefusalReason::NotReady, false, None));
        }
        let known = self.addresses.lock().unwrap().clone();
        if known.is_empty() {
            return Ok(AddressesAnswer {
                addresses: vec!["127.0.0.1:7001".parse().unwrap()],
                data_centres: vec![data_centre.unwrap_or_else(|| "none".to_owned())],
                lifetime_ms: 5_000,
            });
        }
        Ok(AddressesAnswer {
            addresses: known.iter().map(|(address, _)| *address).collect(),
            data_centres: known.iter().map(|(_, name)| (*name).to_owned()).collect(),
            lifetime_ms: 60_000,
        })
    }

    fn limits(&self) -> LimitSettings {
        self.limits.lock().unwrap().clone()
    }
}

/// An answer without hits over one covered shard and `missing` missing ones.
pub(super) fn answer(missing: u32) -> Answer {
    let missing: BTreeMap<_, _> =
        (1..=missing).map(|shard| (shard, MissingReason::DeadlineExceeded)).collect();
    let coverage = Coverage::new(3, BTreeSet::from([0]), missing).unwrap();
    let partial = Partial { snapshot: 3, shard: 0, hits: Vec::new(), hits_total: 0 };
    Answer::merge("deadline-board".to_owned(), coverage, &[partial], 10).unwrap()
}

pub(super) fn refused(
    request_id: &str,
    reason: RefusalReason,
    handed_over: bool,
    retry_after: Option<Duration>,
) -> RefusalAnswer {
    let mut delivery = DeliveryRecord::new();
    if handed_over {
        delivery.sent_to("upstream");
    }
    let refusal = delivery.refuse(reason, "as scripted", retry_after);
    RefusalAnswer { request_id: request_id.to_owned(), refusal }
}

pub(super) async fn serve(service: &Arc<FakeService>) -> CallerServer {
    let service = Arc::clone(service) as Arc<dyn CallerService>;
    CallerServer::bind(any_port(), service).await.unwrap()
}

pub(super) fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// An HTTP response whose body was read to its end.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: serde_json::Value,
}

impl Reply {
    pub(super) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }

    pub(super) fn detail(&self) -> &str {
        self.body["detail"].as_str().unwrap_or_default()
    }
}

pub(super) async fn send(request: Request<Full<bytes::Bytes>>) -> Reply {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let (parts, body) = response.into_parts();
    let bytes = body.collect().await.unwrap().to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or(serde_json::Value::Null);
    Reply { status: parts.status, headers: parts.headers, body }
}

pub(super) fn request(
    server: &CallerServer,
    method: &str,
    path: &str,
    body: &str,
) -> Request<Full<bytes::Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", server.address()))
        .header("content-type", "application/json")
        .body(Full::new(bytes::Bytes::copy_from_slice(body.as_bytes())))
        .unwrap()
}

pub(super) async fn post(server: &CallerServer, path: &str, body: &str) -> Reply {
    send(request(server, "POST", path, body)).await
}

pub(super) const SWEEP: &str =
    r#"{"service": "deadline-board", "class": "sweep", "selection": {"terms": ["due"]}}"#;
