//! The callers' HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderName, StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Extension, Router};
use error_stack::Report;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use super::check::{self, Rejection};
use super::context::{REQUEST_ID_HEADER, request_context};
use super::protocol::{QueryRequest, SubmissionRequest};
use super::reply::{insert_header, rejection_response, service_response};
use super::service::{CallerService, RequestContext};
use crate::ids::DataCentreName;
use crate::listen::{BindError, HttpServer};
use crate::observe::IdSource;
use crate::settings::LimitSettings;

/// The path for running a query (`POST`).
pub const QUERY_PATH: &str = "/v1/query";
/// The path for running a submission (`POST`).
pub const SUBMISSIONS_PATH: &str = "/v1/submissions";
/// The path for listing the VMs that a caller should use (`GET`).
pub const ADDRESSES_PATH: &str = "/v1/addresses";

const TRACERESPONSE_HEADER: &str = "traceresponse";
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A running HTTP server for callers; dropping it stops it at once.
#[derive(Debug)]
pub struct CallerServer {
    server: HttpServer,
}

impl CallerServer {
    /// Listens on `address` and passes requests to `service`; port 0 selects a free port.
    ///
    /// # Errors
    /// The address is not local, or is in use.
    pub async fn bind(
        address: SocketAddr,
        service: Arc<dyn CallerService>,
    ) -> Result<Self, Report<BindError>> {
        let state = Arc::new(ServerState { service, ids: IdSource::open() });
        Ok(Self { server: HttpServer::bind(address, router(state)).await? })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how many requests are being answered.
    pub fn in_flight(&self) -> usize {
        self.server.in_flight()
    }

    /// Closes each connection after its next response, so that callers move to other VMs.
    pub fn retire(&self) {
        self.server.retire();
    }

    /// Stops accepting connections and returns when every request in flight has its answer.
    pub async fn shutdown(self) {
        self.server.shutdown().await;
    }
}

struct ServerState {
    service: Arc<dyn CallerService>,
    ids: IdSource,
}

fn router(state: Arc<ServerState>) -> Router {
    Router::new()
        .route(QUERY_PATH, post(query))
        .route(SUBMISSIONS_PATH, post(submit))
        .route(ADDRESSES_PATH, get(addresses))
        .fallback(unknown_path)
        .method_not_allowed_fallback(method_not_allowed)
        .layer(middleware::from_fn_with_state(Arc::clone(&state), with_context))
        .with_state(state)
}

/// Adds the request context and the current limits to a request, and the ids to its response.
async fn with_context(
    State(state): State<Arc<ServerState>>,
    mut request: Request,
    next: Next,
) -> Response {
    let context = request_context(request.headers(), &state.ids);
    let request_id = context.request_id.clone();
    let trace = context.trace.traceparent();
    let limits = state.service.limits();
    let mut response = match check::check_headers(request.headers(), &limits) {
        Ok(()) => {
            request.extensions_mut().insert(context);
            request.extensions_mut().insert(limits);
            next.run(request).await
        }
        Err(rejection) => rejection_response(rejection, &request_id),
    };
    let headers = response.headers_mut();
    insert_header(headers, HeaderName::from_static(REQUEST_ID_HEADER), &request_id);
    insert_header(headers, HeaderName::from_static(TRACERESPONSE_HEADER), &trace);
    response
}

async fn query(
    State(state): State<Arc<ServerState>>,
    Extension(context): Extension<RequestContext>,
    Extension(limits): Extension<LimitSettings>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let request = match read_body::<QueryRequest>(&headers, body, &limits).await {
        Ok(request) => request,
        Err(rejection) => return rejection_response(rejection, &context.request_id),
    };
    if let Err(rejection) = check::check_query(&request, &limits) {
        return rejection_response(rejection, &context.request_id);
    }
    service_response(state.service.query(request, context).await)
}

async fn submit(
    State(state): State<Arc<ServerState>>,
    Extension(context): Extension<RequestContext>,
    Extension(limits): Extension<LimitSettings>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let request = match read_body::<SubmissionRequest>(&headers, body, &limits).await {
        Ok(request) => request,
        Err(rejection) => return rejection_response(rejection, &context.request_id),
    };
    if let Err(rejection) = check::check_submission(&request, &limits) {
        return rejection_response(rejection, &context.request_id);
    }
    service_response(state.service.submit(request, context).await)
}

async fn addresses(
    State(state): State<Arc<ServerState>>,
    Extension(context): Extension<RequestContext>,
    request: Request,
) -> Response {
    let parameters = axum::extract::Query::<Vec<(String, String)>>::try_from_uri(request.uri());
    let data_centre = match parameters {
        Ok(parameters) => parse_data_centre(parameters.0),
        Err(error) => Err(Rejection::new(
            StatusCode::BAD_REQUEST,
            format!("the query string is malformed: {error}"),
        )),
    };
    match data_centre {
        Ok(data_centre) => service_response(state.service.addresses(data_centre).await),
        Err(rejection) => rejection_response(rejection, &context.request_id),
    }
}

async fn unknown_path(Extension(context): Extension<RequestContext>, request: Request) -> Response {
    let detail = format!(
        "there is no `{}`; the paths are {QUERY_PATH}, {SUBMISSIONS_PATH} and {ADDRESSES_PATH}",
        request.uri().path()
    );
    rejection_response(Rejection::new(StatusCode::NOT_FOUND, detail), &context.request_id)
}

async fn method_not_allowed(
    Extension(context): Extension<RequestContext>,
    request: Request,
) -> Response {
    let allowed = if request.uri().path() == ADDRESSES_PATH { "GET, HEAD" } else { "POST" };
    let detail = format!("`{}` is not allowed here; use {allowed}", request.method());
    let rejection = Rejection::new(StatusCode::METHOD_NOT_ALLOWED, detail);
    let mut response = rejection_response(rejection, &context.request_id);
    insert_header(response.headers_mut(), header::ALLOW, allowed);
    response
}

fn parse_data_centre(
    parameters: Vec<(String, String)>,
) -> Result<Option<DataCentreName>, Rejection> {
    let mut data_centre = None;
    for (name, value) in parameters {
        if name != "data_centre" {
            return Err(Rejection::new(
                StatusCode::BAD_REQUEST,
                format!("the parameter `{name}` is unknown; `data_centre` is the only one"),
            ));
        }
        data_centre = Some(value).filter(|value| !value.is_empty());
    }
    Ok(data_centre)
}

async fn read_body<T: serde::de::DeserializeOwned>(
    headers: &HeaderMap,
    body: Body,
    limits: &LimitSettings,
) -> Result<T, Rejection> {
    check::check_media_type(headers)?;
    let limit_bytes = usize::try_from(limits.body_max_bytes).unwrap_or(usize::MAX);
    let collected = Limited::new(body, limit_bytes).collect();
    let bytes = match tokio::time::timeout(BODY_READ_TIMEOUT, collected).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(check::body_too_large(limits));
        }
        Ok(Err(error)) => {
            let detail = format!("the body could not be read: {error}");
            return Err(Rejection::new(StatusCode::BAD_REQUEST, detail));
        }
        Err(_elapsed) => {
            let detail = format!(
                "the body did not arrive within {} s; send it without delay",
                BODY_READ_TIMEOUT.as_secs()
            );
            return Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, detail));
        }
    };
    check::parse(&bytes)
}
