//! Requests that another VM serves, because this one has lost its links to the upstreams.
//!
//! A request comes to the other VM on its internal address and takes one hop: what arrives there is
//! never passed on again. The caller's id, headers and body stay; the time remaining shrinks. The
//! VM that serves counts its attempts, repeats and limits as for its own callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use axum::http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode, Uri, header, response};
use bytes::Bytes;
use http_body_util::Full;
use papayastack_macros::{closed_set, message};
use rand::Rng;
use serde_json::json;

use super::attempt::{CallerRequest, end_to_end_headers};
use super::response::{RETRY_AFTER, RequestOutcome, promises_not_run};
use super::state::ForwardState;
use super::through_owner::{CALLER_HOST_HEADER, UPSTREAM_HEADER};
use crate::cbor;
use crate::ids::VmAddress;
use crate::membership::{Member, MemberState, MemberView};
use crate::observe::DecisionEvent;
use crate::upstream::ExchangeError;

/// States the outcome on the way back between two VMs.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("papaya-relay-outcome");
/// Names the most attempts for one shard that the other VM may make.
pub(crate) const ATTEMPTS_HEADER: HeaderName = HeaderName::from_static("papaya-relay-attempts");
/// Names the earliest version of the routes by which the other VM may serve, and on the way back the
/// version by which it did.
pub(crate) const ROUTES_VERSION_HEADER: HeaderName =
    HeaderName::from_static("papaya-relay-routes-version");
/// The host of requests to VMs whose version of the routes may be too early; the caller's host is in
/// [`CALLER_HOST_HEADER`]. An earlier build heeds no version, but knows no route for this host and
/// refuses.
const VERSIONED_HOST: HeaderValue = HeaderValue::from_static("relay.papaya");
/// The most VMs that a request is sent to, one after the other, as long as none has run it.
const PEERS_TRIED_MAX: usize = 3;
/// The most connections to another VM.
pub(crate) const CONNECTIONS_PER_PEER: u32 = 256;
/// How long another VM counts as without links after it said so; it repeats that while it lasts.
const PEER_LOST_HOLD: Duration = Duration::from_millis(1_500);
/// How long a VM that serves for this one may answer nothing before others are preferred.
const PEER_SILENT_MAX: Duration = Duration::from_millis(400);
/// How long other VMs are preferred to one that did not answer.
const PEER_TROUBLED_HOLD: Duration = Duration::from_secs(1);

/// The outcome of a request at the VM that was to serve it.
#[closed_set]
pub(crate) enum RelayOutcome {
    /// The request was answered, or may have run.
    Handled,
    /// The request did not run.
    NotRun,
    /// The request did not run, since that VM cannot serve at present: it has lost its links too, is
    /// leaving, or has too early a version of the routes.
    NotServing,
}

impl RelayOutcome {
    /// Returns the value of [`OUTCOME_HEADER`].
    pub(crate) fn header_value(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::Handled => "handled",
            Self::NotRun => "not_run",
            Self::NotServing => "not_serving",
        })
    }

    fn of(headers: &HeaderMap) -> Option<Self> {
        [Self::Handled, Self::NotRun, Self::NotServing]
            .into_iter()
            .find(|outcome| headers.get(&OUTCOME_HEADER) == Some(&outcome.header_value()))
    }
}

/// The notice in which a VM tells the others whether it has lost its links.
#[message]
pub(crate) struct LinksNotice {
    pub(crate) links_lost: bool,
}

impl LinksNotice {
    /// Encodes the notice.
    pub(crate) fn encode(&self) -> Bytes {
        cbor::encode(self).into()
    }

    /// Decodes a notice; returns `None` if it is another one or malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        cbor::decode(bytes)
    }
}

/// What this VM knows of the others as places to serve its requests.
#[derive(Debug, Default)]
pub(crate) struct RelayPeers {
    lost_until: BTreeMap<VmAddress, Instant>,
    troubled_until: BTreeMap<VmAddress, Instant>,
    waiting: BTreeMap<VmAddress, Waiting>,
    /// The latest version of the routes by which another VM has served a caller of this one.
    served_version: u64,
}

/// The requests that a VM serves for this one at present.
#[derive(Debug)]
struct Waiting {
    in_flight: u32,
    /// When the VM last answered one, or got one while it had none.
    progress_at: Instant,
}

