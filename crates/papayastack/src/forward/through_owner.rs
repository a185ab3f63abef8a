//! Attempts that an owner of the upstream sends for a VM that has no connection free.
//!
//! An attempt comes to the owner on its internal address and takes one hop: an owner sends it on a
//! connection of its own or not at all. The VM that asks decides on hedges, retries and limits as
//! for its own connections; the upstream's reply comes back whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::Response;
use papayastack_macros::closed_set;

use super::attempt::{
    Attempt, AttemptEnd, CallerRequest, UpstreamReply, end_to_end_headers, end_without_reply,
    parse_load,
};
use super::exchange::STOPPED_DETAIL;
use super::owners::UpstreamAccess;
use super::relay::{CONNECTIONS_PER_PEER, InFlight};
use super::response::header_text;
use super::route::RouteTable;
use super::state::ForwardState;
use crate::ids::VmAddress;
use crate::query::{AttemptOutcome, FailureReason};
use crate::settings::QueryClass;
use crate::upstream::ExchangeError;

/// Names the upstream that an attempt is for, by its id.
pub(crate) const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("papaya-attempt-upstream");
/// Holds the host that the caller named; the host of the request itself is [`ATTEMPT_HOST`].
pub(crate) const CALLER_HOST_HEADER: HeaderName = HeaderName::from_static("papaya-attempt-host");
/// States on the way back how the attempt ended.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("papaya-attempt-outcome");
/// The host of all such requests. An earlier build knows no route for it and refuses them as not
/// run, where it would otherwise serve the whole request.
const ATTEMPT_HOST: HeaderValue = HeaderValue::from_static("attempt.papaya");
/// The most owners that an attempt is sent to, one after the other, as long as none has sent it.
const OWNERS_TRIED_MAX: usize = 2;
/// The longest time that an owner works on an attempt.
const ATTEMPT_TIME_MAX: Duration = Duration::from_secs(60);

/// How an attempt ended at an owner.
#[closed_set]
pub(crate) enum OwnerOutcome {
    /// The upstream replied; the response is its reply.
    Replied,
    /// Nothing was sent: this VM does not own the upstream, or cannot serve at present.
    NotServing,
    /// Nothing was sent: all connections that this VM may open are in use.
    NoConnectionFree,
    /// Nothing was sent: the upstream is leaving, refuses requests or is unknown.
    Withdrawn,
    /// Nothing was sent: no connection could be made.
    NotConnected,
    /// The request may have run, but its reply was lost.
    AnswerLost,
    /// The request may have run, but its reply cannot be used.
    Malformed,
    /// The request may have run, but no reply came in time.
    Late,
}

impl OwnerOutcome {
    const ALL: [Self; 8] = [
        Self::Replied,
        Self::NotServing,
        Self::NoConnectionFree,
        Self::Withdrawn,
        Self::NotConnected,
        Self::AnswerLost,
        Self::Malformed,
        Self::Late,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Replied => "replied",
            Self::NotServing => "not_serving",
            Self::NoConnectionFree => "no_connection_free",
            Self::Withdrawn => "withdrawn",
            Self::NotConnected => "not_connected",
            Self::AnswerLost => "answer_lost",
            Self::Malformed => "malformed",
            Self::Late => "late",
        }
    }

    fn of(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|outcome| outcome.name() == name)
    }

    /// Returns the response of an owner that has no reply to pass on.
    pub(crate) fn response(self, detail: &str) -> Response {
        let mut response = Response::new(Body::from(detail.to_owned()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(self.name()));
        response
    }
}

/// Why an owner gave no reply.
enum OwnerFailure {
    /// It has sent nothing, so another owner may be asked; the attempt ends so if there is none.
    AskAnother(ExchangeError),
    /// The same, since it does not serve others: it runs an earlier build, is gone or leaving.
    NotServing,
    /// The attempt has ended.
    Ended(Box<AttemptEnd>),
}

impl OwnerFailure {
    fn ended(end: AttemptEnd) -> Self {
        Self::Ended(Box::new(end))
    }
}

