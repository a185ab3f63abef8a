//! What callers get: an upstream's answer unchanged, a merged one, or an own refusal.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::Response;
use serde_json::json;

use super::attempt::{UpstreamReply, end_to_end_headers};
use super::edge::HeaderNames;
use super::exchange::ExchangeEnd;
use super::records::merge_records;
use super::route::{Route, RouteTarget};

/// What a request came to, for the caller and for the decision line.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// An upstream's answer.
    Answer(UpstreamReply),
    /// The merged answer of the shards.
    Merged {
        /// The parts that are in, one of each covered shard.
        parts: Vec<UpstreamReply>,
        /// How many shards are left out.
        missing: usize,
    },
    /// It did not run and never will.
    NotRun {
        /// When to come back.
        retry_after: Duration,
        /// Why, for a person.
        detail: String,
    },
    /// It may have run; an upstream's own failure where there is one.
    Failed {
        /// The status, where the failure is not an upstream's.
        status: StatusCode,
        /// The failure that an upstream answered.
        reply: Option<UpstreamReply>,
        /// Why, for a person.
        detail: String,
    },
}

/// The time after which a caller may come back where upstreams were full or away.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Judges how an exchange ended.
pub(crate) fn verdict(route: &Route, end: ExchangeEnd, deadline_passed: bool) -> Verdict {
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
            RouteTarget::Service(_) | RouteTarget::Split(_) => Verdict::Answer(parts.remove(0)),
            RouteTarget::Shards(_) => Verdict::Merged { parts, missing },
        };
    }
    let nothing_ran = end.unresolved == 0 && parts.is_empty();
    if nothing_ran {
        return Verdict::NotRun { retry_after: RETRY_AFTER, detail };
    }
    let status =
        if deadline_passed { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    let reply = match &route.target {
        RouteTarget::Service(_) | RouteTarget::Split(_) => end.failure,
        RouteTarget::Shards(_) => None,
    };
    Verdict::Failed { status, reply, detail }
}

impl Verdict {
    /// Writes the response.
    pub(crate) fn into_response(self, names: &HeaderNames, route: &Route) -> Response {
        match self {
            Self::Answer(reply) | Self::Failed { reply: Some(reply), .. } => {
                forwarded(names, reply)
            }
            Self::Merged { parts, missing } => merged(names, route, &parts, missing),
            Self::NotRun { retry_after, detail } => refusal(retry_after, &detail),
            Self::Failed { status, reply: None, detail } => own_answer(status, &detail),
        }
    }
}

/// Says that a request did not run, and when to come back.
pub(crate) fn refusal(retry_after: Duration, detail: &str) -> Response {
    let mut response = own_answer(StatusCode::SERVICE_UNAVAILABLE, detail);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Writes an answer of this VM's own.
pub(crate) fn own_answer(status: StatusCode, detail: &str) -> Response {
    let body = json!({ "error": detail }).to_string();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Passes an upstream's reply on as it came, without what concerns the connection to it.
fn forwarded(names: &HeaderNames, reply: UpstreamReply) -> Response {
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

fn merged(names: &HeaderNames, route: &Route, parts: &[UpstreamReply], missing: usize) -> Response {
    let records_max = match &route.target {
        RouteTarget::Shards(target) => target.records_max,
        RouteTarget::Service(_) | RouteTarget::Split(_) => 0,
    };
    let body = merge_records(parts.iter().map(|part| part.body.as_ref()), records_max);
    let mut response = Response::new(Body::from(body));
    let headers = response.headers_mut();
    headers.insert(names.part_seals.clone(), seals(names, parts));
    headers.insert(names.parts_missing.clone(), HeaderValue::from(missing));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/octet-stream"));
    response
}

fn seals(names: &HeaderNames, parts: &[UpstreamReply]) -> HeaderValue {
    let of_part = |part: &UpstreamReply| text(&part.headers, &names.seal).map(str::to_owned);
    let joined = parts.iter().filter_map(of_part).collect::<Vec<String>>().join(", ");
    HeaderValue::from_str(&joined).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Returns the value of a header where it is plain text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
