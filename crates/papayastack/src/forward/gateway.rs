//! One forwarding VM: start, connection of the parts, and graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use papayastack_macros::value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::feeds::{discover_vms, follow_members, spawn_feeds};
use super::following::{HttpFeedPeers, follow_readers};
use super::ingress::{caller_router, directory_router, ready_router, relay_router};
use super::interface::{FeedStore, IngressFormat};
use super::limits::report_limits;
use super::notices::receive_notices;
use super::operators::GatewayOperatorService;
use super::probing::watch_links;
use super::settings::GatewaySettings;
use super::silence::report_silence;
use super::state::ForwardState;
use crate::addresses::Leaving;
use crate::listen::{HeadTimeout, HttpServer};
use crate::membership::{Member, MemberState, Membership, VmIdentity};
use crate::observe::{DecisionEvent, DecisionLog};
use crate::operator::OperatorServer;
use crate::seal::{Keyring, KeyringError};
use crate::settings::MembershipSettings;

/// The interval at which the requests still in flight are polled while leaving.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);
/// How long callers' connections may stay idle while the VM has no routes, and thus no configured
/// limits; requests are then refused with a retry time below one second.
const NOT_SERVING_IDLE_MAX: Duration = Duration::from_secs(30);
/// How many ports are tried until one is free for both datagrams and connections.
const BIND_ATTEMPTS_MAX: u32 = 8;
/// How long connections of other VMs may stay idle; longer than those VMs keep them.
const RELAY_IDLE_MAX: Duration = Duration::from_secs(60);
/// The time reserved before the stop to send the answers of requests that have not ended.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// The time reserved at the end of the grace period for the process to exit.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// The reason why a forwarding VM could not start.
#[value]
pub enum GatewayError {
    /// An address cannot be listened on.
    Bind {
        /// The address that was to be bound.
        address: SocketAddr,
    },
    /// The system's keys cannot be used.
    Keys(KeyringError),
    /// The membership cannot start.
    Membership,
}

impl std::fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bind { address } => {
                write!(formatter, "cannot listen on {address}; is it local and free?")
            }
            Self::Keys(cause) => write!(formatter, "`system_keys` cannot be used: {cause}"),
            Self::Membership => {
                write!(
                    formatter,
                    "cannot open the socket to other VMs; is `link_address` local and free?"
                )
            }
        }
    }
}

impl std::error::Error for GatewayError {}

/// A running VM that forwards.
pub struct Gateway {
    state: Arc<ForwardState>,
    membership: Arc<Membership>,
    caller_server: HttpServer,
    /// Serves the requests of other VMs.
    relay_server: HttpServer,
    ready_server: HttpServer,
    directory_server: HttpServer,
    operator_server: OperatorServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Binds the VM's addresses and starts its background tasks; port 0 selects a free port.
    ///
    /// # Errors
    /// Fails if an address is not local or in use, or if no key can be used.
    pub async fn bind(
        settings: GatewaySettings,
        store: Arc<dyn FeedStore>,
        format: Arc<dyn IngressFormat>,
        log: Arc<DecisionLog>,
    ) -> Result<Self, Report<GatewayError>> {
        let keyring = Arc::new(Keyring::new(&settings.system_keys).map_err(GatewayError::Keys)?);
        let (membership, relay_listener) = bind_link_address(&settings, &keyring).await?;
        let membership = Arc::new(membership);
        let state = Arc::new(ForwardState::new(settings, format, membership.view(), log));
        let settings = &state.settings;
        let caller_address = settings.caller_address;
        let caller_server = HttpServer::bind_with_head_timeout(
            caller_address,
            caller_router(Arc::clone(&state)),
            caller_head_timeout(&state),
        )
        .await
        .change_context(GatewayError::Bind { address: caller_address })?;
        let ready_server = bind(settings.ready_address, ready_router(Arc::clone(&state))).await?;
        let directory_server =
            bind(settings.directory_address, directory_router(Arc::clone(&state))).await?;
        let relay_server = HttpServer::listen(
            relay_listener,
            relay_router(Arc::clone(&state)),
            Arc::new(|| RELAY_IDLE_MAX),
        )
        .change_context(GatewayError::Bind { address: membership.address() })?;
        // Cannot fail: nothing else sets it.
        let _ = state.link_address.set(membership.address());
        let operator_address = settings.operator_address;
        let service =
            Arc::new(GatewayOperatorService::new(Arc::clone(&state), Arc::clone(&membership)));
        let operator_server = OperatorServer::bind(operator_address, service)
            .await
            .change_context(GatewayError::Bind { address: operator_address })?;
        membership.set_caller_address(caller_server.address());
        let peers = Arc::new(HttpFeedPeers(Arc::clone(&state)));
        let mut tasks = spawn_feeds(&state, Arc::clone(&store), membership.address());
        tasks.extend([
            tokio::spawn(discover_vms(Arc::clone(&state), store, Arc::clone(&membership))),
            tokio::spawn(receive_notices(Arc::clone(&state), Arc::clone(&membership))),
            tokio::spawn(report_silence(Arc::clone(&state), Arc::clone(&membership))),
            tokio::spawn(watch_links(Arc::clone(&state), Arc::clone(&membership))),
            tokio::spawn(report_limits(Arc::clone(&state), Arc::clone(&membership))),
            tokio::spawn(follow_readers(Arc::clone(&state), peers)),
            tokio::spawn(follow_members(Arc::clone(&state), Arc::clone(&membership))),
        ]);
        state.log.write(DecisionEvent::Started, || {
            json!({
                "version": env!("CARGO_PKG_VERSION"),
                "caller_address": caller_server.address(),
                "directory_address": directory_server.address(),
                "link_address": membership.address(),
                "data_centre": state.settings.data_centre,
            })
        });
        Ok(Self {
            state,
            membership,
            caller_server,
            relay_server,
            ready_server,
            directory_server,
            operator_server,
            tasks,
        })
    }

