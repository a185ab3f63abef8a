//! The task that runs the membership protocol of one VM on a datagram socket.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use papayastack_macros::value;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::ids::{DataCentreName, RegionName, VmAddress};
use crate::platform::{ListedVm, Platform};
use crate::seal::{DATAGRAM_MAX_BYTES, DatagramOpener, DatagramSealer, Keyring};
use crate::settings::{DataCentreSettings, MembershipSettings, Settings};

use super::protocol::{MEMBERSHIP_TICK, MembershipProtocol, Notice, ViewChange};
use super::{Member, MemberView, MembershipCounts, VmIdentity};

const LOG: &str = "papaya::membership";

/// The longest name of a data centre in bytes.
const DATA_CENTRE_MAX_BYTES: usize = 128;
/// The most notices that wait for the component that receives them; further ones are dropped.
const NOTICES_MAX: usize = 64;
/// The most datagrams that are handled before the next tick may run.
const DATAGRAMS_PER_BATCH: usize = 64;
/// The shortest time between two views that differ only in configuration versions.
const VERSION_CHANGE_PUBLISH_GAP_MIN: Duration = Duration::from_millis(20);
/// What each member adds to the shortest time between two views, since publishing copies the view;
/// five times as much for views that differ only in configuration versions.
const PUBLISH_GAP_PER_MEMBER: Duration = Duration::from_micros(20);
/// The shortest pause between two reads of the platform's list of VMs.
const LIST_PAUSE_MIN: Duration = Duration::from_secs(1);
/// The pause that each other member adds, so that the rate of reads by all VMs together does not
/// grow with their number.
const LIST_PAUSE_PER_MEMBER: Duration = Duration::from_millis(1_000);

/// The reason why membership could not start.
#[value]
pub enum MembershipError {
    /// The address cannot be bound.
    Bind {
        /// The address for links and datagrams.
        link_address: SocketAddr,
    },
    /// The name of the data centre does not fit into the protocol's messages.
    DataCentreName {
        /// Its length in bytes.
        length_bytes: usize,
    },
}

impl std::fmt::Display for MembershipError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bind { link_address } => write!(
                formatter,
                "`link_address` {link_address} cannot be bound for datagrams; \
                 it must be a single local address with a free UDP port"
            ),
            Self::DataCentreName { length_bytes } => write!(
                formatter,
                "`data_centre` has {length_bytes} bytes; at most {DATA_CENTRE_MAX_BYTES} fit"
            ),
        }
    }
}

impl std::error::Error for MembershipError {}

