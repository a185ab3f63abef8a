//! Runs a VM on a Tokio runtime of its own, so that it can be killed and its CPU time measured.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use papayastack::{ListedState, ListedVm, LocalSettings, Vm};
use papayastack_platform::PlatformStore;
use tokio::runtime::{Builder, Runtime};

use crate::resources::ThreadGroup;

const SYSTEM_KEY: &str = "papaya-load: one key for one run";

/// A VM that runs in this process.
pub(crate) struct VmHost {
    runtime: Option<Runtime>,
    vm: Option<Vm>,
    threads: ThreadGroup,
    cpu_time_at_end: Duration,
    list_entry: ListedVm,
    caller_address: SocketAddr,
}

impl VmHost {
    /// Starts a VM in `data_centre` on `threads` worker threads.
    ///
    /// # Errors
    /// The runtime or the VM does not start.
    pub(crate) async fn spawn(
        data_centre: &str,
        platform: SocketAddr,
        threads: usize,
    ) -> Result<Self, String> {
        let group = ThreadGroup::default();
        let thread_group = group.clone();
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .on_thread_start(move || thread_group.add_current_thread())
            .build()
            .map_err(|error| format!("cannot start a runtime: {error}"))?;
        let platform_client = Arc::new(PlatformStore::open(vec![platform]));
        let local = LocalSettings::on_loopback(data_centre, platform, SYSTEM_KEY);
        let vm = runtime
            .spawn(Vm::bind(local, platform_client))
            .await
            .map_err(|error| format!("the start-up task of a VM failed: {error}"))?
            .map_err(|error| format!("cannot start a VM: {error}"))?;
        let list_entry = ListedVm {
            address: vm.link_address(),
            data_centre: data_centre.to_owned(),
            entry_vm: true,
            state: ListedState::Live,
        };
        let caller_address = vm.caller_address();
        Ok(Self {
            runtime: Some(runtime),
            vm: Some(vm),
            threads: group,
            cpu_time_at_end: Duration::ZERO,
            list_entry,
            caller_address,
        })
    }

    /// Returns the entry of the VM for the platform's VM list.
    pub(crate) fn list_entry(&self) -> &ListedVm {
        &self.list_entry
    }

    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the CPU time that the VM's threads have used, up to its end if it has ended.
    pub(crate) fn cpu_time(&self) -> Duration {
        match &self.runtime {
            Some(_) => self.threads.cpu_time(),
            None => self.cpu_time_at_end,
        }
    }

    /// Ends the VM at once: drops its tasks and connections without notifying other VMs or callers.
    pub(crate) fn kill(&mut self) {
        self.cpu_time_at_end = self.cpu_time();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        self.vm = None;
    }

    /// Shuts the VM down gracefully.
    pub(crate) async fn stop(&mut self) {
        if let (Some(runtime), Some(vm)) = (&self.runtime, self.vm.take()) {
            // An error means that the shutdown panicked; `kill` below ends the VM in any case.
            let _ = runtime.spawn(vm.shutdown()).await;
        }
        self.kill();
    }
}

impl Drop for VmHost {
    fn drop(&mut self) {
        self.kill();
    }
}
