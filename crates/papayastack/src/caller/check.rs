//! Checks of requests against the configured limits; each refusal names the field.

use axum::http::{HeaderMap, StatusCode, header};
use serde::de::DeserializeOwned;

use super::protocol::{QueryRequest, SubmissionRequest};
use crate::outcome::{DeliveryRecord, Refusal, RefusalReason};
use crate::settings::LimitSettings;
use crate::upstream::Selection;

const JSON_MEDIA_TYPE: &str = "application/json";

/// A request that is refused before it reaches the service.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) status: StatusCode,
    pub(crate) refusal: Refusal,
}

impl Rejection {
    pub(crate) fn new(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status,
            refusal: DeliveryRecord::new().refuse(RefusalReason::BadRequest, detail, None),
        }
    }

    fn bad_request(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, detail)
    }
}

/// Checks the total size of the header names and values.
pub(crate) fn check_headers(headers: &HeaderMap, limits: &LimitSettings) -> Result<(), Rejection> {
    let size_bytes: usize =
        headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size_bytes as u64 <= limits.header_max_bytes {
        return Ok(());
    }
    Err(Rejection::new(
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        format!(
            "the headers take {size_bytes} bytes, but `limits.header_max_bytes` is {}; send fewer \
             or shorter headers",
            limits.header_max_bytes
        ),
    ))
}

/// Checks that the `content-type` header declares JSON.
pub(crate) fn check_media_type(headers: &HeaderMap) -> Result<(), Rejection> {
    let value = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let media_type = value.and_then(|value| value.split(';').next()).map(str::trim);
    match media_type {
        Some(media_type) if media_type.eq_ignore_ascii_case(JSON_MEDIA_TYPE) => Ok(()),
        found => Err(Rejection::new(
            StatusCode::UNSUPPORTED_MEDIA_TYPE,
            format!(
                "`content-type` is `{}`; send JSON as `{JSON_MEDIA_TYPE}`",
                found.unwrap_or("absent")
            ),
        )),
    }
}

/// Returns the rejection of a body that exceeds the size limit.
pub(crate) fn body_too_large(limits: &LimitSettings) -> Rejection {
    Rejection::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        format!(
            "the body is longer than `limits.body_max_bytes`, {} bytes; send a shorter body",
            limits.body_max_bytes
        ),
    )
}

/// Parses a JSON body; if a field is invalid, the rejection gives its path.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let parsed = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        let location = if path == "." { String::new() } else { format!(" at `{path}`") };
        Rejection::bad_request(format!("the body is not valid{location}: {}", error.inner()))
    })?;
    deserializer
        .end()
        .map_err(|error| Rejection::bad_request(format!("the body is not valid: {error}")))?;
    Ok(parsed)
}

/// Checks the terms, texts, hit limit and deadline of a query.
pub(crate) fn check_query(request: &QueryRequest, limits: &LimitSettings) -> Result<(), Rejection> {
    match &request.selection {
        Selection::Terms(terms) => check_terms(terms, limits)?,
        Selection::Key(key) => check_text("selection.key", key, limits)?,
    }
    if let Some(hits_limit) = request.hits_limit
        && hits_limit > limits.hits_max
    {
        return Err(Rejection::bad_request(format!(
            "`hits_limit` is {hits_limit}, but `limits.hits_max` is {}; ask for fewer hits",
            limits.hits_max
        )));
    }
    check_deadline(request.deadline_ms)
}

/// Checks the key and deadline of a submission.
pub(crate) fn check_submission(
    request: &SubmissionRequest,
    limits: &LimitSettings,
) -> Result<(), Rejection> {
    if let Some(key) = &request.key {
        check_text("key", key, limits)?;
    }
    check_deadline(request.deadline_ms)
}

fn check_terms(terms: &[String], limits: &LimitSettings) -> Result<(), Rejection> {
    if terms.is_empty() {
        return Err(Rejection::bad_request("`selection.terms` is empty; give at least one term"));
    }
    if terms.len() as u64 > u64::from(limits.terms_max) {
        return Err(Rejection::bad_request(format!(
            "`selection.terms` holds {} terms, but `limits.terms_max` is {}; give fewer terms",
            terms.len(),
            limits.terms_max
        )));
    }
    for (index, term) in terms.iter().enumerate() {
        check_text(&format!("selection.terms[{index}]"), term, limits)?;
    }
    Ok(())
}

fn check_text(field: &str, text: &str, limits: &LimitSettings) -> Result<(), Rejection> {
    if text.is_empty() {
        return Err(Rejection::bad_request(format!("`{field}` is empty; give a value")));
    }
    if text.len() as u64 > u64::from(limits.term_max_bytes) {
        return Err(Rejection::bad_request(format!(
            "`{field}` takes {} bytes, but `limits.term_max_bytes` is {}; shorten it",
            text.len(),
            limits.term_max_bytes
        )));
    }
    Ok(())
}

fn check_deadline(deadline_ms: Option<u64>) -> Result<(), Rejection> {
    match deadline_ms {
        Some(0) => Err(Rejection::bad_request(
            "`deadline_ms` is 0; give the time to wait, or leave it out for the default",
        )),
        Some(_) | None => Ok(()),
    }
}