/// The handle to a running membership protocol; dropping it stops the protocol without notifying
/// the other members.
#[derive(Debug)]
pub struct Membership {
    address: VmAddress,
    view: watch::Receiver<Arc<MemberView>>,
    commands: mpsc::UnboundedSender<Command>,
    notices: Mutex<Option<mpsc::Receiver<Notice>>>,
    platform_vms: watch::Receiver<Arc<Vec<ListedVm>>>,
    counts: Arc<Mutex<MembershipCounts>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Membership {
    /// Binds the link address of `own` for datagrams and starts the protocol; port 0 takes a free
    /// port.
    ///
    /// Each data centre counts as a region of its own until [`Membership::configure`] is called.
    ///
    /// # Errors
    /// The address is not local, is unspecified or in use, or the data centre's name is too long.
    pub async fn bind(
        own: Member,
        settings: MembershipSettings,
        platform: Arc<dyn Platform>,
        keyring: Arc<Keyring>,
    ) -> Result<Self, Report<MembershipError>> {
        Self::bind_optional(own, settings, BTreeMap::new(), Some(platform), keyring).await
    }

    /// Binds like [`Self::bind`] with the `regions` of the data centres, without the platform's
    /// list: the only seeds are those of [`Self::set_seeds`].
    ///
    /// # Errors
    /// Those of [`Self::bind`].
    pub async fn bind_without_list(
        own: Member,
        settings: MembershipSettings,
        regions: BTreeMap<DataCentreName, RegionName>,
        keyring: Arc<Keyring>,
    ) -> Result<Self, Report<MembershipError>> {
        Self::bind_optional(own, settings, regions, None, keyring).await
    }

    async fn bind_optional(
        own: Member,
        settings: MembershipSettings,
        regions: BTreeMap<DataCentreName, RegionName>,
        platform: Option<Arc<dyn Platform>>,
        keyring: Arc<Keyring>,
    ) -> Result<Self, Report<MembershipError>> {
        let error = MembershipError::Bind { link_address: own.identity.address };
        if own.identity.address.ip().is_unspecified() {
            return Err(Report::new(error));
        }
        let length_bytes = own.data_centre.len();
        if length_bytes > DATA_CENTRE_MAX_BYTES {
            return Err(Report::new(MembershipError::DataCentreName { length_bytes }));
        }
        let socket =
            UdpSocket::bind(own.identity.address).await.change_context_lazy(|| error.clone())?;
        let address = socket.local_addr().change_context(error)?;
        let mut own = own;
        own.identity.address = address;
        let identity = own.identity.clone();
        let mut protocol =
            MembershipProtocol::new(own, settings.clone(), rand::rng().random(), Instant::now());
        protocol.configure(settings, regions);
        Ok(Self::spawn(socket, identity, protocol, platform, keyring))
    }

    /// Returns the address for links and datagrams.
    pub fn address(&self) -> VmAddress {
        self.address
    }

    /// Returns a receiver of the views of the members.
    pub fn view(&self) -> watch::Receiver<Arc<MemberView>> {
        self.view.clone()
    }

    /// Returns a receiver of the platform's list of VMs as last read by this VM.
    pub fn platform_vms(&self) -> watch::Receiver<Arc<Vec<ListedVm>>> {
        self.platform_vms.clone()
    }

    /// Applies the settings and the regions of a configuration that is in force.
    pub fn configure(&self, settings: &Settings) {
        let region = |(name, data_centre): (&DataCentreName, &DataCentreSettings)| {
            (name.clone(), data_centre.region.clone())
        };
        let regions = settings.data_centres.iter().map(region).collect();
        self.command(Command::Configure(settings.membership.clone(), regions));
    }

    /// Sets and gossips the configuration version in force on this VM.
    pub fn set_configuration_version(&self, version: u64) {
        self.command(Command::SetConfigurationVersion(version));
    }

    /// Sets the addresses that serve as seeds in addition to the platform's list.
    pub fn set_seeds(&self, seeds: Vec<VmAddress>) {
        self.command(Command::SetSeeds(seeds));
    }

    /// Sets and gossips the address where this VM serves callers.
    pub fn set_caller_address(&self, caller_address: SocketAddr) {
        self.command(Command::SetCallerAddress(caller_address));
    }

    /// Sends a notice to the members of the own region, once and without a delivery guarantee.
    pub fn broadcast(&self, body: Bytes) {
        self.command(Command::Broadcast(body));
    }

    /// Returns the receiver of other members' notices, or `None` after the first call.
    pub fn notices(&self) -> Option<mpsc::Receiver<Notice>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Marks this VM as leaving and gossips that it accepts no more work.
    pub fn leave(&self) {
        self.command(Command::Leave);
    }

    /// Announces that this VM ends now, and stops the protocol.
    pub async fn shut_down(&self) {
        let (done, ended) = oneshot::channel();
        self.command(Command::ShutDown(done));
        // An error means that the task has already ended.
        let _ = ended.await;
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> MembershipCounts {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn spawn(
        socket: UdpSocket,
        identity: VmIdentity,
        protocol: MembershipProtocol,
        platform: Option<Arc<dyn Platform>>,
        keyring: Arc<Keyring>,
    ) -> Self {
        let (view_sender, view) = watch::channel(Arc::new(protocol.view()));
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let (seed_sender, seeds) = mpsc::channel(1);
        let (notice_sender, notices) = mpsc::channel(NOTICES_MAX);
        let counts = Arc::new(Mutex::new(MembershipCounts::default()));
        let runner = Runner {
            socket,
            protocol,
            sealer: DatagramSealer::new(Arc::clone(&keyring), identity.clone()),
            opener: DatagramOpener::new(keyring, identity.address),
            view: view_sender,
            published_at: Instant::now(),
            pending_change: ViewChange::None,
            notices: notice_sender,
            extra_seeds: Vec::new(),
            traffic: MembershipCounts::default(),
            counts: Arc::clone(&counts),
        };
        let run = tokio::spawn(runner.run(command_receiver, seeds));
        let (platform_vms_sender, platform_vms) = watch::channel(Arc::default());
        let list = platform.map(|platform| {
            tokio::spawn(read_list(platform, seed_sender, platform_vms_sender, view.clone()))
        });
        let tasks = std::iter::once(run).chain(list).collect();
        let notices = Mutex::new(Some(notices));
        Self { address: identity.address, view, commands, notices, platform_vms, counts, tasks }
    }

    fn command(&self, command: Command) {
        // An error means that the task has ended, so there is nothing left to command.
        let _ = self.commands.send(command);
    }
}

impl Drop for Membership {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// A command from the handle to the task.
#[derive(Debug)]
enum Command {
    Configure(MembershipSettings, BTreeMap<DataCentreName, RegionName>),
    SetConfigurationVersion(u64),
    SetCallerAddress(SocketAddr),
    SetSeeds(Vec<VmAddress>),
    Broadcast(Bytes),
    Leave,
    ShutDown(oneshot::Sender<()>),
}

/// The state of the task that runs the protocol.
struct Runner {
    socket: UdpSocket,
    protocol: MembershipProtocol,
    sealer: DatagramSealer,
    opener: DatagramOpener,
    view: watch::Sender<Arc<MemberView>>,
    published_at: Instant,
    pending_change: ViewChange,
    notices: mpsc::Sender<Notice>,
    extra_seeds: Vec<VmAddress>,
    traffic: MembershipCounts,
    counts: Arc<Mutex<MembershipCounts>>,
}

impl Runner {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        mut seeds: mpsc::Receiver<Vec<VmAddress>>,
    ) {
        let mut ticks = interval(MEMBERSHIP_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // One byte more than the limit, so that a truncated datagram is still over the limit.
        let mut buffer = [0; DATAGRAM_MAX_BYTES + 1];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    self.on_received(received, &mut buffer);
                }
                _ = ticks.tick() => {
                    self.protocol.on_tick(Instant::now());
                    self.export_counts();
                }
                Some(listed) = seeds.recv() => {
                    let seeds = self.extra_seeds.iter().copied().chain(listed);
                    self.protocol.on_seeds(seeds, Instant::now());
                }
                command = commands.recv() => {
                    let Some(command) = command else { return };
                    if let Some(done) = self.on_command(command) {
                        self.send_outgoing().await;
                        // An error means that the handle has been dropped.
                        let _ = done.send(());
                        return;
                    }
                }
            }
            self.send_outgoing().await;
            self.publish();
        }
    }

    /// Handles a datagram and those that are queued after it, up to a whole batch.
    fn on_received(&mut self, first: std::io::Result<(usize, SocketAddr)>, buffer: &mut [u8]) {
        let mut received = first;
        for _ in 0..DATAGRAMS_PER_BATCH {
            let Ok((length, _)) = received else { return };
            self.on_datagram(&buffer[..length]);
            received = self.socket.try_recv_from(buffer);
        }
    }

    fn on_datagram(&mut self, datagram: &[u8]) {
        self.traffic.received += 1;
        self.traffic.received_bytes += datagram.len() as u64;
        let Ok(opened) = self.opener.open(datagram) else {
            self.traffic.dropped += 1;
            return;
        };
        let receiver_incarnation = opened.receiver_incarnation;
        let handled = self.protocol.on_datagram(
            &opened.sender,
            receiver_incarnation,
            opened.body,
            Instant::now(),
        );
        for notice in self.protocol.take_notices() {
            // Notices may have no receiver, and one that a slow receiver misses would be outdated.
            let _ = self.notices.try_send(notice);
        }
        if handled.is_err() {
            self.opener.count_malformed();
            self.traffic.dropped += 1;
        }
    }

    /// Executes a command; returns the channel to notify if the task is to end.
    fn on_command(&mut self, command: Command) -> Option<oneshot::Sender<()>> {
        match command {
            Command::Configure(settings, regions) => self.protocol.configure(settings, regions),
            Command::SetConfigurationVersion(version) => {
                self.protocol.set_configuration_version(version);
            }
            Command::SetCallerAddress(address) => self.protocol.set_caller_address(address),
            Command::SetSeeds(seeds) => {
                self.extra_seeds = seeds;
                self.protocol.on_seeds(self.extra_seeds.iter().copied(), Instant::now());
            }
            Command::Broadcast(body) => self.protocol.broadcast(&body, Instant::now()),
            Command::Leave => self.protocol.leave(),
            Command::ShutDown(done) => {
                self.protocol.shut_down(Instant::now());
                return Some(done);
            }
        }
        None
    }

    async fn send_outgoing(&mut self) {
        for outgoing in self.protocol.take_outgoing() {
            let sealed = self.sealer.seal(outgoing.receiver, outgoing.incarnation, &outgoing.body);
            let datagram = match sealed {
                Ok(datagram) => datagram,
                Err(error) => {
                    log::error!(
                        target: LOG,
                        "membership: Cannot seal a datagram to {}: {error}.", outgoing.receiver
                    );
                    continue;
                }
            };
            self.traffic.sent += 1;
            self.traffic.sent_bytes += datagram.len() as u64;
            // An unsent datagram is the same as a lost one, which the protocol tolerates.
            let _ = self.socket.send_to(&datagram, outgoing.receiver).await;
        }
    }

    /// Publishes the view if it changed; the more members, the longer the time between two views.
    fn publish(&mut self) {
        self.pending_change = self.pending_change.max(self.protocol.take_view_change());
        let members = u32::try_from(self.protocol.members_count()).unwrap_or(u32::MAX);
        let gap = match self.pending_change {
            ViewChange::None => return,
            ViewChange::Versions => {
                VERSION_CHANGE_PUBLISH_GAP_MIN + 5 * PUBLISH_GAP_PER_MEMBER * members
            }
            ViewChange::Members => PUBLISH_GAP_PER_MEMBER * members,
        };
        let now = Instant::now();
        if now.saturating_duration_since(self.published_at) < gap {
            return;
        }
        self.published_at = now;
        self.pending_change = ViewChange::None;
        let view = Arc::new(self.protocol.view());
        log_changes(&self.view.borrow(), &view);
        self.view.send_replace(view);
    }

    fn export_counts(&self) {
        let MembershipCounts { sent, sent_bytes, received, received_bytes, dropped, .. } =
            self.traffic;
        let protocol = self.protocol.counts();
        let merged =
            MembershipCounts { sent, sent_bytes, received, received_bytes, dropped, ..protocol };
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner) = merged;
    }
}