impl Attempt<'_> {
    /// Returns the target's reply through an owner.
    ///
    /// # Errors
    /// Returns the end of the attempt if no owner has a reply.
    pub(crate) async fn reply_through_owner(&self) -> Result<UpstreamReply, AttemptEnd> {
        let mut tried: Vec<VmAddress> = Vec::new();
        let mut not_sent = ExchangeError::NoConnectionFree;
        let mut any_serves = false;
        while tried.len() < OWNERS_TRIED_MAX
            && let Some(owner) = self.choose_owner(&tried)
        {
            if !self.may_send() {
                return Err(end_without_reply(ExchangeError::Withdrawn));
            }
            match self.ask_owner(owner).await {
                Ok(reply) => return Ok(reply),
                Err(OwnerFailure::Ended(end)) => return Err(*end),
                Err(OwnerFailure::AskAnother(why)) => {
                    not_sent = why;
                    any_serves = true;
                    tried.push(owner);
                }
                Err(OwnerFailure::NotServing) => tried.push(owner),
            }
        }
        if any_serves || self.access.connections_max > 0 {
            return Err(end_without_reply(not_sent));
        }
        // No VM may be left without a way to a shard.
        let access = UpstreamAccess { connections_max: 1, owners: Vec::new() };
        let alone = Attempt { access: &access, ..*self };
        alone.direct_reply().await.map_err(end_without_reply)?
    }

    fn choose_owner(&self, tried: &[VmAddress]) -> Option<VmAddress> {
        let peers = self.state.peers();
        let random = &mut self.state.decisions().random;
        peers.choose_owner(&self.access.owners, tried, Instant::now(), random)
    }

    async fn ask_owner(&self, owner: SocketAddr) -> Result<UpstreamReply, OwnerFailure> {
        let state = self.state;
        let mut outgoing = self.outgoing_request(state.format.headers());
        let Ok(upstream) = HeaderValue::from_str(&self.target.id) else {
            return Err(OwnerFailure::AskAnother(ExchangeError::Withdrawn));
        };
        let headers = outgoing.headers_mut();
        headers.insert(UPSTREAM_HEADER, upstream);
        if let Some(host) = headers.insert(header::HOST, ATTEMPT_HOST) {
            headers.insert(CALLER_HOST_HEADER, host);
        }
        let mut in_flight = InFlight::start(state, owner);
        let exchanged = state.peer_pool.exchange(owner, CONNECTIONS_PER_PEER, outgoing, || true);
        let (response, lease) = match exchanged.await {
            Ok(replied) => replied,
            Err(ExchangeError::AnswerLost { detail }) => {
                state.peers().record_trouble(owner, Instant::now());
                let lost = AttemptOutcome::Failed(FailureReason::OwnerLost);
                return Err(OwnerFailure::ended(AttemptEnd::new(lost, detail)));
            }
            Err(ExchangeError::NotConnected { .. }) => {
                state.peers().record_trouble(owner, Instant::now());
                return Err(OwnerFailure::NotServing);
            }
            Err(error @ (ExchangeError::NoConnectionFree | ExchangeError::Withdrawn)) => {
                return Err(OwnerFailure::AskAnother(error));
            }
        };
        in_flight.answered = true;
        let (head, body) = response.into_parts();
        let body = state.unfinished_bodies.read(body).await.map_err(|detail| {
            let lost = AttemptOutcome::Failed(FailureReason::OwnerLost);
            OwnerFailure::ended(AttemptEnd::new(lost, detail))
        })?;
        lease.release(&head.headers);
        let Some(outcome) = header_text(&head.headers, &OUTCOME_HEADER).and_then(OwnerOutcome::of)
        else {
            // An earlier build, which has no route for the request.
            return Err(OwnerFailure::NotServing);
        };
        if let Some(failure) = outcome.into_failure() {
            return Err(failure);
        }
        let mut headers = end_to_end_headers(&head.headers);
        headers.remove(&OUTCOME_HEADER);
        let load = parse_load(state.format.headers(), &headers);
        Ok(UpstreamReply { status: head.status, headers, body, load })
    }
}

