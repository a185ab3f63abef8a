//! Starting and stopping one VM.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use error_stack::{Report, ResultExt};
use papayastack_macros::value;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::desk::UpstreamDesk;
use super::directory_task::spawn_directory_task;
use super::entry::answer_query;
use super::follow::spawn_follow_task;
use super::links::spawn_link_task;
use super::pending::PendingQueries;
use super::shared::{Decisions, Shared, VmCounts};
use crate::caller::{
    AddressesAnswer, CallerServer, CallerService, QueryAnswer, QueryRequest, RefusalAnswer,
    RequestContext, SubmissionAnswer, SubmissionRequest,
};
use crate::ids::{DataCentreName, Incarnation, VmAddress};
use crate::link::LinkHub;
use crate::membership::{Member, MemberState, VmIdentity};
use crate::outcome::{Custody, RefusalReason};
use crate::platform::Platform;
use crate::seal::Keyring;
use crate::settings::{LimitSettings, LocalSettings};
use crate::upstream::UpstreamClient;

/// Idle connections that a VM keeps to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Says why a VM could not start.
#[value]
pub enum VmError {
    /// An address cannot be listened on.
    Bind {
        /// The address.
        address: SocketAddr,
    },
    /// The system's keys cannot be used.
    Keys,
}

impl std::fmt::Display for VmError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bind { address } => {
                write!(formatter, "cannot listen on {address}; is it local and free?")
            }
            Self::Keys => write!(formatter, "`system_keys` cannot be used"),
        }
    }
}

impl std::error::Error for VmError {}

/// A running VM.
pub struct Vm {
    shared: Arc<Shared>,
    callers: CallerServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Vm {
    /// Binds the VM's addresses and starts its parts; port 0 takes free ports.
    ///
    /// # Errors
    /// An address that is not local or in use.
    pub async fn bind(
        local: LocalSettings,
        platform: Arc<dyn Platform>,
    ) -> Result<Self, Report<VmError>> {
        let keyring = Keyring::new(&local.system_keys).change_context(VmError::Keys)?;
        let failed = |address| VmError::Bind { address };
        let link_error = failed(local.link_address);
        let listener =
            TcpListener::bind(local.link_address).await.change_context(link_error.clone())?;
        let address = listener.local_addr().change_context(link_error)?;
        let own = own_member(&local, address);
        let identity = own.identity.clone();
        let follow = spawn_follow_task(platform, local.clone(), own);
        let (in_force, members) = (follow.in_force, follow.members);
        let (directory, resolve) = spawn_directory_task(in_force.clone(), members.clone());
        let (hub, events) = LinkHub::bind(listener, identity, Arc::new(keyring));
        let pending = Arc::new(PendingQueries::default());
        let client = UpstreamClient::open(IDLE_CONNECTIONS_MAX);
        let desk = UpstreamDesk::open(client, hub.clone(), Arc::clone(&pending), directory.clone());
        let decisions = Mutex::new(Decisions::new(incarnation_now()));
        let shared = Arc::new(Shared {
            address,
            in_force,
            members,
            directory,
            hub,
            desk,
            pending,
            decisions,
        });
        let links = spawn_link_task(Arc::clone(&shared), events);
        let service = Arc::new(VmService { shared: Arc::clone(&shared) });
        let callers = CallerServer::bind(local.caller_address, service)
            .await
            .change_context(failed(local.caller_address))?;
        Ok(Self { shared, callers, tasks: vec![follow.task, resolve, links] })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for links and datagrams.
    pub fn link_address(&self) -> VmAddress {
        self.shared.address
    }

    /// Returns how much work the VM holds.
    pub fn counts(&self) -> VmCounts {
        self.shared.counts()
    }

    /// Finishes the requests in flight and stops.
    pub async fn shutdown(self) {
        self.callers.shutdown().await;
        self.shared.hub.close();
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Answers callers on behalf of the VM.
struct VmService {
    shared: Arc<Shared>,
}

#[async_trait]
impl CallerService for VmService {
    async fn query(
        &self,
        request: QueryRequest,
        context: RequestContext,
    ) -> Result<QueryAnswer, RefusalAnswer> {
        answer_query(&self.shared, request, context).await
    }

    async fn submit(
        &self,
        _request: SubmissionRequest,
        context: RequestContext,
    ) -> Result<SubmissionAnswer, RefusalAnswer> {
        let refusal = Custody::new().refuse(
            RefusalReason::NotReady,
            "this VM does not take submissions",
            Some(Duration::from_secs(1)),
        );
        Err(RefusalAnswer { request_id: context.request_id, refusal })
    }

    async fn addresses(
        &self,
        _data_centre: Option<DataCentreName>,
    ) -> Result<AddressesAnswer, RefusalAnswer> {
        let view = Arc::clone(&self.shared.members.borrow());
        let lifetime_ms = self
            .shared
            .in_force
            .borrow()
            .as_ref()
            .map_or(1_000, |current| current.settings.addresses.lifetime_ms);
        Ok(AddressesAnswer {
            addresses: view.live().map(|member| member.caller_address).collect(),
            data_centres: view.live().map(|member| member.data_centre.clone()).collect(),
            lifetime_ms,
        })
    }

    fn limits(&self) -> LimitSettings {
        let in_force = self.shared.in_force.borrow().clone();
        in_force.map(|current| current.settings.limits.clone()).unwrap_or_default()
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
