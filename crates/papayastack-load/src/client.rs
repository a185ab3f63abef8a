//! The client that sends the load: spreads requests over the VMs round robin and tries the next VM
//! when one fails.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use papayastack::{
    ADDRESSES_PATH, AddressesAnswer, QUERY_PATH, QueryAnswer, QueryRequest, RefusalAnswer,
    SUBMISSIONS_PATH, SubmissionAnswer, SubmissionRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The time that a VM may take to reply beyond the deadline of the request.
const REPLY_MARGIN: Duration = Duration::from_secs(2);
/// The time for which a VM is tried last after a failure.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(2);
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The result of a request.
#[derive(Debug)]
pub(crate) enum Reply<T> {
    Answered(Box<T>),
    Refused(RefusalAnswer),
    Failed(String),
}

/// A client with a fixed list of VM addresses.
pub(crate) struct Caller {
    addresses: Vec<SocketAddr>,
    avoided_until: Mutex<Vec<Option<Instant>>>,
    next_start: AtomicUsize,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a client of the VMs at `addresses`; the first requests open the connections.
    pub(crate) fn open(addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client =
            Client::builder(TokioExecutor::new()).pool_timer(TokioTimer::new()).build(connector);
        let avoided_until = Mutex::new(vec![None; addresses.len()]);
        Self { addresses, avoided_until, next_start: AtomicUsize::new(0), client }
    }

    /// Sends a query to one VM after the other until one replies; queries are idempotent.
    pub(crate) async fn query(&self, query: &QueryRequest) -> Reply<QueryAnswer> {
        self.send(QUERY_PATH, query, query.deadline_ms).await
    }

    /// Sends a submission to one VM after the other until one replies; its key makes retries safe.
    pub(crate) async fn submit(&self, request: &SubmissionRequest) -> Reply<SubmissionAnswer> {
        self.send(SUBMISSIONS_PATH, request, request.deadline_ms).await
    }

    /// Returns the number of VMs in the address list of the first VM.
    ///
    /// # Errors
    /// The VM does not return its address list.
    pub(crate) async fn listed_vm_count(&self) -> Result<usize, String> {
        let address = self.addresses[0];
        let request = Request::get(format!("http://{address}{ADDRESSES_PATH}"))
            .body(Full::default())
            .map_err(|error| error.to_string())?;
        match self.exchange::<AddressesAnswer>(request).await? {
            Reply::Answered(answer) => Ok(answer.addresses.len()),
            Reply::Refused(refused) => Err(refused.refusal.detail().to_owned()),
            Reply::Failed(detail) => Err(detail),
        }
    }

    async fn send<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        deadline_ms: Option<u64>,
    ) -> Reply<T> {
        let Ok(body) = serde_json::to_vec(request) else {
            return Reply::Failed("cannot encode the request as JSON".to_owned());
        };
        let body = Bytes::from(body);
        let timeout = Duration::from_millis(deadline_ms.unwrap_or(0)) + REPLY_MARGIN;
        let first = self.next_start.fetch_add(1, Ordering::Relaxed);
        let mut failure = String::new();
        for index in self.attempt_order(first) {
            let address = self.addresses[index];
            match tokio::time::timeout(timeout, self.post(address, path, body.clone())).await {
                Ok(Ok(reply)) => return reply,
                Ok(Err(detail)) => failure = detail,
                Err(_elapsed) => {
                    failure = format!("{address} did not reply within {} ms", timeout.as_millis())
                }
            }
            self.avoid(index);
        }
        Reply::Failed(failure)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Reply<T>, String> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        self.exchange(request).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply<T>, String> {
        let response = self.client.request(request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), BODY_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        if status == StatusCode::OK {
            let answer = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
            return Ok(Reply::Answered(Box::new(answer)));
        }
        serde_json::from_slice(&body).map(Reply::Refused).map_err(|error| error.to_string())
    }

    /// Returns the indexes of the VMs in round-robin order from `first`, with the avoided VMs last.
    fn attempt_order(&self, first: usize) -> Vec<usize> {
        let count = self.addresses.len();
        let now = Instant::now();
        let avoided = self.avoided_until.lock().expect("no holder of the lock panics");
        let mut order: Vec<usize> = (0..count).map(|offset| (first + offset) % count).collect();
        order.sort_by_key(|index| avoided[*index].is_some_and(|until| until > now));
        order
    }

    fn avoid(&self, index: usize) {
        let mut avoided = self.avoided_until.lock().expect("no holder of the lock panics");
        avoided[index] = Some(Instant::now() + AVOIDANCE_PERIOD);
    }
}
