//! The HTTP interface of one stand-in upstream.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::State as Shared;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use papayastack::{
    AttemptId, CancelRequest, QueryId, SearchReply, SearchRequest, SubmitReply, SubmitRequest,
};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::{Instant, sleep, sleep_until};

use super::state::{Chances, Load, State};
use crate::index::search;

const NO_DEADLINE: Duration = Duration::from_secs(3_600);

/// Builds the router of the upstream's protocol.
pub(crate) fn router(state: Arc<State>) -> Router {
    Router::new()
        .route("/search", post(handle_search))
        .route("/cancel", post(handle_cancel))
        .route("/submit", post(handle_submit))
        .route("/load", get(handle_load))
        .with_state(state)
}

async fn handle_search(
    Shared(state): Shared<Arc<State>>,
    Json(request): Json<SearchRequest>,
) -> Response {
    let running = Running::begin(&state, (request.query, request.attempt));
    let chances = state.draw();
    let reply = run_search(&state, &request, &running.stop, &chances).await;
    if !matches!(reply, SearchReply::Found { .. }) {
        return Json(reply).into_response();
    }
    match state.exchange_reply(&reply) {
        _ if chances.lose_answer => lost_answer(),
        _ if chances.malformed => "{\"found\":".into_response(),
        Some(earlier) if chances.crossed => Json(earlier).into_response(),
        _ => Json(reply).into_response(),
    }
}

async fn run_search(
    state: &Arc<State>,
    request: &SearchRequest,
    stop: &Notify,
    chances: &Chances,
) -> SearchReply {
    let behaviour = state.behaviour();
    if behaviour.draining {
        return SearchReply::Draining;
    }
    let documents = match state.documents(request.snapshot, request.shard) {
        Ok(documents) => documents,
        Err(refusal) => return refusal,
    };
    let limit = if behaviour.ignores_deadline {
        NO_DEADLINE
    } else {
        Duration::from_millis(request.remaining_ms)
    };
    let work = async {
        let _slot = take_slot(state, chances).await?;
        state.count_slot(|counts| counts.searches_executed += 1);
        sleep(chances.hold).await;
        Some(())
    };
    let finished = tokio::select! {
        finished = work => finished,
        () = stop.notified() => {
            state.count(|counts| counts.cancelled += 1);
            return SearchReply::Cancelled;
        }
        () = sleep_until(Instant::now() + limit) => {
            state.count(|counts| counts.expired += 1);
            return SearchReply::Cancelled;
        }
    };
    if finished.is_none() {
        return SearchReply::Shed { retry_after_ms: behaviour.shed_retry_after_ms };
    }
    let partial =
        search(&documents, request.snapshot, request.shard, &request.selection, request.hits_limit);
    SearchReply::Found { query: request.query, attempt: request.attempt, partial }
}

async fn handle_cancel(
    Shared(state): Shared<Arc<State>>,
    Json(request): Json<CancelRequest>,
) -> Response {
    state.cancel((request.query, request.attempt));
    ().into_response()
}

async fn handle_submit(
    Shared(state): Shared<Arc<State>>,
    Json(request): Json<SubmitRequest>,
) -> Response {
    let chances = state.draw();
    let lose_answer = chances.lose_answer;
    // A submission that has begun goes on when its sender hangs up.
    let task = tokio::spawn(async move { run_submit(&state, &request, &chances).await });
    match task.await {
        Ok(SubmitReply::Done { .. }) if lose_answer => lost_answer(),
        Ok(reply) => Json(reply).into_response(),
        Err(_) => lost_answer(),
    }
}

async fn run_submit(state: &Arc<State>, request: &SubmitRequest, chances: &Chances) -> SubmitReply {
    let behaviour = state.behaviour();
    if behaviour.draining {
        return SubmitReply::Draining;
    }
    let Some(_slot) = take_slot(state, chances).await else {
        return SubmitReply::Shed { retry_after_ms: behaviour.shed_retry_after_ms };
    };
    state.count_slot(|counts| counts.submissions_executed += 1);
    let execution = state.count_execution(&request.key);
    sleep(chances.hold).await;
    SubmitReply::Done { receipt: format!("{}/{}/{execution}", state.spec.id, request.key) }
}

async fn handle_load(Shared(state): Shared<Arc<State>>) -> Json<Load> {
    Json(state.load())
}

/// Takes a slot, waiting in the queue where it has room; `None` where the request is shed.
async fn take_slot(state: &Arc<State>, chances: &Chances) -> Option<OwnedSemaphorePermit> {
    if chances.shed {
        state.count(|counts| counts.shed += 1);
        return None;
    }
    if let Ok(slot) = Arc::clone(&state.slots).try_acquire_owned() {
        return Some(slot);
    }
    let Some(_queued) = Queued::enter(state) else {
        state.count(|counts| counts.shed += 1);
        return None;
    };
    Arc::clone(&state.slots).acquire_owned().await.ok()
}

/// A place in the queue, given back when dropped.
struct Queued<'a> {
    state: &'a State,
}

impl<'a> Queued<'a> {
    fn enter(state: &'a State) -> Option<Self> {
        state.enter_queue().then(|| Self { state })
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.state.leave_queue();
    }
}

/// A search that can be cancelled until this is dropped.
struct Running<'a> {
    state: &'a State,
    key: (QueryId, AttemptId),
    stop: Arc<Notify>,
}

impl<'a> Running<'a> {
    fn begin(state: &'a State, key: (QueryId, AttemptId)) -> Self {
        Self { state, key, stop: state.begin(key) }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.state.end(self.key);
    }
}

/// Answers with a body that breaks off, which makes the server cut the connection.
fn lost_answer() -> Response {
    crate::server::broken_body().into_response()
}
