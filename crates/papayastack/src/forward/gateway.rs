//! One VM that forwards: its parts started, wired together and stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use papayastack_macros::value;
use serde_json::json;
use tokio::task::JoinHandle;

use super::edge::{FeedStore, IngressFormat};
use super::feeds::{find_vms, follow_members, follow_routes, follow_upstreams};
use super::ingress::{caller_router, directory_router, ready_router};
use super::news::exchange_news;
use super::operators::GatewayOperators;
use super::settings::GatewaySettings;
use super::state::ForwardState;
use crate::addresses::Leaving;
use crate::listen::{HeadTimeout, HttpServer};
use crate::membership::{Member, MemberState, Membership, VmIdentity};
use crate::observe::{DecisionEvent, DecisionLog};
use crate::operator::OperatorServer;
use crate::seal::Keyring;
use crate::settings::MembershipSettings;

/// The pause between two looks at the requests that are left.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);
/// The share of the time before the kill after which new requests are refused.
const ACCEPT_GRACE_SHARE: f64 = 0.55;
/// How long callers' connections may stay idle before limits are known; callers are told to come back
/// within a second then.
const NOT_SERVING_IDLE_MAX: Duration = Duration::from_secs(30);
/// The time kept before the kill for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Says why a forwarding VM could not start.
#[value]
pub enum GatewayError {
    /// An address cannot be listened on.
    Bind {
        /// The address.
        address: SocketAddr,
    },
    /// The system's keys cannot be used.
    Keys,
    /// The membership cannot start.
    Membership,
}

impl std::fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bind { address } => {
                write!(formatter, "cannot listen on {address}; is it local and free?")
            }
            Self::Keys => write!(formatter, "`system_keys` cannot be used; give at least one"),
            Self::Membership => {
                write!(formatter, "cannot speak to other VMs; is `link_address` local and free?")
            }
        }
    }
}

impl std::error::Error for GatewayError {}

/// A running VM that forwards.
pub struct Gateway {
    state: Arc<ForwardState>,
    membership: Arc<Membership>,
    callers: HttpServer,
    ready: HttpServer,
    directory: HttpServer,
    operators: OperatorServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Binds the VM's addresses and starts its parts; port 0 takes free ports.
    ///
    /// # Errors
    /// An address that is not local or in use, or keys that cannot be used.
    pub async fn bind(
        settings: GatewaySettings,
        store: Arc<dyn FeedStore>,
        format: Arc<dyn IngressFormat>,
        log: Arc<DecisionLog>,
    ) -> Result<Self, Report<GatewayError>> {
        let keyring =
            Arc::new(Keyring::new(&settings.system_keys).change_context(GatewayError::Keys)?);
        let own = Member {
            identity: VmIdentity { address: settings.link_address, incarnation: incarnation() },
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_address,
            state: MemberState::Live,
            configuration_version: 0,
        };
        let membership = Membership::bind_without_list(own, MembershipSettings::default(), keyring)
            .await
            .change_context(GatewayError::Membership)?;
        let membership = Arc::new(membership);
        let state = Arc::new(ForwardState::new(settings, format, membership.view(), log));
        let settings = &state.settings;
        let caller_address = settings.caller_address;
        let callers = HttpServer::bind_bounded(
            caller_address,
            caller_router(Arc::clone(&state)),
            caller_head_timeout(&state),
        )
        .await
        .change_context(GatewayError::Bind { address: caller_address })?;
        let ready = bind(settings.ready_address, ready_router(Arc::clone(&state))).await?;
        let directory =
            bind(settings.directory_address, directory_router(Arc::clone(&state))).await?;
        let operator_address = settings.operator_address;
        let service = Arc::new(GatewayOperators::new(Arc::clone(&state)));
        let operators = OperatorServer::bind(operator_address, service)
            .await
            .change_context(GatewayError::Bind { address: operator_address })?;
        membership.set_caller_address(callers.address());
        let tasks = vec![
            tokio::spawn(follow_routes(Arc::clone(&state), Arc::clone(&store))),
            tokio::spawn(follow_upstreams(Arc::clone(&state), Arc::clone(&store))),
            tokio::spawn(find_vms(Arc::clone(&state), store, Arc::clone(&membership))),
            tokio::spawn(exchange_news(Arc::clone(&state), Arc::clone(&membership))),
            tokio::spawn(follow_members(Arc::clone(&state), Arc::clone(&membership))),
        ];
        state.log.write(DecisionEvent::Started, || {
            json!({
                "version": env!("CARGO_PKG_VERSION"),
                "caller_address": callers.address(),
                "link_address": membership.address(),
                "data_centre": state.settings.data_centre,
            })
        });
        Ok(Self { state, membership, callers, ready, directory, operators, tasks })
    }

    /// Returns the address for callers' requests.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address that answers which addresses callers may use.
    pub fn directory_address(&self) -> SocketAddr {
        self.directory.address()
    }

    /// Returns the address that tells whether callers are served.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready.address()
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns once an operator has asked this VM to leave.
    pub async fn drain_asked(&self) {
        let mut asked = self.state.leave_asked.subscribe();
        // The sender lives as long as the VM.
        let _ = asked.wait_for(|asked| *asked).await;
    }

    /// Leaves: is no longer handed out, serves callers that still come, finishes what is in
    /// flight and stops before the process would be killed.
    pub async fn leave(self) {
        let started = Instant::now();
        let grace = Duration::from_secs(self.state.settings.stop_grace_s);
        let lifetime = Duration::from_secs(self.state.settings.address_lifetime_max_s);
        let in_flight = self.callers.in_flight();
        self.state.log.write(DecisionEvent::Stopping, || json!({ "in_flight": in_flight }));
        self.state.leaving.store(true, Ordering::Release);
        self.membership.leave();
        self.callers.retire();
        let mut leaving = Leaving::new(lifetime, started);
        leaving.begin(started);
        let accept_max = grace.mul_f64(ACCEPT_GRACE_SHARE);
        while leaving.advance(self.callers.in_flight(), Instant::now()).accepts()
            && started.elapsed() < accept_max
        {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        self.state.refuses.store(true, Ordering::Release);
        let end = grace.saturating_sub(STOP_MARGIN);
        while self.callers.in_flight() > 0 && started.elapsed() < end {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        let left = end.saturating_sub(started.elapsed()) + PROGRESS_INTERVAL;
        let cut = tokio::time::timeout(left, self.callers.shutdown()).await.is_err();
        self.membership.shut_down().await;
        for task in &self.tasks {
            task.abort();
        }
        let elapsed_ms = started.elapsed().as_millis() as u64;
        self.state.log.write(
            DecisionEvent::Stopped,
            || json!({ "elapsed_ms": elapsed_ms, "requests_cut": cut }),
        );
        // The log's thread writes what waits before the process ends.
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

/// Follows the limits of the routes in force; before the first, callers are only refused.
fn caller_head_timeout(state: &Arc<ForwardState>) -> HeadTimeout {
    let state = Arc::clone(state);
    Arc::new(move || {
        let limits = state.routes.borrow().as_ref().map(|table| table.document().limits);
        limits.map_or(NOT_SERVING_IDLE_MAX, |limits| limits.idle_timeout.max(limits.head_timeout))
    })
}

async fn bind(
    address: SocketAddr,
    router: axum::Router,
) -> Result<HttpServer, Report<GatewayError>> {
    HttpServer::bind(address, router).await.change_context(GatewayError::Bind { address })
}

/// Returns a number that grows with each start; milliseconds of Unix time do unless the clock was
/// set back in between, and then the others take the new process for a late word of the old one
/// until their suspicion of it ends.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
