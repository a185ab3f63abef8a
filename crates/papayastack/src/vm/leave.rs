//! Stopping one VM without cutting a request.

use std::time::Duration;

use super::start::Vm;

/// The time that all VMs need to hear that this one leaves, so that none hands it out any more.
const SPREAD_MAX: Duration = Duration::from_secs(1);
/// The pause between two looks at the work that is left.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Vm {
    /// Returns once an operator has asked this VM to leave.
    pub async fn drain_asked(&self) {
        let mut leaving = self.shared.leaving.subscribe();
        // The sender lives as long as the VM.
        let _ = leaving.wait_for(|leaving| *leaving).await;
    }

    /// Leaves: is no longer handed out, accepts callers until the last address answer that named
    /// it has lapsed, finishes what is in flight and stops.
    pub async fn leave(self) {
        self.shared.leaving.send_replace(true);
        self.membership.leave();
        log::info!(target: "papaya::vm", "Leaving.");
        let lifetime = Duration::from_millis(self.shared.address_settings().lifetime_ms);
        tokio::time::sleep(lifetime + SPREAD_MAX).await;
        self.shutdown().await;
    }

    /// Finishes what is in flight and stops, without waiting for callers to go elsewhere.
    pub async fn shutdown(self) {
        self.membership.leave();
        self.callers.shutdown().await;
        self.shared.submissions.drained().await;
        while self.shared.counts().sub_requests_running + self.shared.counts().sub_requests_waiting
            > 0
        {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
        self.membership.end().await;
        self.shared.hub.close();
        for task in self.tasks {
            task.abort();
        }
        log::info!(target: "papaya::vm", "Left.");
    }
}
