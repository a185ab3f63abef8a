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

use super::state::{Load, RequestFaults, State};
use crate::index::search;

/// The time limit of searches that ignore their deadline.
const NO_DEADLINE: Duration = Duration::from_secs(3_600);

/// Returns a router that serves the protocol between papayastack and upstreams.
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
    let registered = RunningSearch::register(&state, (request.query, request.attempt));
    let faults = state.sample_faults();
    let reply = run_search(&state, &request, &registered.stop, &faults).await;
    if !matches!(reply, SearchReply::Found { .. }) {
        return Json(reply).into_response();
    }
    match state.replace_earlier_reply(&reply) {
        _ if faults.lose_answer => aborted_response(),
        _ if faults.malformed => "{\"found\":".into_response(),
        Some(earlier) if faults.crossed => Json(earlier).into_response(),
        _ => Json(reply).into_response(),
    }
}

async fn run_search(
    state: &Arc<State>,
    request: &SearchRequest,
    stop: &Notify,
    faults: &RequestFaults,
) -> SearchReply {
    let behaviour = state.behaviour();
    if behaviour.draining {
        return SearchReply::Draining;
    }
    let documents = match state.documents(request.snapshot, request.shard) {
        Ok(documents) => documents,
        Err(refusal) => return refusal,
    };
    let time_limit = if behaviour.ignores_deadline {
        NO_DEADLINE
    } else {
        Duration::from_millis(request.remaining_ms)
    };
    let work = async {
        let _slot = take_slot(state, faults).await?;
        state.count_started(|counts| counts.searches_executed += 1);
        sleep(faults.service_time).await;
        Some(())
    };
    let finished = tokio::select! {
        finished = work => finished,
        () = stop.notified() => {
            state.count(|counts| counts.cancelled += 1);
            return SearchReply::Cancelled;
        }
        () = sleep_until(Instant::now() + time_limit) => {
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
    let faults = state.sample_faults();
    let lose_answer = faults.lose_answer;
    // The submission runs in its own task, so that it completes even if the sender disconnects.
    let task = tokio::spawn(async move { run_submit(&state, &request, &faults).await });
    match task.await {
        Ok(SubmitReply::Done { .. }) if lose_answer => aborted_response(),
        Ok(reply) => Json(reply).into_response(),
        Err(_) => aborted_response(),
    }
}

async fn run_submit(
    state: &Arc<State>,
    request: &SubmitRequest,
    faults: &RequestFaults,
) -> SubmitReply {
    let behaviour = state.behaviour();
    if behaviour.draining {
        return SubmitReply::Draining;
    }
    let Some(_slot) = take_slot(state, faults).await else {
        return SubmitReply::Shed { retry_after_ms: behaviour.shed_retry_after_ms };
    };
    state.count_started(|counts| counts.submissions_executed += 1);
    let execution = state.count_execution(&request.key);
    sleep(faults.service_time).await;
    SubmitReply::Done { receipt: format!("{}/{}/{execution}", state.spec.id, request.key) }
}

async fn handle_load(Shared(state): Shared<Arc<State>>) -> Json<Load> {
    Json(state.load())
}

/// Takes a slot, waiting in the queue if it has room; returns `None` if the request is shed.
async fn take_slot(state: &Arc<State>, faults: &RequestFaults) -> Option<OwnedSemaphorePermit> {
    if faults.shed {
        state.count(|counts| counts.shed += 1);
        return None;
    }
    if let Ok(slot) = Arc::clone(&state.slots).try_acquire_owned() {
        return Some(slot);
    }
    let Some(_entry) = QueueEntry::enter(state) else {
        state.count(|counts| counts.shed += 1);
        return None;
    };
    Arc::clone(&state.slots).acquire_owned().await.ok()
}

/// An entry in the queue, which is removed on drop.
struct QueueEntry<'a> {
    state: &'a State,
}

impl<'a> QueueEntry<'a> {
    fn enter(state: &'a State) -> Option<Self> {
        state.enter_queue().then(|| Self { state })
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.state.leave_queue();
    }
}

/// The registration of a search for cancellation, which is removed on drop.
struct RunningSearch<'a> {
    state: &'a State,
    key: (QueryId, AttemptId),
    stop: Arc<Notify>,
}

impl<'a> RunningSearch<'a> {
    fn register(state: &'a State, key: (QueryId, AttemptId)) -> Self {
        Self { state, key, stop: state.register_search(key) }
    }
}

impl Drop for RunningSearch<'_> {
    fn drop(&mut self) {
        self.state.unregister_search(self.key);
    }
}

/// Returns a response whose body fails, which makes the server close the connection.
fn aborted_response() -> Response {
    crate::server::aborting_body().into_response()
}
