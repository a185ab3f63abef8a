//! The client of the upstreams' HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use papayastack_macros::value;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::connector::CountingConnector;
use super::protocol::{CancelRequest, SearchReply, SearchRequest, SubmitReply, SubmitRequest};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const REPLY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Sends requests to upstreams over pooled connections; clones share one pool.
///
/// Dropping a call's future before its reply closes the connection. To stop a search and keep the
/// connection, send [`UpstreamClient::cancel`] and await the search's own reply.
///
/// The client does not compare the ids in a reply with those of the request: the code that
/// dispatched the attempt does, and counts replies that do not match.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    client: Client<CountingConnector, Full<Bytes>>,
    connections: Arc<AtomicU64>,
}

impl UpstreamClient {
    /// Opens a client that keeps at most `idle_max_per_upstream` idle connections to one upstream.
    pub fn open(idle_max_per_upstream: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let connector = CountingConnector::new(connector);
        let connections = connector.open_connections();
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_max_per_upstream)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client, connections }
    }

    /// Returns how many connections to upstreams are open, idle ones included.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Searches one shard, waiting up to `timeout` for the reply.
    ///
    /// # Errors
    /// Says whether the search can have run; see [`UpstreamError`].
    pub async fn search(
        &self,
        upstream: SocketAddr,
        request: &SearchRequest,
        timeout: Duration,
    ) -> Result<SearchReply, UpstreamError> {
        decode(&self.post(upstream, "/search", request, timeout).await?)
    }

    /// Cancels a search, waiting up to `timeout` for the acknowledgement.
    ///
    /// # Errors
    /// The cancellation may not have arrived.
    pub async fn cancel(
        &self,
        upstream: SocketAddr,
        request: &CancelRequest,
        timeout: Duration,
    ) -> Result<(), UpstreamError> {
        self.post(upstream, "/cancel", request, timeout).await.map(|_| ())
    }

    /// Runs a submission, waiting up to `timeout` for the reply; it is never sent twice.
    ///
    /// # Errors
    /// Says whether the submission can have run; see [`UpstreamError`].
    pub async fn submit(
        &self,
        upstream: SocketAddr,
        request: &SubmitRequest,
        timeout: Duration,
    ) -> Result<SubmitReply, UpstreamError> {
        decode(&self.post(upstream, "/submit", request, timeout).await?)
    }

    async fn post<T: Serialize>(
        &self,
        upstream: SocketAddr,
        path: &str,
        message: &T,
        timeout: Duration,
    ) -> Result<Bytes, UpstreamError> {
        let body = serde_json::to_vec(message).map_err(|error| not_sent(&error))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{upstream}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(&error))?;
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(UpstreamError::AnswerLost {
                detail: format!("no reply within {} ms", timeout.as_millis()),
            }),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, UpstreamError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { not_sent(&error) } else { answer_lost(&error) }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), REPLY_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| UpstreamError::AnswerLost { detail: error.to_string() })?
            .to_bytes();
        if status != StatusCode::OK {
            return Err(UpstreamError::Malformed { detail: format!("status {status}") });
        }
        Ok(body)
    }
}

/// Says why a call to an upstream got no usable reply.
#[value]
pub enum UpstreamError {
    /// No connection was made, so nothing was sent and nothing ran.
    NotSent {
        /// A readable description of the failure.
        detail: String,
    },
    /// The request may have been sent, but no complete reply came; it may have run.
    AnswerLost {
        /// A readable description of the failure.
        detail: String,
    },
    /// The reply violates the protocol; the request may have run.
    Malformed {
        /// What is wrong with the reply.
        detail: String,
    },
}

impl UpstreamError {
    /// Returns whether it is certain that the upstream received nothing.
    pub fn proves_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. })
    }
}

impl std::fmt::Display for UpstreamError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent { detail } => write!(formatter, "nothing was sent: {detail}"),
            Self::AnswerLost { detail } => write!(formatter, "the reply was lost: {detail}"),
            Self::Malformed { detail } => write!(formatter, "the reply is malformed: {detail}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

fn not_sent(error: &dyn std::error::Error) -> UpstreamError {
    UpstreamError::NotSent { detail: error.to_string() }
}

fn answer_lost(error: &dyn std::error::Error) -> UpstreamError {
    UpstreamError::AnswerLost { detail: error.to_string() }
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, UpstreamError> {
    serde_json::from_slice(body)
        .map_err(|error| UpstreamError::Malformed { detail: error.to_string() })
}
