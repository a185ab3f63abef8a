//! The HTTP interface of the stand-in platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State as Shared};
use axum::http::header::{CONTENT_TYPE, ETAG, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, extract::DefaultBodyLimit};
use papayastack::{ListedVm, ObjectName, Precondition, RETRY_AFTER_MS_HEADER};
use serde::Deserialize;

use super::standin::{Inner, PlatformCounts, State};
use super::store::{Change, Stored};
use crate::server::broken_body;

const WAIT_MAX: Duration = Duration::from_secs(60);
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Builds the router of the platform's protocol.
pub(crate) fn router(state: Arc<State>) -> Router {
    Router::new()
        .route("/objects/{kind}", get(list))
        .route("/objects/{kind}/{name}", get(read).put(update).delete(delete))
        .route("/vms", get(vms))
        .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
        .with_state(state)
}

/// Why a call ended without its result.
enum Stop {
    Unavailable,
    RateLimited(Duration),
    NotFound,
    Conflict,
    Rejected(StatusCode, &'static str),
    Lost,
}

impl IntoResponse for Stop {
    fn into_response(self) -> Response {
        match self {
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Self::RateLimited(wait) => rate_limited(wait),
            Self::NotFound => StatusCode::NOT_FOUND.into_response(),
            Self::Conflict => StatusCode::PRECONDITION_FAILED.into_response(),
            Self::Rejected(status, detail) => (status, detail).into_response(),
            Self::Lost => broken_body().into_response(),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WatchParameters {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

async fn read(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    Query(parameters): Query<WatchParameters>,
) -> Result<Response, Stop> {
    let name = ObjectName::new(kind, name);
    let Some(after) = parameters.after else {
        enter_read(&state, |counts| &mut counts.reads).await?;
        return read_now(&mut state.lock(), &name).map(found).ok_or(Stop::NotFound);
    };
    enter_read(&state, |counts| &mut counts.watches).await?;
    let wait = Duration::from_millis(parameters.wait_ms.unwrap_or(0)).min(WAIT_MAX);
    let _waiting = Waiting::begin(&state);
    match tokio::time::timeout(wait, newer(&state, &name, after)).await {
        Ok(outcome) => outcome.map(found),
        Err(_elapsed) => Ok(StatusCode::NOT_MODIFIED.into_response()),
    }
}

async fn list(
    Shared(state): Shared<Arc<State>>,
    Path(kind): Path<String>,
) -> Result<Json<Vec<String>>, Stop> {
    enter_read(&state, |counts| &mut counts.lists).await?;
    Ok(Json(state.lock().store.list(&kind)))
}

async fn vms(Shared(state): Shared<Arc<State>>) -> Result<Json<Vec<ListedVm>>, Stop> {
    enter_read(&state, |counts| &mut counts.vm_lists).await?;
    Ok(Json(state.lock().visible_list()))
}

async fn update(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, Stop> {
    let name = ObjectName::new(kind, name);
    enter_write(&state, |counts| &mut counts.updates).await?;
    let precondition = precondition(&headers)?;
    let mut inner = state.lock();
    inner.counts.value_bytes += body.len() as u64;
    if body.len() as u64 > inner.behaviour.value_max_bytes {
        return Err(Stop::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large"));
    }
    if serde_json::from_slice::<serde::de::IgnoredAny>(&body).is_err() {
        return Err(Stop::Rejected(StatusCode::BAD_REQUEST, "the value is not JSON"));
    }
    let change = inner.store.update(&name, &precondition, body, Instant::now());
    conclude(&state, &mut inner, change)
}

async fn delete(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, Stop> {
    let name = ObjectName::new(kind, name);
    enter_write(&state, |counts| &mut counts.deletes).await?;
    let Precondition::Version(version) = precondition(&headers)? else {
        return Err(Stop::Rejected(StatusCode::PRECONDITION_REQUIRED, "send If-Match"));
    };
    let mut inner = state.lock();
    let change = inner.store.delete(&name, version, Instant::now());
    conclude(&state, &mut inner, change)
}

/// Counts a read and lets it wait, pass or be refused.
async fn enter_read(state: &State, count: fn(&mut PlatformCounts) -> &mut u64) -> Result<(), Stop> {
    enter(state, count).await?;
    state.lock().admit_read().map_err(Stop::RateLimited)
}

/// Counts a change and lets it wait, pass, be refused or get lost.
async fn enter_write(
    state: &State,
    count: fn(&mut PlatformCounts) -> &mut u64,
) -> Result<(), Stop> {
    enter(state, count).await?;
    let mut inner = state.lock();
    inner.admit_write().map_err(Stop::RateLimited)?;
    let permille = inner.behaviour.lost_before_permille;
    if inner.chance(permille) {
        inner.counts.answers_lost += 1;
        return Err(Stop::Lost);
    }
    Ok(())
}

async fn enter(state: &State, count: fn(&mut PlatformCounts) -> &mut u64) -> Result<(), Stop> {
    let slow_ms = {
        let mut inner = state.lock();
        *count(&mut inner.counts) += 1;
        inner.behaviour.slow_ms
    };
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    check_available(&mut state.lock())
}

fn check_available(inner: &mut Inner) -> Result<(), Stop> {
    if inner.behaviour.unavailable {
        inner.counts.unavailable += 1;
        return Err(Stop::Unavailable);
    }
    Ok(())
}

fn read_now(inner: &mut Inner, name: &ObjectName) -> Option<Stored> {
    let permille = inner.behaviour.stale_permille;
    if inner.chance(permille) {
        let lag = Duration::from_millis(inner.behaviour.stale_ms);
        return inner.store.read_stale(name, Instant::now(), lag);
    }
    inner.store.read(name)
}

async fn newer(state: &State, name: &ObjectName, after: u64) -> Result<Stored, Stop> {
    let mut changed = state.changed.subscribe();
    loop {
        changed.borrow_and_update();
        {
            let mut inner = state.lock();
            check_available(&mut inner)?;
            if let Some(stored) = inner.store.read(name).filter(|stored| stored.version > after) {
                return Ok(stored);
            }
        }
        if changed.changed().await.is_err() {
            return Err(Stop::Unavailable);
        }
    }
}

fn conclude(state: &State, inner: &mut Inner, change: Change) -> Result<Response, Stop> {
    match change {
        Change::Conflict => {
            inner.counts.conflicts += 1;
            Err(Stop::Conflict)
        }
        Change::NotFound => Err(Stop::NotFound),
        Change::Applied(version) => {
            state.changed.send_modify(|count| *count += 1);
            let permille = inner.behaviour.lost_after_permille;
            if inner.chance(permille) {
                inner.counts.answers_lost += 1;
                return Err(Stop::Lost);
            }
            Ok([(ETAG, etag(version))].into_response())
        }
    }
}

fn precondition(headers: &HeaderMap) -> Result<Precondition, Stop> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Ok(Precondition::Absent);
    }
    headers
        .get(IF_MATCH)
        .and_then(|value| value.to_str().ok()?.trim_matches('"').parse().ok())
        .map(Precondition::Version)
        .ok_or(Stop::Rejected(
            StatusCode::PRECONDITION_REQUIRED,
            "send If-None-Match: * or If-Match with a version",
        ))
}

fn found(stored: Stored) -> Response {
    let headers = [(ETAG, etag(stored.version)), (CONTENT_TYPE, "application/json".to_owned())];
    (headers, stored.value).into_response()
}

fn rate_limited(wait: Duration) -> Response {
    let whole_seconds = wait.as_secs() + 1;
    let headers = [
        (RETRY_AFTER.as_str(), whole_seconds.to_string()),
        (RETRY_AFTER_MS_HEADER, (wait.as_millis() + 1).to_string()),
    ];
    (StatusCode::TOO_MANY_REQUESTS, headers).into_response()
}

fn etag(version: u64) -> String {
    format!("\"{version}\"")
}

/// Counts a watch as waiting until it is dropped.
struct Waiting<'a> {
    state: &'a State,
}

impl<'a> Waiting<'a> {
    fn begin(state: &'a State) -> Self {
        state.lock().counts.watches_waiting += 1;
        Self { state }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.state.lock().counts.watches_waiting -= 1;
    }
}