impl RelayPeers {
    /// Records whether a VM has lost its links.
    pub(crate) fn record_links(&mut self, peer: VmAddress, lost: bool, now: Instant) {
        if lost {
            self.lost_until.insert(peer, now + PEER_LOST_HOLD);
        } else {
            self.lost_until.remove(&peer);
        }
    }

    /// Records that a VM did not answer.
    pub(crate) fn record_trouble(&mut self, peer: VmAddress, now: Instant) {
        self.troubled_until.insert(peer, now + PEER_TROUBLED_HOLD);
    }

    /// Records that a VM served a caller of this one by a version of the routes.
    pub(crate) fn record_served_version(&mut self, version: u64) {
        self.served_version = self.served_version.max(version);
    }

    /// Returns the earliest version by which callers of this VM may still be served, so that none is
    /// served by an earlier version than the ones before.
    pub(crate) fn served_version(&self) -> u64 {
        self.served_version
    }

    /// Records the start of a request that a VM serves for this one.
    fn request_sent(&mut self, peer: VmAddress, now: Instant) {
        let idle = Waiting { in_flight: 0, progress_at: now };
        let waiting = self.waiting.entry(peer).or_insert(idle);
        if waiting.in_flight == 0 {
            waiting.progress_at = now;
        }
        waiting.in_flight += 1;
    }

    /// Records the end of a request that a VM served for this one, answered or not.
    fn request_ended(&mut self, peer: VmAddress, answered: bool, now: Instant) {
        if let Some(waiting) = self.waiting.get_mut(&peer) {
            waiting.in_flight = waiting.in_flight.saturating_sub(1);
            if answered {
                waiting.progress_at = now;
            }
        }
    }

    /// Tells whether a VM did not answer a moment ago, or has requests and answers none.
    fn is_troubled(&self, peer: &VmAddress, now: Instant) -> bool {
        let is_silent = self.waiting.get(peer).is_some_and(|waiting| {
            waiting.in_flight > 0
                && now.saturating_duration_since(waiting.progress_at) > PEER_SILENT_MAX
        });
        is_silent || self.troubled_until.get(peer).is_some_and(|until| *until > now)
    }

    /// Chooses the VM with fewer requests of this one in flight out of two random VMs that have
    /// links and are not in `tried`. Preferred are VMs that answer, then those that do not leave,
    /// then those whose routes are not older than `routes_version`.
    pub(crate) fn choose(
        &self,
        view: &MemberView,
        own: VmAddress,
        routes_version: u64,
        tried: &[VmAddress],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<VmAddress> {
        let serves = |member: &&Member| {
            let address = member.identity.address;
            member.configuration_version > 0
                && address != own
                && !tried.contains(&address)
                && self.lost_until.get(&address).is_none_or(|until| *until <= now)
        };
        let mut peers: Vec<VmAddress> =
            view.members.values().filter(serves).map(|member| member.identity.address).collect();
        let answers = |peer: &VmAddress| !self.is_troubled(peer, now);
        let stays = |peer: &VmAddress| view.members[peer].state == MemberState::Live;
        let is_current =
            |peer: &VmAddress| view.members[peer].configuration_version >= routes_version;
        for preferred in [&answers as &dyn Fn(&VmAddress) -> bool, &stays, &is_current] {
            if peers.iter().any(preferred) {
                peers.retain(preferred);
            }
        }
        self.choose_less_busy(&peers, random)
    }

    /// Chooses the owner with fewer requests of this VM in flight out of two random ones that have
    /// links and are not in `tried`. Preferred are owners that answer.
    pub(crate) fn choose_owner(
        &self,
        owners: &[VmAddress],
        tried: &[VmAddress],
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<VmAddress> {
        let mut peers = owners.to_vec();
        peers.retain(|peer| {
            !tried.contains(peer) && self.lost_until.get(peer).is_none_or(|until| *until <= now)
        });
        if peers.iter().any(|peer| !self.is_troubled(peer, now)) {
            peers.retain(|peer| !self.is_troubled(peer, now));
        }
        self.choose_less_busy(&peers, random)
    }

    fn choose_less_busy(&self, peers: &[VmAddress], random: &mut impl Rng) -> Option<VmAddress> {
        if peers.is_empty() {
            return None;
        }
        let mut draw = || peers[random.random_range(0..peers.len())];
        let (one, other) = (draw(), draw());
        let in_flight =
            |peer: &VmAddress| self.waiting.get(peer).map_or(0, |waiting| waiting.in_flight);
        Some(if in_flight(&other) < in_flight(&one) { other } else { one })
    }

    /// Drops what is known of VMs that are no longer members.
    pub(crate) fn retain_members(&mut self, view: &MemberView) {
        self.lost_until.retain(|peer, _| view.members.contains_key(peer));
        self.troubled_until.retain(|peer, _| view.members.contains_key(peer));
        self.waiting.retain(|_, waiting| waiting.in_flight > 0);
    }
}

/// Another VM's response to a request.
#[derive(Debug)]
pub(crate) struct RelayedReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) outcome: RelayOutcome,
}

