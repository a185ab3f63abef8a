//! Starting one VM.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use error_stack::{Report, ResultExt};
use papayastack_macros::value;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::directory_task::spawn_directory_task;
use super::dispatcher::UpstreamDispatcher;
use super::leaving_upstreams::spawn_leaving_upstreams_task;
use super::links::{spawn_configuration_sender, spawn_link_task};
use super::metered_platform::MeteredPlatform;
use super::pending::PendingQueries;
use super::prune::spawn_pruner;
use super::service::VmService;
use super::shared::{Decisions, Shared, VmCounts, lock};
use super::submit::PendingRelays;
use super::upstream_sender::UpstreamSender;
use crate::addresses::Leaving;
use crate::caller::CallerServer;
use crate::configuration::{ActiveConfiguration, ConfigurationDriver, ConfigurationHandle};
use crate::ids::{Incarnation, VmAddress};
use crate::link::LinkHub;
use crate::membership::{Member, MemberState, MemberView, Membership, VmIdentity};
use crate::observe::{IdSource, Metrics, Tracer};
use crate::operator::OperatorServer;
use crate::platform::Platform;
use crate::seal::{Keyring, KeyringError};
use crate::settings::{AddressSettings, LocalSettings, MembershipSettings, SubmissionSettings};
use crate::submission::{LedgerPruner, SubmissionCoordinator};
use crate::upstream::UpstreamClient;

/// The most idle connections that a VM keeps to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// The most configuration messages that may wait in each direction.
const CONFIGURATION_QUEUE_MAX: usize = 1_024;
/// The most ports tried to find one that is free for both links and datagrams.
const PORT_TRIES: u32 = 16;

/// Says why a VM could not start.
#[value]
pub enum VmError {
    /// The VM cannot listen on one of its addresses.
    Bind {
        /// The address that cannot be bound.
        address: SocketAddr,
    },
    /// The system's keys cannot be used.
    Keys(KeyringError),
}

impl std::fmt::Display for VmError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bind { address } => {
                write!(formatter, "cannot listen on {address}; is it local and free?")
            }
            Self::Keys(cause) => write!(formatter, "`system_keys` cannot be used: {cause}"),
        }
    }
}

impl std::error::Error for VmError {}

/// A running VM.
pub struct Vm {
    pub(crate) shared: Arc<Shared>,
    pub(crate) callers: CallerServer,
    pub(crate) operators: OperatorServer,
    pub(crate) membership: Arc<Membership>,
    pub(crate) configuration: ConfigurationHandle,
    pub(crate) tasks: Vec<JoinHandle<()>>,
    _pruner: LedgerPruner,
}

