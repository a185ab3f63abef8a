//! The HTTP interface of the stand-in platform: the published protocol of the store.
//!
//! | call | success |
//! |---|---|
//! | `GET /objects/{kind}?after=NAME&allow_stale=1` | a page: `items`, `more`, `store_revision` |
//! | `GET /objects/{kind}?watch=REVISION&wait_ms=N` | `events`, `store_revision`; 410 if forgotten |
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
use axum::http::StatusCode;
use axum::http::header::RETRY_AFTER;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, extract::DefaultBodyLimit};
use papayastack::ObjectName;
use serde::Deserialize;
use serde_json::{Value, json};

use super::standin::{Inner, PlatformCounts, State, VM_KINDS};
use super::store::{Change, HistoryGone, Stored};
use crate::server::aborting_body;

const WAIT_MAX: Duration = Duration::from_secs(30);
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Builds the router of the store's protocol.
pub(crate) fn router(state: Arc<State>) -> Router {
    Router::new()
        .route("/objects/{kind}", get(list_or_watch).post(create))
        .route("/objects/{kind}/{name}", get(read).put(replace).delete(remove))
        .route("/objects/{kind}/{name}/status", put(set_status))
        .layer(DefaultBodyLimit::max(BODY_MAX_BYTES))
        .with_state(state)
}

/// Why a call ended without its result.
enum Stop {
    Unavailable,
    RateLimited(Duration),
    NotFound,
    Conflict(Box<Stored>),
    HistoryGone,
    Rejected(StatusCode, &'static str),
    Lost,
}

impl IntoResponse for Stop {
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
            Self::Lost => aborting_body().into_response(),
        }
    }
}

