//! The HTTP interface of the stand-in platform, which follows the platform's published protocol.
//!
//! | call | success |
//! |---|---|
//! | `GET /objects/{kind}?after=NAME&allow_stale=1` | a page: `items`, `more`, `store_revision` |
//! | `GET /objects/{kind}?watch=REVISION&wait_ms=N` | `events`, `store_revision`; 410 if too old |
//! | `GET /objects/{kind}/{name}` | the object |
//! | `POST /objects/{kind}` | the object; 409 if it exists |
//! | `PUT /objects/{kind}/{name}` | the object; 409 with the object if its revision differs |
//! | `PUT /objects/{kind}/{name}/status` | the same |
//! | `DELETE /objects/{kind}/{name}?revision=N` | the object; 409 with the object |

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, Query, State as Shared};
use axum::http::header::RETRY_AFTER;
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, extract::DefaultBodyLimit};
use papayastack::ObjectName;
use serde::Deserialize;
use serde_json::{Value, json};

use super::standin::{Inner, LISTED_KINDS, PlatformCounts, State};
use super::store::{HistoryGone, StoredObject, WriteOutcome};
use crate::server::aborting_body;

/// The longest wait of one watch call, whatever the client asks for.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(30);
/// Rises by one each time that the store comes back from an older copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Returns a router that serves the store's protocol.
pub(crate) fn router(state: Arc<State>) -> Router {
    Router::new()
        .route("/objects/{kind}", get(list_or_watch).post(create))
        .route("/objects/{kind}/{name}", get(read).put(replace).delete(remove))
        .route("/objects/{kind}/{name}/status", put(set_status))
        .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
        .layer(map_response_with_state(Arc::clone(&state), add_era))
        .with_state(state)
}

/// Names the store's era in a response.
async fn add_era(Shared(state): Shared<Arc<State>>, mut response: Response) -> Response {
    let era = state.lock().store.era();
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    response
}

/// Why a call failed.
enum CallError {
    Unavailable,
    RateLimited(Duration),
    NotFound,
    Conflict(Box<StoredObject>),
    HistoryGone,
    Rejected(StatusCode, &'static str),
    AnswerLost,
}

impl IntoResponse for CallError {
    fn into_response(self) -> Response {
        match self {
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Self::RateLimited(wait) => {
                let seconds = format!("{:.3}", wait.as_secs_f64());
                (StatusCode::TOO_MANY_REQUESTS, [(RETRY_AFTER, seconds)]).into_response()
            }
            Self::NotFound => StatusCode::NOT_FOUND.into_response(),
            Self::Conflict(stored) => (StatusCode::CONFLICT, Json(*stored)).into_response(),
            Self::HistoryGone => StatusCode::GONE.into_response(),
            Self::Rejected(status, detail) => (status, detail).into_response(),
            Self::AnswerLost => aborting_body().into_response(),
        }
    }
}

impl From<HistoryGone> for CallError {
    fn from(_gone: HistoryGone) -> Self {
        Self::HistoryGone
    }
}

#[derive(Deserialize)]
struct ListParameters {
    after: Option<String>,
    watch: Option<u64>,
    wait_ms: Option<u64>,
    allow_stale: Option<u8>,
}

#[derive(Deserialize)]
struct ObjectParameters {
    revision: Option<u64>,
}

/// The request body of a create, replace or status call.
#[derive(Deserialize)]
struct WriteBody {
    #[serde(default)]
    meta: WriteMeta,
    #[serde(default)]
    spec: Value,
    #[serde(default)]
    status: Value,
}

#[derive(Deserialize, Default)]
struct WriteMeta {
    name: Option<String>,
    revision: Option<u64>,
    finalizers: Option<Vec<String>>,
}

async fn list_or_watch(
    Shared(state): Shared<Arc<State>>,
    Path(kind): Path<String>,
    Query(parameters): Query<ListParameters>,
) -> Result<Json<Value>, CallError> {
    if let Some(after) = parameters.watch {
        begin_read(&state, false, |counts| &mut counts.watches).await?;
        let wait = Duration::from_millis(parameters.wait_ms.unwrap_or(0)).min(WATCH_WAIT_MAX);
        return watch(&state, &kind, after, wait).await;
    }
    let stale = parameters.allow_stale == Some(1);
    let lists_vms = LISTED_KINDS.contains(&kind.as_str());
    begin_read(
        &state,
        stale,
        |counts| {
            if lists_vms { &mut counts.vm_lists } else { &mut counts.lists }
        },
    )
    .await?;
    let inner = state.lock();
    let lag = if stale { inner.behaviour.list_lag_ms } else { 0 };
    let page = inner.store.list(
        &kind,
        parameters.after.as_deref(),
        inner.behaviour.page_max,
        Instant::now(),
        Duration::from_millis(lag),
    );
    let revision = inner.store.revision();
    Ok(Json(json!({ "items": page.items, "more": page.more, "store_revision": revision })))
}

async fn watch(
    state: &State,
    kind: &str,
    after: u64,
    wait: Duration,
) -> Result<Json<Value>, CallError> {
    let _waiting_watch = WaitingWatch::begin(state);
    let mut changed = state.changed.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    let era = state.lock().store.era();
    loop {
        changed.borrow_and_update();
        fall_silent(state).await;
        {
            let mut inner = state.lock();
            check_available(&mut inner)?;
            if inner.store.era() != era {
                return Err(CallError::Unavailable);
            }
            let events = inner.store.events(kind, after)?;
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                let revision = inner.store.revision();
                return Ok(Json(json!({ "events": events, "store_revision": revision })));
            }
        }
        if let Ok(Err(_closed)) = tokio::time::timeout_at(deadline, changed.changed()).await {
            return Err(CallError::Unavailable);
        }
    }
}

