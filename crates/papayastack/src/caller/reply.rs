//! Encoding of answers and refusals as HTTP responses with a JSON body.

use axum::body::Bytes;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

use super::check::Rejection;
use super::protocol::RefusalAnswer;
use super::status::{retry_after_seconds, status_of};

/// Encodes the service's result as a response.
pub(crate) fn service_response<T: Serialize>(result: Result<T, RefusalAnswer>) -> Response {
    match result {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(refused) => refusal_response(status_of(&refused.refusal), &refused),
    }
}

/// Encodes the rejection of a request that did not reach the service.
pub(crate) fn rejection_response(rejection: Rejection, request_id: &str) -> Response {
    let refused = RefusalAnswer { request_id: request_id.to_owned(), refusal: rejection.refusal };
    refusal_response(rejection.status, &refused)
}

fn refusal_response(status: StatusCode, refused: &RefusalAnswer) -> Response {
    let mut response = json(status, refused);
    if let Some(seconds) = retry_after_seconds(&refused.refusal) {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("the protocol's messages have string keys");
    let content_type = (header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    (status, [content_type], Bytes::from(body)).into_response()
}

/// Sets a header, unless `value` holds characters that a header cannot carry.
pub(crate) fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
