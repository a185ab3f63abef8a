//! One attempt at one upstream: sends the request and classifies the reply by what it proves.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use super::interface::HeaderNames;
use super::links::LinkSign;
use super::owners::UpstreamAccess;
use super::registry::UpstreamTarget;
use super::relay::{ATTEMPTS_HEADER, ROUTES_VERSION_HEADER};
use super::reply_body::holds_status_line;
use super::response::promises_not_run;
use super::state::ForwardState;
use super::through_owner::UPSTREAM_HEADER;
use crate::query::{AttemptOutcome, FailureReason, MilliPerSecond, NotRunReason, UpstreamLoad};
use crate::settings::QueryClass;
use crate::upstream::ExchangeError;

/// The longest time for which an upstream's refusal is heeded.
const REFUSAL_MAX: Duration = Duration::from_secs(3_600);
/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) request_id: HeaderValue,
    pub(crate) body: Bytes,
}

/// An upstream's reply with its complete body.
#[derive(Debug)]
pub(crate) struct UpstreamReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) load: Option<UpstreamLoad>,
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: AttemptOutcome<UpstreamReply>,
    /// The reply of an upstream that reported an error of its own (a 5xx status).
    pub(crate) failure: Option<UpstreamReply>,
    pub(crate) load: Option<UpstreamLoad>,
    /// A readable description of what went wrong; empty if the attempt was answered.
    pub(crate) detail: String,
}

impl AttemptEnd {
    pub(crate) fn new(outcome: AttemptOutcome<UpstreamReply>, detail: impl Into<String>) -> Self {
        Self { outcome, failure: None, load: None, detail: detail.into() }
    }
}

/// One attempt that is about to be made.
pub(crate) struct Attempt<'a> {
    pub(crate) state: &'a ForwardState,
    pub(crate) request: &'a CallerRequest,
    pub(crate) target: &'a UpstreamTarget,
    /// The ways of this VM to the target.
    pub(crate) access: &'a UpstreamAccess,
    pub(crate) deadline: Instant,
    /// The class of the request.
    pub(crate) class: QueryClass,
    /// When the target was chosen.
    pub(crate) chosen_at: Instant,
    /// Whether the reply is to be merged with those of other shards.
    pub(crate) is_part: bool,
    /// Set once the request may have been sent to an upstream.
    pub(crate) sent: &'a AtomicBool,
}