async fn read(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<StoredObject>, CallError> {
    begin_read(&state, false, |counts| &mut counts.reads).await?;
    let name = ObjectName::new(kind, name);
    read_object(&mut state.lock(), &name).map(Json).ok_or(CallError::NotFound)
}

async fn create(
    Shared(state): Shared<Arc<State>>,
    Path(kind): Path<String>,
    body: Bytes,
) -> Result<Json<StoredObject>, CallError> {
    let body_fields = begin_write(&state, &body, |counts| &mut counts.updates).await?;
    let Some(name) = body_fields.meta.name else {
        return Err(CallError::Rejected(StatusCode::BAD_REQUEST, "`meta` names no object"));
    };
    let name = ObjectName::new(kind, name);
    let finalizers = body_fields.meta.finalizers.unwrap_or_default();
    apply_write(&state, move |inner| {
        inner.store.create(&name, body_fields.spec.clone(), finalizers.clone(), Instant::now())
    })
}

async fn replace(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    body: Bytes,
) -> Result<Json<StoredObject>, CallError> {
    let body_fields = begin_write(&state, &body, |counts| &mut counts.updates).await?;
    let name = ObjectName::new(kind, name);
    let WriteMeta { revision, finalizers, .. } = body_fields.meta;
    apply_write(&state, move |inner| {
        let (spec, now) = (body_fields.spec.clone(), Instant::now());
        inner.store.replace(&name, revision, spec, finalizers.clone(), now)
    })
}

async fn set_status(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    body: Bytes,
) -> Result<Json<StoredObject>, CallError> {
    let body_fields = begin_write(&state, &body, |counts| &mut counts.updates).await?;
    let name = ObjectName::new(kind, name);
    apply_write(&state, move |inner| {
        let (status, now) = (body_fields.status.clone(), Instant::now());
        inner.store.set_status(&name, body_fields.meta.revision, status, now)
    })
}

async fn remove(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    Query(parameters): Query<ObjectParameters>,
) -> Result<Json<StoredObject>, CallError> {
    begin_write(&state, b"{}", |counts| &mut counts.deletes).await?;
    let name = ObjectName::new(kind, name);
    apply_write(&state, move |inner| inner.store.remove(&name, parameters.revision, Instant::now()))
}

/// Counts a read and applies the delay, the outage and the rate limit. Stale reads are exempt from
/// the rate limit.
async fn begin_read(
    state: &State,
    stale: bool,
    count: impl FnOnce(&mut PlatformCounts) -> &mut u64,
) -> Result<(), CallError> {
    begin_call(state, count).await?;
    if stale {
        return Ok(());
    }
    state.lock().admit_read().map_err(CallError::RateLimited)
}

/// Counts a write, applies the delay, the outage, the limits of rate and size and the loss of
/// requests, and decodes the body of the write.
async fn begin_write(
    state: &State,
    body: &[u8],
    count: impl FnOnce(&mut PlatformCounts) -> &mut u64,
) -> Result<WriteBody, CallError> {
    begin_call(state, count).await?;
    let mut inner = state.lock();
    inner.admit_write().map_err(CallError::RateLimited)?;
    inner.counts.value_bytes += body.len() as u64;
    if body.len() as u64 > inner.behaviour.value_max_bytes {
        return Err(CallError::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large"));
    }
    let permille = inner.behaviour.lost_before_permille;
    if inner.sample_fault(permille) {
        inner.counts.answers_lost += 1;
        return Err(CallError::AnswerLost);
    }
    serde_json::from_slice(body)
        .map_err(|_| CallError::Rejected(StatusCode::BAD_REQUEST, "the body is not an object"))
}

/// Counts a call, delays it by `slow_ms` and refuses it during an outage.
async fn begin_call(
    state: &State,
    count: impl FnOnce(&mut PlatformCounts) -> &mut u64,
) -> Result<(), CallError> {
    let slow_ms = {
        let mut inner = state.lock();
        *count(&mut inner.counts) += 1;
        inner.behaviour.slow_ms
    };
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    fall_silent(state).await;
    check_available(&mut state.lock())
}

/// Never returns if the platform is silent.
async fn fall_silent(state: &State) {
    let silent = state.lock().behaviour.silent;
    if silent {
        std::future::pending::<()>().await;
    }
}

fn check_available(inner: &mut Inner) -> Result<(), CallError> {
    if inner.behaviour.unavailable {
        inner.counts.unavailable += 1;
        return Err(CallError::Unavailable);
    }
    Ok(())
}

/// Returns an object; `stale_permille` thousandths of the reads come from a stale replica.
fn read_object(inner: &mut Inner, name: &ObjectName) -> Option<StoredObject> {
    let permille = inner.behaviour.stale_permille;
    if inner.sample_fault(permille) {
        let lag = Duration::from_millis(inner.behaviour.stale_ms);
        return inner.store.read_stale(name, Instant::now(), lag);
    }
    inner.store.read(name)
}

/// Applies a write at once, or late and without an answer; an applied write can lose its answer.
fn apply_write(
    state: &Arc<State>,
    mut write: impl FnMut(&mut Inner) -> WriteOutcome + Send + 'static,
) -> Result<Json<StoredObject>, CallError> {
    let mut inner = state.lock();
    let late_permille = inner.behaviour.late_permille;
    if inner.sample_fault(late_permille) {
        inner.counts.answers_lost += 1;
        let late = Duration::from_millis(inner.behaviour.late_ms);
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            write(&mut state.lock());
            state.changed.send_modify(|count| *count += 1);
        });
        return Err(CallError::AnswerLost);
    }
    match write(&mut inner) {
        WriteOutcome::Conflict(stored) => {
            inner.counts.conflicts += 1;
            Err(CallError::Conflict(Box::new(stored)))
        }
        WriteOutcome::NotFound => Err(CallError::NotFound),
        WriteOutcome::Applied(stored) => {
            state.changed.send_modify(|count| *count += 1);
            let permille = inner.behaviour.lost_after_permille;
            if inner.sample_fault(permille) {
                inner.counts.answers_lost += 1;
                return Err(CallError::AnswerLost);
            }
            Ok(Json(stored))
        }
    }
}

/// A watch that is counted as waiting until this value is dropped.
struct WaitingWatch<'a> {
    state: &'a State,
}

impl<'a> WaitingWatch<'a> {
    fn begin(state: &'a State) -> Self {
        state.lock().counts.watches_waiting += 1;
        Self { state }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.state.lock().counts.watches_waiting -= 1;
    }
}