impl OwnerOutcome {
    /// Returns what the outcome means to the VM that asked; `None` if there is a reply.
    fn into_failure(self) -> Option<OwnerFailure> {
        let failed = |reason, detail: &str| {
            Some(OwnerFailure::ended(AttemptEnd::new(AttemptOutcome::Failed(reason), detail)))
        };
        match self {
            Self::Replied => None,
            Self::NotServing => Some(OwnerFailure::NotServing),
            Self::NoConnectionFree => {
                Some(OwnerFailure::AskAnother(ExchangeError::NoConnectionFree))
            }
            // The link of that owner alone may be lost.
            Self::NotConnected => {
                let detail = "the owners could not connect to the upstream".to_owned();
                Some(OwnerFailure::AskAnother(ExchangeError::NotConnected { detail }))
            }
            Self::Withdrawn => {
                Some(OwnerFailure::ended(end_without_reply(ExchangeError::Withdrawn)))
            }
            Self::AnswerLost => failed(FailureReason::AnswerLost, "the owner lost the reply"),
            Self::Malformed => failed(FailureReason::Malformed, "the owner got no valid reply"),
            Self::Late => failed(FailureReason::DeadlineExceeded, "the owner got no reply in time"),
        }
    }
}

/// Sends an attempt for another VM, and returns the upstream's reply or how the attempt ended.
pub(crate) async fn serve_attempt(
    state: &ForwardState,
    table: &Arc<RouteTable>,
    mut request: CallerRequest,
) -> Response {
    if let Some(host) = request.headers.remove(&CALLER_HOST_HEADER) {
        request.headers.insert(header::HOST, host);
    }
    if state.cannot_serve_others() {
        return OwnerOutcome::NotServing.response("this VM cannot serve others at present");
    }
    let id = header_text(&request.headers, &UPSTREAM_HEADER).unwrap_or("");
    let upstreams = state.upstreams.borrow().clone();
    let known = upstreams.as_ref().and_then(|set| set.by_index.get(&set.index_of(id)?));
    let Some(target) = known else {
        return OwnerOutcome::Withdrawn.response("the upstream is not known or leaving");
    };
    // Upstreams would see this VM act on a version that it has not reached yet, or has left.
    let host = header_text(&request.headers, &header::HOST).unwrap_or("");
    let route = table.find(host, request.uri.path());
    let Some(route) = route.filter(|route| route.target.names(&target.service)) else {
        return OwnerOutcome::NotServing.response("no route of this VM allows the attempt");
    };
    let access = state.upstream_access(target, table.document());
    if access.connections_max == 0 {
        return OwnerOutcome::NotServing.response("this VM does not own the upstream");
    }
    let remaining = header_text(&request.headers, &state.format.headers().remaining_ms)
        .and_then(|text| text.parse().ok())
        .map_or(ATTEMPT_TIME_MAX, Duration::from_millis);
    let now = Instant::now();
    let deadline = now + remaining.min(ATTEMPT_TIME_MAX);
    if !state.departure.takes(route.kind, deadline) {
        return OwnerOutcome::NotServing.response("this VM is leaving");
    }
    let attempt = Attempt {
        state,
        request: &request,
        target,
        access: &UpstreamAccess { owners: Vec::new(), ..access },
        deadline,
        // The VM that asks has taken the room of the attempt where the upstream names a limit.
        class: QueryClass::Sweep,
        chosen_at: now,
        // The VM that asks judges the reply.
        is_part: false,
        sent: &AtomicBool::new(false),
    };
    let replied = tokio::select! {
        biased;
        replied = attempt.direct_reply() => replied,
        () = tokio::time::sleep_until(deadline.into()) => {
            return OwnerOutcome::Late.response("no reply before the deadline");
        }
        () = state.departure.answers_are_due() => {
            return OwnerOutcome::AnswerLost.response(STOPPED_DETAIL);
        }
    };
    match replied {
        Ok(Ok(reply)) => reply_response(reply),
        Ok(Err(end)) => match end.outcome {
            AttemptOutcome::Failed(FailureReason::Malformed) => {
                OwnerOutcome::Malformed.response(&end.detail)
            }
            _ => OwnerOutcome::AnswerLost.response(&end.detail),
        },
        Err(error) => match error {
            ExchangeError::NotConnected { detail } => OwnerOutcome::NotConnected.response(&detail),
            ExchangeError::NoConnectionFree => {
                OwnerOutcome::NoConnectionFree.response("all connections are in use")
            }
            ExchangeError::Withdrawn => {
                OwnerOutcome::Withdrawn.response("the upstream left or refused")
            }
            ExchangeError::AnswerLost { detail } => OwnerOutcome::AnswerLost.response(&detail),
        },
    }
}

/// Returns an upstream's reply with the headers that the VM that asked needs.
fn reply_response(reply: UpstreamReply) -> Response {
    let mut headers = end_to_end_headers(&reply.headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(OwnerOutcome::Replied.name()));
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = headers;
    response
}