impl Attempt<'_> {
    /// Sends the request to the target and reads its reply; fails at the deadline.
    pub(crate) async fn run(&self) -> AttemptEnd {
        match tokio::time::timeout_at(self.deadline.into(), self.exchange()).await {
            Ok(end) => end,
            Err(_elapsed) => {
                if self.access.connections_max > 0 {
                    self.state.record_link_sign(self.target, LinkSign::Silent);
                }
                let late = AttemptOutcome::Failed(FailureReason::DeadlineExceeded);
                AttemptEnd::new(late, "no reply before the deadline")
            }
        }
    }

    async fn exchange(&self) -> AttemptEnd {
        match self.reply().await {
            Ok(reply) => {
                let names = self.state.format.headers();
                AttemptEnd { load: reply.load, ..classify_reply(names, reply, self.is_part) }
            }
            Err(end) => end,
        }
    }

    /// Returns the target's reply, on a connection of this VM or else through an owner.
    async fn reply(&self) -> Result<UpstreamReply, AttemptEnd> {
        match self.direct_reply().await {
            Err(ExchangeError::NoConnectionFree) => {}
            Err(error) => return Err(end_without_reply(error)),
            Ok(end) => return end,
        }
        if self.access.owners.is_empty() {
            return Err(end_without_reply(ExchangeError::NoConnectionFree));
        }
        let reply = self.reply_through_owner().await?;
        if self.is_for_another_request(&reply.headers) {
            return Err(malformed("the reply carries the id of another request"));
        }
        self.state.heed_reply(self.target, reply.status, &reply.headers, Instant::now());
        Ok(reply)
    }

    /// Returns the target's reply on a connection of this VM.
    ///
    /// # Errors
    /// The outer error says that no reply came, the inner one that the reply cannot be used.
    pub(crate) async fn direct_reply(
        &self,
    ) -> Result<Result<UpstreamReply, AttemptEnd>, ExchangeError> {
        let Self { state, target, .. } = *self;
        let names = state.format.headers();
        let exchanged = state.pool.exchange(
            target.address,
            self.access.connections_max,
            self.outgoing_request(names),
            || self.may_send(),
        );
        let (response, lease) = match exchanged.await {
            Ok(replied) => replied,
            Err(error) => {
                if let Some(sign) = link_sign(&error) {
                    state.record_link_sign(target, sign);
                }
                return Err(error);
            }
        };
        if lease.is_new() {
            state.record_link_sign(target, LinkSign::Connected);
        }
        state.record_link_sign(target, LinkSign::Replied);
        let (head, body) = response.into_parts();
        if self.is_for_another_request(&head.headers) {
            // The reply is to an earlier request; dropping the lease closes the connection.
            return Ok(Err(malformed("the reply carries the id of another request")));
        }
        state.heed_reply(target, head.status, &head.headers, Instant::now());
        let body = match state.unfinished_bodies.read(body).await {
            Ok(body) => body,
            // Dropping the lease closes the connection.
            Err(detail) => {
                let lost = AttemptOutcome::Failed(FailureReason::AnswerLost);
                return Ok(Err(AttemptEnd::new(lost, detail)));
            }
        };
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH)
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        if !has_length && holds_status_line(&body) {
            return Ok(Err(malformed("the reply has no length, and another reply follows it")));
        }
        if state.is_current(target) {
            lease.release(&head.headers);
        }
        let load = parse_load(names, &head.headers);
        Ok(Ok(UpstreamReply { status: head.status, headers: head.headers, body, load }))
    }

    fn is_for_another_request(&self, reply: &HeaderMap) -> bool {
        let id = reply.get(&self.state.format.headers().request_id);
        id.is_some_and(|id| *id != self.request.request_id)
    }

    /// Tells whether the request may be sent now; if so, it counts as sent.
    pub(crate) fn may_send(&self) -> bool {
        let may_send = self.state.may_send_to(self.target, self.class, self.chosen_at);
        self.sent.fetch_or(may_send, Ordering::AcqRel);
        may_send
    }

    /// Returns the request as the target gets it.
    pub(crate) fn outgoing_request(&self, names: &HeaderNames) -> Request<Full<Bytes>> {
        let Self { request, target, .. } = *self;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let path = request.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut outgoing = Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        // Parsing cannot fail: the path was taken from a parsed request line.
        *outgoing.uri_mut() = path.parse().unwrap_or_default();
        let headers = outgoing.headers_mut();
        *headers = end_to_end_headers(&request.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(&ATTEMPTS_HEADER);
        headers.remove(&ROUTES_VERSION_HEADER);
        headers.remove(&UPSTREAM_HEADER);
        headers.insert(names.remaining_ms.clone(), HeaderValue::from(remaining.as_millis() as u64));
        if let Ok(id) = HeaderValue::from_str(&target.id) {
            headers.insert(names.target_upstream.clone(), id);
        }
        outgoing
    }
}