impl From<HistoryGone> for Stop {
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

/// What a writer sends.
#[derive(Deserialize)]
struct Written {
    #[serde(default)]
    meta: WrittenMeta,
    #[serde(default)]
    spec: Value,
    #[serde(default)]
    status: Value,
}

#[derive(Deserialize, Default)]
struct WrittenMeta {
    name: Option<String>,
    revision: Option<u64>,
    finalizers: Option<Vec<String>>,
}

async fn list_or_watch(
    Shared(state): Shared<Arc<State>>,
    Path(kind): Path<String>,
    Query(parameters): Query<ListParameters>,
) -> Result<Json<Value>, Stop> {
    if let Some(after) = parameters.watch {
        enter_read(&state, false, |counts| &mut counts.watches).await?;
        let wait = Duration::from_millis(parameters.wait_ms.unwrap_or(0)).min(WAIT_MAX);
        return watch(&state, &kind, after, wait).await;
    }
    let stale = parameters.allow_stale == Some(1);
    let of_vms = VM_KINDS.contains(&kind.as_str());
    enter_read(
        &state,
        stale,
        |counts| {
            if of_vms { &mut counts.vm_lists } else { &mut counts.lists }
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

async fn watch(state: &State, kind: &str, after: u64, wait: Duration) -> Result<Json<Value>, Stop> {
    let _waiting = Waiting::begin(state);
    let mut changed = state.changed.subscribe();
    let until = tokio::time::Instant::now() + wait;
    loop {
        changed.borrow_and_update();
        {
            let mut inner = state.lock();
            check_available(&mut inner)?;
            let events = inner.store.events(kind, after)?;
            if !events.is_empty() || tokio::time::Instant::now() >= until {
                let revision = inner.store.revision();
                return Ok(Json(json!({ "events": events, "store_revision": revision })));
            }
        }
        if let Ok(Err(_closed)) = tokio::time::timeout_at(until, changed.changed()).await {
            return Err(Stop::Unavailable);
        }
    }
}

async fn read(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<Stored>, Stop> {
    enter_read(&state, false, |counts| &mut counts.reads).await?;
    let name = ObjectName::new(kind, name);
    read_now(&mut state.lock(), &name).map(Json).ok_or(Stop::NotFound)
}

async fn create(
    Shared(state): Shared<Arc<State>>,
    Path(kind): Path<String>,
    body: Bytes,
) -> Result<Json<Stored>, Stop> {
    let written = enter_write(&state, &body, |counts| &mut counts.updates).await?;
    let Some(name) = written.meta.name else {
        return Err(Stop::Rejected(StatusCode::BAD_REQUEST, "`meta` names no object"));
    };
    let name = ObjectName::new(kind, name);
    let finalizers = written.meta.finalizers.unwrap_or_default();
    carry_out(&state, move |inner| {
        inner.store.create(&name, written.spec.clone(), finalizers.clone(), Instant::now())
    })
}

async fn replace(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    body: Bytes,
) -> Result<Json<Stored>, Stop> {
    let written = enter_write(&state, &body, |counts| &mut counts.updates).await?;
    let name = ObjectName::new(kind, name);
    let WrittenMeta { revision, finalizers, .. } = written.meta;
    carry_out(&state, move |inner| {
        let (spec, now) = (written.spec.clone(), Instant::now());
        inner.store.replace(&name, revision, spec, finalizers.clone(), now)
    })
}

async fn set_status(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    body: Bytes,
) -> Result<Json<Stored>, Stop> {
    let written = enter_write(&state, &body, |counts| &mut counts.updates).await?;
    let name = ObjectName::new(kind, name);
    carry_out(&state, move |inner| {
        let (status, now) = (written.status.clone(), Instant::now());
        inner.store.set_status(&name, written.meta.revision, status, now)
    })
}

async fn remove(
    Shared(state): Shared<Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    Query(parameters): Query<ObjectParameters>,
) -> Result<Json<Stored>, Stop> {
    enter_write(&state, b"{}", |counts| &mut counts.deletes).await?;
    let name = ObjectName::new(kind, name);
    carry_out(&state, move |inner| inner.store.remove(&name, parameters.revision, Instant::now()))
}

/// Counts a read and lets it wait, pass or be refused; stale ones do not count toward the rate.
async fn enter_read(
    state: &State,
    stale: bool,
    count: impl FnOnce(&mut PlatformCounts) -> &mut u64,
) -> Result<(), Stop> {
    enter(state, count).await?;
    if stale {
        return Ok(());
    }
    state.lock().admit_read().map_err(Stop::RateLimited)
}

/// Counts a change, reads it, and lets it wait, pass, be refused or get lost.
async fn enter_write(
    state: &State,
    body: &[u8],
    count: impl FnOnce(&mut PlatformCounts) -> &mut u64,
) -> Result<Written, Stop> {
    enter(state, count).await?;
    let mut inner = state.lock();
    inner.admit_write().map_err(Stop::RateLimited)?;
    inner.counts.value_bytes += body.len() as u64;
    if body.len() as u64 > inner.behaviour.value_max_bytes {
        return Err(Stop::Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the value is too large"));
    }
    let permille = inner.behaviour.lost_before_permille;
    if inner.chance(permille) {
        inner.counts.answers_lost += 1;
        return Err(Stop::Lost);
    }
    serde_json::from_slice(body)
        .map_err(|_| Stop::Rejected(StatusCode::BAD_REQUEST, "the body is not an object"))
}

async fn enter(
    state: &State,
    count: impl FnOnce(&mut PlatformCounts) -> &mut u64,
) -> Result<(), Stop> {
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

/// Makes a change now, or later with its answer lost, and answers or loses the answer.
fn carry_out(
    state: &Arc<State>,
    mut act: impl FnMut(&mut Inner) -> Change + Send + 'static,
) -> Result<Json<Stored>, Stop> {
    let mut inner = state.lock();
    let late_permille = inner.behaviour.late_permille;
    if inner.chance(late_permille) {
        inner.counts.answers_lost += 1;
        let late = Duration::from_millis(inner.behaviour.late_ms);
        let state = Arc::clone(state);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            act(&mut state.lock());
            state.changed.send_modify(|count| *count += 1);
        });
        return Err(Stop::Lost);
    }
    match act(&mut inner) {
        Change::Conflict(stored) => {
            inner.counts.conflicts += 1;
            Err(Stop::Conflict(Box::new(stored)))
        }
        Change::NotFound => Err(Stop::NotFound),
        Change::Applied(stored) => {
            state.changed.send_modify(|count| *count += 1);
            let permille = inner.behaviour.lost_after_permille;
            if inner.chance(permille) {
                inner.counts.answers_lost += 1;
                return Err(Stop::Lost);
            }
            Ok(Json(stored))
        }
    }
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