/// Reads the platform's list of VMs periodically; the pause grows with the number of members.
async fn read_list(
    platform: Arc<dyn Platform>,
    seeds: mpsc::Sender<Vec<VmAddress>>,
    published: watch::Sender<Arc<Vec<ListedVm>>>,
    view: watch::Receiver<Arc<MemberView>>,
) {
    let mut failures = 0;
    loop {
        match platform.vms().await {
            Ok(listed) => {
                failures = 0;
                let entry_vms = listed.iter().filter(|vm| vm.entry_vm);
                let addresses = entry_vms.map(|vm| vm.address).collect();
                published.send_replace(Arc::new(listed));
                if seeds.send(addresses).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                failures += 1;
                log::warn!(
                    target: LOG,
                    "membership: Cannot read the platform's list of VMs, {failures} times in a \
                     row: {error}; the last list stays in use."
                );
            }
        }
        let others = u32::try_from(view.borrow().members.len() - 1).unwrap_or(u32::MAX);
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(list_pause(others, failures, jitter)).await;
    }
}

/// Returns the pause before the next read of the list: it grows with the number of other members
/// and, before `jitter`, is at least [`LIST_PAUSE_MIN`] doubled for each failure in a row, up to 64
/// times.
fn list_pause(others: u32, failures: u32, jitter: f64) -> Duration {
    let pause = LIST_PAUSE_MIN + LIST_PAUSE_PER_MEMBER * others;
    let doubled = LIST_PAUSE_MIN * 2_u32.saturating_pow(failures.min(6));
    pause.max(doubled).mul_f64(jitter)
}

fn log_changes(before: &MemberView, after: &MemberView) {
    for (address, member) in &after.members {
        if before.members.get(address).is_none_or(|known| known.identity != member.identity) {
            log::info!(target: LOG, "membership: {address} is a member.");
        }
    }
    for address in before.members.keys().filter(|address| !after.members.contains_key(*address)) {
        log::info!(target: LOG, "membership: {address} is no longer a member.");
    }
    for region in after.unreachable_regions.difference(&before.unreachable_regions) {
        log::warn!(
            target: LOG,
            "membership: Region {region} does not answer; its members are kept as last known."
        );
    }
}