/// Classifies a complete reply: answered, failed, provably not run, or malformed.
fn classify_reply(names: &HeaderNames, reply: UpstreamReply, is_part: bool) -> AttemptEnd {
    let status = reply.status;
    if !reply.headers.contains_key(&names.request_id) {
        // Proves nothing: it may be a late answer to an earlier request on the connection.
        return malformed(format!("status {}, the reply has no request id", status.as_u16()));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        let reused = AttemptOutcome::NotRun(NotRunReason::AddressReused);
        return AttemptEnd::new(reused, "status 421, another upstream now uses the address");
    }
    if reply.headers.contains_key(&names.not_run) {
        let shed = AttemptOutcome::NotRun(NotRunReason::Shed);
        return AttemptEnd::new(shed, format!("status {}, not run", status.as_u16()));
    }
    let sealed = reply.headers.contains_key(&names.seal);
    if !sealed || reply.headers.contains_key(header::CONTENT_ENCODING) {
        return malformed(format!(
            "status {}, no seal or an encoded body; sealed: {sealed}",
            status.as_u16()
        ));
    }
    let failed = AttemptOutcome::Failed(FailureReason::UpstreamFailed);
    if promises_not_run(status) {
        // The upstream may have run the request, so its status would make a promise that it does not
        // keep; the reply is not passed on.
        let detail = format!("status {}, without saying that it did not run", status.as_u16());
        return AttemptEnd::new(failed, detail);
    }
    if status.is_server_error() {
        let detail = format!("status {}", status.as_u16());
        return AttemptEnd { failure: Some(reply), ..AttemptEnd::new(failed, detail) };
    }
    if is_part && !status.is_success() {
        // The caller of a single service gets such a reply as it is; among records it cannot be told
        // from them.
        return AttemptEnd::new(failed, format!("status {}, no part", status.as_u16()));
    }
    AttemptEnd::new(AttemptOutcome::Answered(reply), "")
}

fn malformed(detail: impl Into<String>) -> AttemptEnd {
    AttemptEnd::new(AttemptOutcome::Failed(FailureReason::Malformed), detail)
}

fn link_sign(error: &ExchangeError) -> Option<LinkSign> {
    match error {
        ExchangeError::NotConnected { .. } => Some(LinkSign::NotConnected),
        ExchangeError::AnswerLost { .. } => Some(LinkSign::Silent),
        ExchangeError::NoConnectionFree | ExchangeError::Withdrawn => None,
    }
}

/// Returns the end of an attempt without a reply.
pub(crate) fn end_without_reply(error: ExchangeError) -> AttemptEnd {
    match error {
        ExchangeError::NotConnected { detail } => {
            AttemptEnd::new(AttemptOutcome::NotRun(NotRunReason::ConnectFailed), detail)
        }
        ExchangeError::NoConnectionFree => AttemptEnd::new(
            AttemptOutcome::NotRun(NotRunReason::QueueFull),
            "all connections to the upstream are in use",
        ),
        ExchangeError::Withdrawn => AttemptEnd::new(
            AttemptOutcome::NotRun(NotRunReason::UnknownUpstream),
            "the upstream left, refused or reached its limit before the request was sent",
        ),
        ExchangeError::AnswerLost { detail } => {
            AttemptEnd::new(AttemptOutcome::Failed(FailureReason::AnswerLost), detail)
        }
    }
}

/// Returns for how long an upstream that refuses a request with status 503 wants no other one.
pub(crate) fn refusal_duration(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let text =
        headers.get(header::RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    let seconds: f64 = text.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(|duration| duration.min(REFUSAL_MAX))
}

/// Reads a limit, a decimal number of requests per second.
pub(crate) fn parse_limit(value: &HeaderValue) -> Option<MilliPerSecond> {
    let per_second: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let valid = per_second.is_finite() && per_second >= 0.0;
    valid.then_some((per_second * 1_000.0) as MilliPerSecond)
}

/// Returns a copy of the headers without the hop-by-hop ones.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        let dropped = CONNECTION_HEADERS.contains(&name.as_str())
            || named.iter().any(|other| other == name.as_str());
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Reads the load that an upstream reports in a reply.
pub(crate) fn parse_load(names: &HeaderNames, headers: &HeaderMap) -> Option<UpstreamLoad> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let [running, waiting, slots] = [numbers.next()??, numbers.next()??, numbers.next()??];
    Some(UpstreamLoad { running, waiting, slots })
}