/// A request that another VM is to serve.
pub(crate) struct RelayTask<'a> {
    pub(crate) state: &'a ForwardState,
    pub(crate) request: &'a CallerRequest,
    /// The most attempts for one shard that are left.
    pub(crate) attempts_max: u32,
    pub(crate) deadline: Instant,
    /// The earliest version of the routes by which the request may be served.
    pub(crate) routes_version_min: u64,
    /// Whether an attempt of this VM may have run the request.
    pub(crate) may_have_run: bool,
}

impl RelayTask<'_> {
    /// Sends the request to another VM, and to a further one while none can have run it.
    pub(crate) async fn run(self) -> RequestOutcome {
        let mut tried = Vec::new();
        let mut may_have_run = self.may_have_run;
        let mut refusal = None;
        while tried.len() < PEERS_TRIED_MAX && Instant::now() < self.deadline {
            let Some(peer) = self.choose(&tried) else { break };
            tried.push(peer);
            let sent = tokio::select! {
                biased;
                sent = self.send(peer) => sent,
                () = tokio::time::sleep_until(self.deadline.into()) => {
                    Err(RelayFailure::MayHaveRun)
                }
                () = self.state.departure.answers_are_due() => Err(RelayFailure::MayHaveRun),
            };
            match sent {
                Ok(reply) => match reply.outcome {
                    // An earlier build passes on an upstream's status that promises too much.
                    RelayOutcome::Handled if promises_not_run(reply.status) => {
                        may_have_run = true;
                        break;
                    }
                    RelayOutcome::Handled => return RequestOutcome::Relayed(reply),
                    RelayOutcome::NotRun => {
                        refusal = Some(reply);
                        // A VM that refuses has links; others would refuse for the same reason.
                        break;
                    }
                    RelayOutcome::NotServing => {
                        self.state.peers().record_trouble(peer, Instant::now());
                    }
                },
                Err(RelayFailure::NotRun) => {
                    self.state.peers().record_trouble(peer, Instant::now());
                }
                Err(RelayFailure::MayHaveRun) => {
                    // It is not known how many attempts are left.
                    may_have_run = true;
                    self.state.peers().record_trouble(peer, Instant::now());
                    break;
                }
            }
        }
        self.give_up(may_have_run, refusal)
    }

    fn choose(&self, tried: &[VmAddress]) -> Option<VmAddress> {
        let view = self.state.members.borrow().clone();
        let own = *self.state.link_address.get()?;
        let mut decisions = self.state.decisions();
        let random = &mut decisions.random;
        let version = self.routes_version_min;
        self.state.peers().choose(&view, own, version, tried, Instant::now(), random)
    }

    fn give_up(&self, may_have_run: bool, refusal: Option<RelayedReply>) -> RequestOutcome {
        let detail = "another VM was to serve the request, and none did";
        match refusal {
            Some(reply) if !may_have_run => RequestOutcome::Relayed(reply),
            _ if may_have_run => RequestOutcome::Failed {
                status: if Instant::now() >= self.deadline {
                    StatusCode::GATEWAY_TIMEOUT
                } else {
                    StatusCode::BAD_GATEWAY
                },
                reply: None,
                detail: detail.to_owned(),
            },
            _ => {
                // Jitter keeps callers that were refused together from retrying together.
                let jitter = self.state.decisions().random.random_range(1.0..2.0);
                let retry_after = RETRY_AFTER.mul_f64(jitter);
                RequestOutcome::NotRun { retry_after, detail: detail.to_owned() }
            }
        }
    }

    async fn send(&self, peer: VmAddress) -> Result<RelayedReply, RelayFailure> {
        let started = Instant::now();
        let mut in_flight = InFlight::start(self.state, peer);
        let known_version = {
            let view = self.state.members.borrow();
            view.members.get(&peer).map_or(0, |member| member.configuration_version)
        };
        let outgoing = self.outgoing_request(known_version);
        let exchanged =
            self.state.peer_pool.exchange(peer, CONNECTIONS_PER_PEER, outgoing, || true);
        let result = match exchanged.await {
            Ok((response, lease)) => {
                let (head, body) = response.into_parts();
                match self.state.unfinished_bodies.read(body).await {
                    Ok(body) => {
                        lease.release(&head.headers);
                        Ok((head, body))
                    }
                    Err(_) => Err(RelayFailure::MayHaveRun),
                }
            }
            Err(ExchangeError::AnswerLost { .. }) => Err(RelayFailure::MayHaveRun),
            Err(
                ExchangeError::NotConnected { .. }
                | ExchangeError::NoConnectionFree
                | ExchangeError::Withdrawn,
            ) => Err(RelayFailure::NotRun),
        };
        in_flight.answered = result.is_ok();
        drop(in_flight);
        self.log(peer, started, result.as_ref().ok().map(|(head, _)| head));
        let (head, body) = result?;
        // A response without the header is not from a VM that serves for others.
        let outcome = RelayOutcome::of(&head.headers).ok_or(RelayFailure::MayHaveRun)?;
        let mut headers = end_to_end_headers(&head.headers);
        headers.remove(&OUTCOME_HEADER);
        headers.remove(header::CONTENT_LENGTH);
        let served_version = routes_version(&headers).unwrap_or(known_version);
        headers.remove(&ROUTES_VERSION_HEADER);
        if outcome == RelayOutcome::Handled {
            self.state.peers().record_served_version(served_version);
        }
        Ok(RelayedReply { status: head.status, headers, body, outcome })
    }

    /// Returns the request for a VM that is known to have a version of the routes.
    fn outgoing_request(&self, known_version: u64) -> Request<Full<Bytes>> {
        let names = self.state.format.headers();
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let mut outgoing = Request::new(Full::new(self.request.body.clone()));
        *outgoing.method_mut() = self.request.method.clone();
        let path = self.request.uri.path_and_query().map_or("/", |path| path.as_str());
        // Parsing cannot fail: the path was taken from a parsed request line.
        *outgoing.uri_mut() = path.parse::<Uri>().unwrap_or_default();
        let headers = outgoing.headers_mut();
        *headers = end_to_end_headers(&self.request.headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(&UPSTREAM_HEADER);
        headers.insert(names.remaining_ms.clone(), HeaderValue::from(remaining.as_millis() as u64));
        headers.insert(ATTEMPTS_HEADER, HeaderValue::from(self.attempts_max));
        headers.insert(ROUTES_VERSION_HEADER, HeaderValue::from(self.routes_version_min));
        headers.remove(&CALLER_HOST_HEADER);
        if known_version < self.routes_version_min
            && let Some(host) = headers.insert(header::HOST, VERSIONED_HOST)
        {
            headers.insert(CALLER_HOST_HEADER, host);
        }
        outgoing
    }

    fn log(&self, peer: VmAddress, started: Instant, head: Option<&response::Parts>) {
        self.state.log.write(DecisionEvent::RequestRelayed, || {
            json!({
                "request": self.request.request_id.to_str().unwrap_or(""),
                "peer": peer,
                "status": head.map(|head| head.status.as_u16()),
                "elapsed_ms": started.elapsed().as_millis() as u64,
                "routes_version_min": self.routes_version_min,
                "served_version": head.and_then(|head| routes_version(&head.headers)),
            })
        });
    }
}

/// Returns the version of the routes that a request or a response between two VMs names.
pub(crate) fn routes_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(&ROUTES_VERSION_HEADER)?.to_str().ok()?.parse().ok()
}

/// Why another VM gave no response.
#[closed_set]
enum RelayFailure {
    /// Nothing was sent to it.
    NotRun,
    /// It may have run the request.
    MayHaveRun,
}

/// Counts a request to another VM until dropped.
pub(crate) struct InFlight<'a> {
    state: &'a ForwardState,
    peer: VmAddress,
    pub(crate) answered: bool,
}

impl<'a> InFlight<'a> {
    /// Counts a request that is about to be sent to `peer`.
    pub(crate) fn start(state: &'a ForwardState, peer: VmAddress) -> Self {
        state.peers().request_sent(peer, Instant::now());
        Self { state, peer, answered: false }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.state.peers().request_ended(self.peer, self.answered, Instant::now());
    }
}
