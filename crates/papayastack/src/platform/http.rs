//! The platform over its published HTTP interface.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::api::{
    ListedVm, Object, ObjectName, ObjectVersion, Platform, PlatformError, Precondition,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// The header with the wait in milliseconds; `Retry-After` itself counts whole seconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Speaks to the platform over HTTP, one address at a time.
///
/// A call moves on to the next address only where the first one proved that nothing was done: the
/// connection failed, or the platform answered that it is unavailable. A read may also move on
/// after its answer was lost; an update may not.
#[derive(Debug)]
pub struct HttpPlatform {
    addresses: Vec<SocketAddr>,
    preferred: AtomicUsize,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpPlatform {
    /// Opens the platform at `addresses`; connections are made by the first calls.
    pub fn open(addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { addresses, preferred: AtomicUsize::new(0), client }
    }

    async fn call(&self, call: &Call) -> Result<Reply, PlatformError> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut outcome = Err(PlatformError::Unavailable);
        for offset in 0..self.addresses.len() {
            let index = (first + offset) % self.addresses.len();
            outcome = self.call_one(self.addresses[index], call).await;
            if !call.may_move_on(&outcome) {
                self.preferred.store(index, Ordering::Relaxed);
                return outcome;
            }
        }
        outcome
    }

    async fn call_one(&self, address: SocketAddr, call: &Call) -> Result<Reply, PlatformError> {
        let request = call.request(address)?;
        let limit = ANSWER_TIMEOUT.saturating_add(call.wait);
        match tokio::time::timeout(limit, self.exchange(request)).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(PlatformError::AnswerLost),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, PlatformError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { PlatformError::Unavailable } else { PlatformError::AnswerLost }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, BODY_MAX_BYTES)
            .collect()
            .await
            .map_err(|_| PlatformError::AnswerLost)?
            .to_bytes();
        Reply::classify(head.status, &head.headers, body)
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn read(&self, name: &ObjectName) -> Result<Object, PlatformError> {
        self.call(&Call::read(object_path(name))).await?.object()
    }

    async fn watch(
        &self,
        name: &ObjectName,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let path = format!("{}?after={after}&wait_ms={}", object_path(name), wait.as_millis());
        let mut call = Call::read(path);
        call.wait = wait;
        let reply = self.call(&call).await?;
        if reply.status == StatusCode::NOT_MODIFIED { Ok(None) } else { reply.object().map(Some) }
    }

    async fn update(
        &self,
        name: &ObjectName,
        precondition: Precondition,
        value: serde_json::Value,
    ) -> Result<ObjectVersion, PlatformError> {
        let call = Call {
            method: Method::PUT,
            path: object_path(name),
            precondition: Some(precondition),
            body: Bytes::from(value.to_string()),
            wait: Duration::ZERO,
        };
        self.call(&call).await?.version()
    }

    async fn delete(&self, name: &ObjectName, version: ObjectVersion) -> Result<(), PlatformError> {
        let call = Call {
            method: Method::DELETE,
            path: object_path(name),
            precondition: Some(Precondition::Version(version)),
            body: Bytes::new(),
            wait: Duration::ZERO,
        };
        self.call(&call).await.map(|_| ())
    }

    async fn list(&self, kind: &str) -> Result<Vec<ObjectName>, PlatformError> {
        let path = format!("/objects/{}", encoded_segment(kind));
        let names: Vec<String> = self.call(&Call::read(path)).await?.decode()?;
        Ok(names.into_iter().map(|name| ObjectName::new(kind, name)).collect())
    }

    async fn vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        self.call(&Call::read("/vms".to_owned())).await?.decode()
    }
}

struct Call {
    method: Method,
    path: String,
    precondition: Option<Precondition>,
    body: Bytes,
    wait: Duration,
}

impl Call {
    fn read(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            precondition: None,
            body: Bytes::new(),
            wait: Duration::ZERO,
        }
    }

    fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, PlatformError> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.path));
        match &self.precondition {
            Some(Precondition::Absent) => builder = builder.header(IF_NONE_MATCH, "*"),
            Some(Precondition::Version(version)) => {
                builder = builder.header(IF_MATCH, format!("\"{version}\""));
            }
            None => {}
        }
        builder
            .body(Full::new(self.body.clone()))
            .map_err(|error| PlatformError::Rejected { detail: error.to_string() })
    }

    /// Tells whether another address may be asked without the risk of a second effect.
    fn may_move_on(&self, outcome: &Result<Reply, PlatformError>) -> bool {
        match outcome {
            Err(PlatformError::Unavailable) => true,
            Err(PlatformError::AnswerLost) => self.method == Method::GET,
            _ => false,
        }
    }
}

struct Reply {
    status: StatusCode,
    version: Option<ObjectVersion>,
    body: Bytes,
}

impl Reply {
    fn classify(
        status: StatusCode,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Self, PlatformError> {
        match status {
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict),
            StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::RateLimited { retry_after: retry_after(headers) })
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::Unavailable),
            _ if status.is_client_error() => Err(PlatformError::Rejected {
                detail: format!("{status}: {}", String::from_utf8_lossy(&body)),
            }),
            // A gateway's error or a crash says nothing about the effect of an update.
            _ if status.is_server_error() => Err(PlatformError::AnswerLost),
            _ => Ok(Self { status, version: version_of(headers), body }),
        }
    }

    fn version(&self) -> Result<ObjectVersion, PlatformError> {
        self.version.ok_or(PlatformError::AnswerLost)
    }

    fn object(&self) -> Result<Object, PlatformError> {
        Ok(Object { version: self.version()?, value: self.decode()? })
    }

    fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body).map_err(|_| PlatformError::AnswerLost)
    }
}

fn version_of(headers: &HeaderMap) -> Option<ObjectVersion> {
    headers.get(ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let number = |name: &str| -> Option<u64> { headers.get(name)?.to_str().ok()?.parse().ok() };
    number(RETRY_AFTER_MS_HEADER)
        .map(Duration::from_millis)
        .or_else(|| number(RETRY_AFTER.as_str()).map(Duration::from_secs))
        .unwrap_or(RETRY_AFTER_DEFAULT)
}

fn object_path(name: &ObjectName) -> String {
    format!("/objects/{}/{}", encoded_segment(&name.kind), encoded_segment(&name.name))
}

/// Percent-encodes everything but the unreserved characters of RFC 3986.
fn encoded_segment(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
