//! The HTTP client of the VMs' operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use papayastack::{DRAIN_PATH, STATUS_PATH, VmStatus};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A client of the VMs' operator API.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl OperatorClient {
    /// Creates a client; connections are opened by its calls.
    pub(crate) fn open() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Returns the status of the VM at `address`.
    ///
    /// # Errors
    /// No response arrives in time, or the response is not a status.
    pub(crate) async fn status(&self, address: SocketAddr) -> Result<VmStatus, String> {
        let body = self.call(Method::GET, address, STATUS_PATH, StatusCode::OK).await?;
        serde_json::from_slice(&body)
            .map_err(|error| format!("the response is not a VM status: {error}"))
    }

    /// Makes the VM at `address` finish its requests and leave.
    ///
    /// # Errors
    /// No response arrives in time, or the VM refuses.
    pub(crate) async fn drain(&self, address: SocketAddr) -> Result<(), String> {
        self.call(Method::POST, address, DRAIN_PATH, StatusCode::ACCEPTED).await.map(|_| ())
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        expected: StatusCode,
    ) -> Result<Bytes, String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Empty::new())
            .map_err(|error| error.to_string())?;
        let answer = async {
            let response =
                self.client.request(request).await.map_err(|error| describe_error(&error))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), BODY_MAX_BYTES);
            let body = body.collect().await.map_err(|error| error.to_string())?;
            if status != expected {
                return Err(format!(
                    "responded with {status} instead of {expected}; is this an operator address?"
                ));
            }
            Ok(body.to_bytes())
        };
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, answer).await;
        answer
            .unwrap_or_else(|_| Err(format!("no response within {} s", RESPONSE_TIMEOUT.as_secs())))
    }
}

fn describe_error(error: &hyper_util::client::legacy::Error) -> String {
    if error.is_connect() {
        "cannot connect; is the VM running?".to_owned()
    } else {
        error.to_string()
    }
}