impl Vm {
    /// Binds the VM's addresses and starts its parts; port 0 takes free ports.
    ///
    /// # Errors
    /// An address is not local or is in use, or the keys cannot be used.
    pub async fn bind(
        mut local: LocalSettings,
        platform: Arc<dyn Platform>,
    ) -> Result<Self, Report<VmError>> {
        let keyring = Keyring::new(&local.system_keys).map_err(VmError::Keys)?;
        let keyring = Arc::new(keyring);
        let metrics = Metrics::new();
        let platform: Arc<dyn Platform> =
            Arc::new(MeteredPlatform::new(platform, Arc::clone(&metrics)));
        let (listener, membership, identity) =
            bind_link_address(&local, Arc::clone(&platform), Arc::clone(&keyring)).await?;
        local.link_address = identity.address;
        let members = membership.view();
        let (hub, events) = LinkHub::bind(listener, identity.clone(), keyring);
        let (outbound, outbound_messages) = mpsc::channel(CONFIGURATION_QUEUE_MAX);
        let (configuration_inbound, inbound_messages) = mpsc::channel(CONFIGURATION_QUEUE_MAX);
        let configuration = ConfigurationDriver::spawn(
            Arc::clone(&platform),
            identity.address,
            local.site.clone(),
            members.clone(),
            outbound,
            inbound_messages,
        );
        let in_force = configuration.in_force.clone();
        let (directory, directory_task) = spawn_directory_task(in_force.clone(), members.clone());
        let pending = Arc::new(PendingQueries::default());
        let client = UpstreamClient::open(IDLE_CONNECTIONS_MAX);
        let tracer = Arc::new(Tracer::open(IdSource::open(), 0));
        let dispatcher = UpstreamDispatcher::open(
            client.clone(),
            hub.clone(),
            Arc::clone(&pending),
            directory.clone(),
            Arc::clone(&metrics),
            Arc::clone(&tracer),
            identity.address,
        );
        let sender = Arc::new(UpstreamSender::new(client, dispatcher.clone(), directory.clone()));
        let lifetime = Duration::from_millis(AddressSettings::default().lifetime_ms);
        let shared = Arc::new(Shared {
            dispatcher,
            submissions: SubmissionCoordinator::spawn(
                Arc::clone(&platform),
                SubmissionSettings::default(),
                sender,
            ),
            decisions: Mutex::new(Decisions::new(identity.incarnation)),
            relays: PendingRelays::default(),
            tracer,
            drain_requested: watch::Sender::new(false),
            leaving: Mutex::new(Leaving::new(lifetime, Instant::now())),
            local: local.clone(),
            address: identity.address,
            identity,
            in_force,
            members,
            directory,
            hub: hub.clone(),
            pending,
            configuration_status: configuration.status.clone(),
            configuration_inbound,
            metrics,
        });
        let service = Arc::new(VmService::new(Arc::clone(&shared)));
        let (callers, operators) = bind_servers(&local, &service).await?;
        membership.set_caller_address(callers.address());
        membership.set_seeds(local.peer_addresses.clone());
        let tasks = vec![
            directory_task,
            spawn_link_task(Arc::clone(&shared), events),
            spawn_leaving_upstreams_task(Arc::clone(&shared), membership.platform_vms()),
            spawn_configuration_sender(hub, outbound_messages),
        ];
        let membership = Arc::new(membership);
        let pruner = spawn_pruner(platform, Arc::clone(&shared));
        let vm =
            Self { shared, callers, operators, membership, configuration, tasks, _pruner: pruner };
        Ok(vm.with_configuration_task())
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address for links and datagrams.
    pub fn link_address(&self) -> VmAddress {
        self.shared.address
    }

    /// Returns a receiver of the members as this VM sees them.
    pub fn members(&self) -> watch::Receiver<Arc<MemberView>> {
        self.shared.members.clone()
    }

    /// Returns a receiver of the configuration in force on this VM; `None` before the first.
    pub fn in_force(&self) -> watch::Receiver<Option<Arc<ActiveConfiguration>>> {
        self.shared.in_force.clone()
    }

    /// Returns how much work the VM holds.
    pub fn counts(&self) -> VmCounts {
        self.shared.counts()
    }

    /// Starts the task that applies each configuration in force to the VM's parts.
    fn with_configuration_task(mut self) -> Self {
        let mut in_force = self.configuration.in_force.clone();
        let shared = Arc::clone(&self.shared);
        let membership = Arc::clone(&self.membership);
        self.tasks.push(tokio::spawn(async move {
            loop {
                let current = in_force.borrow_and_update().clone();
                if let Some(current) = current {
                    membership.configure(&current.settings);
                    membership.set_configuration_version(current.configuration_version);
                    lock(&shared.leaving).set_lifetime(shared.address_lifetime(), Instant::now());
                    shared.submissions.configure(current.settings.submissions.clone());
                }
                if in_force.changed().await.is_err() {
                    return;
                }
            }
        }));
        self
    }
}

async fn bind_servers(
    local: &LocalSettings,
    service: &Arc<VmService>,
) -> Result<(CallerServer, OperatorServer), Report<VmError>> {
    let callers = CallerServer::bind(local.caller_address, Arc::clone(service) as _)
        .await
        .change_context(VmError::Bind { address: local.caller_address })?;
    let operators = OperatorServer::bind(local.operator_address, Arc::clone(service) as _)
        .await
        .change_context(VmError::Bind { address: local.operator_address })?;
    Ok((callers, operators))
}

/// Binds the same port number for links (TCP) and for datagrams (UDP).
async fn bind_link_address(
    local: &LocalSettings,
    platform: Arc<dyn Platform>,
    keyring: Arc<Keyring>,
) -> Result<(TcpListener, Membership, VmIdentity), Report<VmError>> {
    let error = VmError::Bind { address: local.link_address };
    let mut tries = if local.link_address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        let listener = TcpListener::bind(local.link_address).await.change_context(error.clone())?;
        let address = listener.local_addr().change_context(error.clone())?;
        let own = own_member(local, address);
        let identity = own.identity.clone();
        let settings = MembershipSettings::default();
        let bound =
            Membership::bind(own, settings, Arc::clone(&platform), Arc::clone(&keyring)).await;
        tries -= 1;
        match bound {
            Ok(membership) => return Ok((listener, membership, identity)),
            Err(report) if tries == 0 => return Err(report.change_context(error)),
            Err(_) => {}
        }
    }
}

fn own_member(local: &LocalSettings, address: VmAddress) -> Member {
    Member {
        identity: VmIdentity { address, incarnation: incarnation_now() },
        data_centre: local.data_centre.clone(),
        caller_address: local.caller_address,
        state: MemberState::Live,
        configuration_version: 0,
    }
}

/// Returns an incarnation above that of any earlier process at the same address.
fn incarnation_now() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
