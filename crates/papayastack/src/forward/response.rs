//! The outcome of a request and its HTTP response: an upstream's answer unchanged, the merged
//! answer of shards, or an error of this VM's own.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::Response;
use serde_json::json;

use super::attempt::{UpstreamReply, end_to_end_headers};
use super::exchange::ExchangeEnd;
use super::interface::HeaderNames;
use super::records::merge_records;
use super::relay::{RelayOutcome, RelayedReply};
use super::route::{Route, RouteTarget};

/// The outcome of a request, for the response and for the decision log.
#[derive(Debug)]
pub(crate) enum RequestOutcome {
    /// An upstream's answer.
    Answer(UpstreamReply),
    /// The merged answer of the shards.
    Merged {
        /// One part of each covered shard.
        parts: Vec<UpstreamReply>,
        /// The number of missing shards.
        missing: usize,
    },
    /// The request did not run and never will.
    NotRun {
        /// How long the caller should wait before it retries.
        retry_after: Duration,
        /// The reason in readable text.
        detail: String,
    },
    /// The request did not run, since this VM cannot serve at present.
    NotServing {
        /// The reason in readable text.
        detail: String,
    },
    /// The response of another VM that served the request.
    Relayed(RelayedReply),
    /// The request failed and may have run.
    Failed {
        /// The status of the response if there is no `reply`.
        status: StatusCode,
        /// The reply of an upstream that reported an error of its own.
        reply: Option<UpstreamReply>,
        /// The reason in readable text.
        detail: String,
    },
}

/// How long a caller should wait before it retries a request that upstreams could not take.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// How long a caller should wait before it retries at a VM that has no configuration yet or is
/// leaving.
pub(crate) const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Derives the outcome of a request from the end of its exchange.
pub(crate) fn request_outcome(
    route: &Route,
    end: ExchangeEnd,
    deadline_passed: bool,
) -> RequestOutcome {
    let shards = end.parts.len();
    let missing = end.parts.iter().filter(|(_, part)| part.is_err()).count();
    let detail = if end.last_problem.is_empty() {
        "no upstream answered in time".to_owned()
    } else {
        end.last_problem
    };
    let mut parts: Vec<UpstreamReply> =
        end.parts.into_iter().filter_map(|(_, part)| part.ok()).collect();
    let enough = match &route.target {
        RouteTarget::Service(_) | RouteTarget::Split(_) => shards == 1 && missing == 0,
        RouteTarget::Shards(target) => shards > 0 && parts.len() >= target.covered_min(),
    };
    if enough {
        return match &route.target {
            RouteTarget::Service(_) | RouteTarget::Split(_) => {
                RequestOutcome::Answer(parts.remove(0))
            }
            RouteTarget::Shards(_) => RequestOutcome::Merged { parts, missing },
        };
    }
    let nothing_ran = end.unresolved == 0 && parts.is_empty();
    if nothing_ran {
        return RequestOutcome::NotRun { retry_after: RETRY_AFTER, detail };
    }
    let status =
        if deadline_passed { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    let reply = match &route.target {
        RouteTarget::Service(_) | RouteTarget::Split(_) => end.failure,
        RouteTarget::Shards(_) => None,
    };
    RequestOutcome::Failed { status, reply, detail }
}

impl RequestOutcome {
    /// Returns what a VM for which this one served is told.
    pub(crate) fn relay_outcome(&self) -> RelayOutcome {
        match self {
            Self::NotRun { .. } => RelayOutcome::NotRun,
            Self::NotServing { .. } => RelayOutcome::NotServing,
            Self::Answer(_) | Self::Merged { .. } | Self::Failed { .. } | Self::Relayed(_) => {
                RelayOutcome::Handled
            }
        }
    }

    /// Converts the outcome to the HTTP response to a request of `route`, if there is one.
    pub(crate) fn into_response(self, names: &HeaderNames, route: Option<&Route>) -> Response {
        match self {
            Self::Answer(reply) | Self::Failed { reply: Some(reply), .. } => {
                forwarded_response(names, reply)
            }
            Self::Merged { parts, missing } => merged_response(names, route, &parts, missing),
            Self::NotRun { retry_after, detail } => refusal_response(retry_after, &detail),
            Self::NotServing { detail } => refusal_response(NOT_SERVING_RETRY_AFTER, &detail),
            Self::Relayed(reply) => relayed_response(reply),
            Self::Failed { status, reply: None, detail } => local_response(status, &detail),
        }
    }
}

/// Returns the response to a request that did not run, with a `Retry-After` header.
pub(crate) fn refusal_response(retry_after: Duration, detail: &str) -> Response {
    let mut response = local_response(StatusCode::SERVICE_UNAVAILABLE, detail);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns a response that this VM makes itself, without an upstream's answer.
pub(crate) fn local_response(status: StatusCode, detail: &str) -> Response {
    let body = json!({ "error": detail }).to_string();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns an upstream's reply as the response, without hop-by-hop and internal headers.
fn forwarded_response(names: &HeaderNames, reply: UpstreamReply) -> Response {
    let mut headers = end_to_end_headers(&reply.headers);
    for internal in [&names.load, &names.upstream_id] {
        headers.remove(internal);
    }
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = headers;
    response
}

/// Returns another VM's response unchanged.
fn relayed_response(reply: RelayedReply) -> Response {
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

fn merged_response(
    names: &HeaderNames,
    route: Option<&Route>,
    parts: &[UpstreamReply],
    missing: usize,
) -> Response {
    let records_max = match route.map(|route| &route.target) {
        Some(RouteTarget::Shards(target)) => target.records_max,
        Some(RouteTarget::Service(_) | RouteTarget::Split(_)) | None => 0,
    };
    let body = merge_records(parts.iter().map(|part| part.body.as_ref()), records_max);
    let mut response = Response::new(Body::from(body));
    let headers = response.headers_mut();
    headers.insert(names.part_seals.clone(), joined_seals(names, parts));
    headers.insert(names.parts_missing.clone(), HeaderValue::from(missing));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/octet-stream"));
    response
}

fn joined_seals(names: &HeaderNames, parts: &[UpstreamReply]) -> HeaderValue {
    let of_part = |part: &UpstreamReply| header_text(&part.headers, &names.seal).map(str::to_owned);
    let joined = parts.iter().filter_map(of_part).collect::<Vec<String>>().join(", ");
    HeaderValue::from_str(&joined).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Tells whether a status promises the caller that its request has not run and never will.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the value of a header if it is visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
