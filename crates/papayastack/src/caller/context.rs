//! The request id and trace context in the headers of a request.

use axum::http::HeaderMap;

use super::service::RequestContext;
use crate::observe::{IdSource, TraceContext};

/// The header that carries the request's id in requests and responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

pub(crate) const TRACEPARENT_HEADER: &str = "traceparent";
const TRACESTATE_HEADER: &str = "tracestate";
const REQUEST_ID_MAX_BYTES: usize = 128;

/// Reads the context of a request from its headers; ids that are absent or malformed are generated.
pub(crate) fn request_context(headers: &HeaderMap, ids: &IdSource) -> RequestContext {
    let request_id = single_header(headers, REQUEST_ID_HEADER)
        .filter(|id| is_request_id(id))
        .map_or_else(|| ids.request_id(), str::to_owned);
    let trace = single_header(headers, TRACEPARENT_HEADER).and_then(TraceContext::parse);
    let trace = match trace {
        Some(trace) => {
            trace.with_state(single_header(headers, TRACESTATE_HEADER).unwrap_or_default())
        }
        None => ids.trace_context(0),
    };
    let accepted_at = tokio::time::Instant::now().into_std();
    RequestContext { request_id, trace, accepted_at }
}

/// Returns the value of a header; `None` unless it occurs exactly once and is text.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() { None } else { value.to_str().ok() }
}

fn is_request_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= REQUEST_ID_MAX_BYTES && id.bytes().all(allowed)
}
