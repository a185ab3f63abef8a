//! Submissions sent to one process, without retries.

use std::net::SocketAddr;
use std::time::SystemTime;

use bytes::Bytes;
use hyper::Method;
use papayastack::{
    Certainty, IdSource, RefusalAnswer, SUBMISSIONS_PATH, SubmissionAnswer, SubmissionRequest,
    new_submission_key,
};
use serde_json::json;

use crate::process::call;
use crate::system::SUBMISSION_SERVICE;

/// The deadline of each submission in milliseconds; long, since the machine may be busy.
const DEADLINE_MS: u64 = 10_000;

/// Creates a submission with a new key.
pub(crate) fn submission() -> SubmissionRequest {
    SubmissionRequest {
        service: SUBMISSION_SERVICE.to_owned(),
        key: Some(new_submission_key(SystemTime::now(), &IdSource::open())),
        body: json!({ "remind": "2027-01-15" }),
        deadline_ms: Some(DEADLINE_MS),
    }
}

/// Sends a submission to one process; the outer `Err` means that no answer came.
pub(crate) async fn submit_at(
    address: SocketAddr,
    request: &SubmissionRequest,
) -> Result<Result<SubmissionAnswer, RefusalAnswer>, String> {
    let body = Bytes::from(serde_json::to_vec(request).expect("a submission has string keys"));
    let (status, body) = call(Method::POST, address, SUBMISSIONS_PATH, body).await?;
    let answer = match status {
        200 => serde_json::from_slice(&body).map(Ok),
        _ => serde_json::from_slice(&body).map(Err),
    };
    answer.map_err(|error| format!("status {status}, {error}"))
}

/// Returns whether an answer claims that the submission did not run.
pub(crate) fn claims_not_run(answer: &Result<SubmissionAnswer, RefusalAnswer>) -> bool {
    answer.as_ref().is_err_and(|refused| refused.refusal.certainty() == Certainty::NotRun)
}