    /// Returns the address for callers' requests.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Returns the address at which callers ask for VM addresses.
    pub fn directory_address(&self) -> SocketAddr {
        self.directory_server.address()
    }

    /// Returns the address of the readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready_server.address()
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_server.address()
    }

    /// Returns once an operator has asked this VM to leave.
    pub async fn drain_requested(&self) {
        let mut requested = self.state.drain_requested.subscribe();
        // Cannot fail: `self.state` holds the sender.
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// Returns the number of requests in flight, those of other VMs included.
    fn in_flight(&self) -> usize {
        self.caller_server.in_flight() + self.relay_server.in_flight()
    }

    /// Leaves the system gracefully: the VM's address is no longer given to callers, requests that
    /// still arrive are first served and later refused, and the VM stops within the grace period.
    pub async fn leave(self) {
        let started = Instant::now();
        let grace = Duration::from_secs(self.state.settings.stop_grace_s);
        let lifetime = Duration::from_secs(self.state.settings.address_lifetime_max_s);
        let in_flight = self.in_flight();
        self.state.log.write(DecisionEvent::Stopping, || json!({ "in_flight": in_flight }));
        let end = grace.saturating_sub(STOP_MARGIN);
        let answers_due = end.saturating_sub(ANSWER_TIME);
        self.state.departure.begin(started + answers_due);
        self.state.wake_followers();
        self.membership.leave();
        self.caller_server.retire();
        self.relay_server.retire();
        let mut leaving = Leaving::new(lifetime, started);
        leaving.begin(started);
        // A request that is taken last still has as much time to end.
        let accept_max = answers_due / 2;
        while leaving.advance(self.in_flight(), Instant::now()).accepts()
            && started.elapsed() < accept_max
        {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        self.state.departure.refuse_all();
        while self.in_flight() > 0 && started.elapsed() < end {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        let left = end.saturating_sub(started.elapsed()) + PROGRESS_INTERVAL;
        let shutdown = async {
            tokio::join!(self.caller_server.shutdown(), self.relay_server.shutdown());
        };
        let cut = tokio::time::timeout(left, shutdown).await.is_err();
        self.membership.shut_down().await;
        for task in &self.tasks {
            task.abort();
        }
        let elapsed_ms = started.elapsed().as_millis() as u64;
        self.state.log.write(
            DecisionEvent::Stopped,
            || json!({ "elapsed_ms": elapsed_ms, "requests_cut": cut }),
        );
        // Gives the log's thread time to write the queued lines.
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

/// Returns a function that reads the timeout for callers' connections from the routes in force.
fn caller_head_timeout(state: &Arc<ForwardState>) -> HeadTimeout {
    let state = Arc::clone(state);
    Arc::new(move || {
        let limits = state.routes.borrow().as_ref().map(|table| table.document().limits);
        limits.map_or(NOT_SERVING_IDLE_MAX, |limits| limits.idle_timeout.max(limits.head_timeout))
    })
}

/// Binds the link address for datagrams and for connections; with port 0, both get the same port.
async fn bind_link_address(
    settings: &GatewaySettings,
    keyring: &Arc<Keyring>,
) -> Result<(Membership, TcpListener), Report<GatewayError>> {
    let mut attempts_left = if settings.link_address.port() == 0 { BIND_ATTEMPTS_MAX } else { 1 };
    loop {
        attempts_left -= 1;
        let address = settings.link_address;
        let listener =
            TcpListener::bind(address).await.change_context(GatewayError::Bind { address })?;
        let address = listener.local_addr().change_context(GatewayError::Bind { address })?;
        let own = Member {
            identity: VmIdentity { address, incarnation: incarnation() },
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_address,
            state: MemberState::Live,
            configuration_version: 0,
        };
        let membership = Membership::bind_without_list(
            own,
            MembershipSettings::default(),
            settings.data_centres.clone(),
            Arc::clone(keyring),
        )
        .await;
        match membership {
            Ok(membership) => return Ok((membership, listener)),
            Err(report) if attempts_left == 0 => {
                return Err(report.change_context(GatewayError::Membership));
            }
            // The port is in use for datagrams; another one may be free for both.
            Err(_) => {}
        }
    }
}

async fn bind(
    address: SocketAddr,
    router: axum::Router,
) -> Result<HttpServer, Report<GatewayError>> {
    HttpServer::bind(address, router).await.change_context(GatewayError::Bind { address })
}

/// Returns a number that grows with each start of the process: the Unix time in milliseconds.
///
/// If the clock was set back between two starts, other VMs take the new process's messages for
/// delayed ones of the old process until their suspicion of it ends.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
