//! Runs a [`ConfigurationMachine`] against the platform and the peers.

use std::sync::Arc;
use std::time::Duration;

use papayastack_macros::value;
use rand::RngCore;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use super::bundle::ActiveConfiguration;
use super::machine::{ConfigurationCounters, ConfigurationMachine, ConfigurationOutput};
use super::message::ConfigurationMessage;
use super::store::RefusedDocument;
use crate::ids::{SiteName, VmAddress};
use crate::membership::MemberView;
use crate::platform::{Object, ObjectName, ObjectVersion, Platform, PlatformError};

/// How long after the end of its wait a watch may still be answered before its answer counts as
/// lost.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// What a VM reports about its configuration.
#[value]
#[derive(Default)]
pub struct ConfigurationStatus {
    /// The refused versions that are newer than the adopted ones.
    pub refused: Vec<RefusedDocument>,
    /// The counters of the VM's configuration.
    pub counters: ConfigurationCounters,
}

/// Runs a [`ConfigurationMachine`] against the platform and the peers.
#[derive(Debug)]
pub struct ConfigurationDriver;

/// A handle to a running driver, which stops when the handle is dropped.
#[derive(Debug)]
pub struct ConfigurationHandle {
    /// The configuration in force; `None` before the first bundle is adopted.
    pub in_force: watch::Receiver<Option<Arc<ActiveConfiguration>>>,
    /// What the VM reports about its configuration.
    pub status: watch::Receiver<ConfigurationStatus>,
    task: JoinHandle<()>,
}

impl Drop for ConfigurationHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConfigurationDriver {
    /// Spawns the driver of a VM of `site`, which peers address as `own_address`.
    ///
    /// Messages to peers go to `outbound`, and messages from peers arrive on `inbound`. If
    /// `outbound` is full, a message is dropped; a later digest repairs the loss.
    pub fn spawn(
        platform: Arc<dyn Platform>,
        own_address: VmAddress,
        site: SiteName,
        members: watch::Receiver<Arc<MemberView>>,
        outbound: mpsc::Sender<(VmAddress, ConfigurationMessage)>,
        inbound: mpsc::Receiver<(VmAddress, ConfigurationMessage)>,
    ) -> ConfigurationHandle {
        let seed = rand::rng().next_u64();
        let now = Instant::now().into_std();
        let machine = ConfigurationMachine::open(own_address, site, seed, now);
        let (in_force_sender, in_force) = watch::channel(None);
        let (status_sender, status) = watch::channel(ConfigurationStatus::default());
        let driver_task = DriverTask {
            machine,
            platform,
            outbound,
            in_force: in_force_sender,
            status: status_sender,
            calls: JoinSet::new(),
        };
        let task = tokio::spawn(driver_task.run(members, inbound));
        ConfigurationHandle { in_force, status, task }
    }
}

struct DriverTask {
    machine: ConfigurationMachine,
    platform: Arc<dyn Platform>,
    outbound: mpsc::Sender<(VmAddress, ConfigurationMessage)>,
    in_force: watch::Sender<Option<Arc<ActiveConfiguration>>>,
    status: watch::Sender<ConfigurationStatus>,
    calls: JoinSet<(ObjectName, Result<Option<Object>, PlatformError>)>,
}

impl DriverTask {
    async fn run(
        mut self,
        mut members: watch::Receiver<Arc<MemberView>>,
        mut inbound: mpsc::Receiver<(VmAddress, ConfigurationMessage)>,
    ) {
        let view = members.borrow_and_update().clone();
        let outputs = self.machine.on_members(view, now());
        self.perform(outputs);
        loop {
            let tick_at = Instant::from_std(self.machine.next_tick_at());
            let outputs = tokio::select! {
                changed = members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let view = members.borrow_and_update().clone();
                    self.machine.on_members(view, now())
                }
                received = inbound.recv() => {
                    let Some((from, message)) = received else { return };
                    self.machine.on_message(from, message, now())
                }
                Some(answered) = self.calls.join_next() => self.on_answer(answered),
                () = tokio::time::sleep_until(tick_at) => self.machine.on_tick(now()),
            };
            self.perform(outputs);
        }
    }

    fn on_answer(
        &mut self,
        answered: Result<
            (ObjectName, Result<Option<Object>, PlatformError>),
            tokio::task::JoinError,
        >,
    ) -> Vec<ConfigurationOutput> {
        match answered {
            Ok((name, answer)) => self.machine.on_platform(&name, answer, now()),
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }

    fn perform(&mut self, outputs: Vec<ConfigurationOutput>) {
        for output in outputs {
            match output {
                ConfigurationOutput::Send { to, message } => {
                    let _ = self.outbound.try_send((to, message));
                }
                ConfigurationOutput::Watch { name, after, wait } => self.watch(name, after, wait),
                ConfigurationOutput::PutInForce(in_force) => {
                    log::info!(
                        "configuration: Version {} is in force with {} catalogues.",
                        in_force.configuration_version,
                        in_force.catalogues.len()
                    );
                    self.in_force.send_replace(Some(in_force));
                }
            }
        }
        self.publish_status();
    }

    fn watch(&mut self, name: ObjectName, after: ObjectVersion, wait: Duration) {
        let platform = Arc::clone(&self.platform);
        self.calls.spawn(async move {
            let call = platform.watch(&name, after, wait);
            let answer = tokio::time::timeout(wait + ANSWER_GRACE, call).await;
            (name, answer.unwrap_or(Err(PlatformError::AnswerLost)))
        });
    }

    fn publish_status(&self) {
        let refused = self.machine.refused();
        let counters = self.machine.counters();
        let status = ConfigurationStatus { refused, counters };
        self.status.send_if_modified(|previous| {
            for refused in
                status.refused.iter().filter(|refused| !previous.refused.contains(refused))
            {
                let faults: Vec<String> = refused.faults.iter().map(ToString::to_string).collect();
                log::warn!(
                    "configuration: Version {} of {} is refused: {}.",
                    refused.version,
                    refused.name.name,
                    faults.join(" | ")
                );
            }
            let modified = *previous != status;
            *previous = status;
            modified
        });
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}
