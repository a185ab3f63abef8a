//! The operators' HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use axum::extract::{Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use error_stack::Report;
use papayastack_macros::{message, value};

use crate::listen::{BindError, HttpServer};

/// The path of the metrics, for scraping.
pub const METRICS_PATH: &str = "/metrics";
/// The path of the VM's status as JSON.
pub const STATUS_PATH: &str = "/status";
/// The path that answers as long as the process runs.
pub const HEALTH_PATH: &str = "/healthz";
/// The path that tells whether callers are served.
pub const READY_PATH: &str = "/readyz";
/// The path that starts a graceful shutdown of the VM.
pub const DRAIN_PATH: &str = "/drain";

const OPEN_METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Whether callers are served.
#[value]
pub enum Readiness {
    /// Callers are served.
    Ready,
    /// Callers are refused.
    NotReady {
        /// Why callers are refused, as readable text.
        detail: String,
    },
}

/// Answers operators' requests.
#[async_trait]
pub trait OperatorService: Send + Sync + 'static {
    /// Returns the metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Returns the status of the VM as a JSON value.
    async fn status(&self) -> serde_json::Value;

    /// Returns whether callers are served.
    fn readiness(&self) -> Readiness;

    /// Starts to leave and returns at once; a second call changes nothing.
    fn drain(&self);
}

/// The JSON body of every response except the metrics and the status.
#[message]
struct StateBody {
    state: String,
    detail: String,
}

impl StateBody {
    fn new(state: &str, detail: impl Into<String>) -> Json<Self> {
        Json(Self { state: state.to_owned(), detail: detail.into() })
    }
}

/// A running HTTP server for operators; dropping it closes its connections at once.
#[derive(Debug)]
pub struct OperatorServer {
    server: HttpServer,
}

impl OperatorServer {
    /// Listens on `address` and passes requests to `service`; port 0 takes a free port.
    ///
    /// # Errors
    /// The address is not local, or is in use.
    pub async fn bind(
        address: SocketAddr,
        service: Arc<dyn OperatorService>,
    ) -> Result<Self, Report<BindError>> {
        Ok(Self { server: HttpServer::bind(address, router(service)).await? })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

type Service = State<Arc<dyn OperatorService>>;

fn router(service: Arc<dyn OperatorService>) -> Router {
    Router::new()
        .route(METRICS_PATH, get(metrics))
        .route(STATUS_PATH, get(status))
        .route(HEALTH_PATH, get(health))
        .route(READY_PATH, get(ready))
        .route(DRAIN_PATH, post(drain))
        .fallback(unknown_path)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(service)
}

async fn metrics(State(service): Service) -> Response {
    let content_type = (header::CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS_TYPE));
    ([content_type], service.metrics()).into_response()
}

async fn status(State(service): Service) -> Response {
    Json(service.status().await).into_response()
}

async fn health() -> Response {
    StateBody::new("running", "the process runs").into_response()
}

async fn ready(State(service): Service) -> Response {
    match service.readiness() {
        Readiness::Ready => StateBody::new("ready", "callers are served").into_response(),
        Readiness::NotReady { detail } => {
            (StatusCode::SERVICE_UNAVAILABLE, StateBody::new("not_ready", detail)).into_response()
        }
    }
}

async fn drain(State(service): Service) -> Response {
    service.drain();
    let detail = "the VM stops when its requests have ended and its address answers have expired";
    (StatusCode::ACCEPTED, StateBody::new("leaving", detail)).into_response()
}

async fn unknown_path(request: Request) -> Response {
    let detail = format!(
        "there is no `{}`; the paths are {METRICS_PATH}, {STATUS_PATH}, {HEALTH_PATH}, \
         {READY_PATH} and {DRAIN_PATH}",
        request.uri().path()
    );
    (StatusCode::NOT_FOUND, StateBody::new("refused", detail)).into_response()
}

async fn method_not_allowed(request: Request) -> Response {
    let allowed = if request.uri().path() == DRAIN_PATH { "POST" } else { "GET, HEAD" };
    let detail = format!("`{}` is not allowed here; use {allowed}", request.method());
    let allow = (header::ALLOW, HeaderValue::from_static(allowed));
    (StatusCode::METHOD_NOT_ALLOWED, [allow], StateBody::new("refused", detail)).into_response()
}
