//! One HTTP request to one VM.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::{Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::call::PreparedCall;
use super::retry::AttemptFailure;
use crate::caller::context::{REQUEST_ID_HEADER, TRACEPARENT_HEADER};
use crate::caller::protocol::RefusalAnswer;
use crate::caller::server::ADDRESSES_PATH;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bounds on how long a response is awaited before the VM's liveness is checked.
const LIVENESS_CHECK_DELAY_MIN: Duration = Duration::from_millis(50);
const LIVENESS_CHECK_DELAY_MAX: Duration = Duration::from_millis(250);

/// An HTTP client with one connection pool.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends attempt number `attempt` of `call` to `address` and waits until `deadline`.
    ///
    /// While no response arrives, the VM's liveness is checked over a separate connection, so that
    /// a frozen VM is detected long before the deadline. Each further attempt waits twice as long
    /// before its first check: if all VMs are slow, retrying elsewhere only adds load.
    pub(crate) async fn send<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &PreparedCall,
        attempt: u32,
        deadline: Instant,
    ) -> Result<T, AttemptFailure> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let delay_factor = 1 << (attempt - 1);
        let mut check_delay = (remaining / 4)
            .clamp(LIVENESS_CHECK_DELAY_MIN, LIVENESS_CHECK_DELAY_MAX)
            * delay_factor;
        let request = call.request(address, remaining);
        let mut exchange = std::pin::pin!(self.exchange(request));
        loop {
            let wait = check_delay.min(deadline.saturating_duration_since(Instant::now()));
            if let Ok(reply) = tokio::time::timeout(wait, &mut exchange).await {
                return reply.and_then(read_reply);
            }
            if Instant::now() >= deadline {
                let detail = format!("{address} did not answer before the deadline");
                return Err(AttemptFailure::NoAnswer { detail });
            }
            tokio::select! {
                reply = &mut exchange => return reply.and_then(read_reply),
                alive = self.is_alive(address, wait) => {
                    if !alive {
                        let detail = format!(
                            "{address} did not answer a liveness check within {} ms",
                            wait.as_millis()
                        );
                        return Err(AttemptFailure::NoAnswer { detail });
                    }
                }
            }
            check_delay *= 2;
        }
    }

    /// Sends a `GET` request for `path` to `address` and waits at most `timeout` for the answer.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, AttemptFailure> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|error| AttemptFailure::NotConnected { detail: error.to_string() })?;
        match tokio::time::timeout(timeout, self.exchange(Ok(request))).await {
            Ok(reply) => reply.and_then(read_reply),
            Err(_elapsed) => Err(AttemptFailure::NoAnswer {
                detail: format!("{address} did not answer within {} ms", timeout.as_millis()),
            }),
        }
    }

    async fn is_alive(&self, address: SocketAddr, timeout: Duration) -> bool {
        match self.get::<serde_json::Value>(address, ADDRESSES_PATH, timeout).await {
            Ok(_) | Err(AttemptFailure::Refused(_) | AttemptFailure::Unexpected { .. }) => true,
            Err(AttemptFailure::NotConnected { .. } | AttemptFailure::NoAnswer { .. }) => false,
        }
    }

    async fn exchange(
        &self,
        request: Result<Request<Full<Bytes>>, axum::http::Error>,
    ) -> Result<(StatusCode, Bytes), AttemptFailure> {
        let request =
            request.map_err(|error| AttemptFailure::NotConnected { detail: error.to_string() })?;
        let address = request.uri().authority().map(ToString::to_string).unwrap_or_default();
        let response = self.client.request(request).await.map_err(|error| {
            let detail = format!("{address}: {}", root_cause(&error));
            if error.is_connect() {
                AttemptFailure::NotConnected { detail }
            } else {
                AttemptFailure::NoAnswer { detail }
            }
        })?;
        collect(response).await.map_err(|error| AttemptFailure::NoAnswer {
            detail: format!(
                "{address}: the connection failed during the response: {}",
                root_cause(&error)
            ),
        })
    }
}

impl PreparedCall {
    fn request(
        &self,
        address: SocketAddr,
        remaining: Duration,
    ) -> Result<Request<Full<Bytes>>, axum::http::Error> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", self.path()))
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, self.request_id());
        if let Some(trace) = self.trace() {
            request = request.header(TRACEPARENT_HEADER, trace.traceparent());
        }
        request.body(Full::new(self.body(remaining)))
    }
}

async fn collect(response: Response<Incoming>) -> Result<(StatusCode, Bytes), hyper::Error> {
    let status = response.status();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok((status, bytes))
}

fn read_reply<T: DeserializeOwned>(reply: (StatusCode, Bytes)) -> Result<T, AttemptFailure> {
    let (status, bytes) = reply;
    let unexpected = |error: serde_json::Error| AttemptFailure::Unexpected {
        status: status.as_u16(),
        detail: format!("the response body cannot be decoded: {error}"),
    };
    if status == StatusCode::OK {
        return serde_json::from_slice(&bytes).map_err(unexpected);
    }
    let refused: RefusalAnswer = serde_json::from_slice(&bytes).map_err(unexpected)?;
    Err(AttemptFailure::Refused(refused.refusal))
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
