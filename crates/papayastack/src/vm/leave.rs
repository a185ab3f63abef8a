//! Stopping one VM without cutting a request.

use std::time::{Duration, Instant};

use super::shared::lock;
use super::start::Vm;
use crate::addresses::LeavingPhase;

/// The pause between two looks at the work that is left.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);
/// How long outcomes of submissions may take to be recorded while the store fails.
const RECORD_WAIT: Duration = Duration::from_secs(30);

impl Vm {
    /// Returns once an operator has asked this VM to leave.
    pub async fn drain_requested(&self) {
        let mut asked = self.shared.leave_asked.subscribe();
        // The sender lives as long as the VM.
        let _ = asked.wait_for(|asked| *asked).await;
    }

    /// Leaves: is no longer handed out, accepts callers until the last address answer that named
    /// it has lapsed, finishes what is in flight and stops.
    pub async fn leave(self) {
        log::info!(target: "papaya::vm", "vm: Leaving.");
        self.shared.leave_asked.send_replace(true);
        self.membership.leave();
        lock(&self.shared.leaving).begin(Instant::now());
        // Callers move on by themselves, so that no request meets a connection that is closing.
        self.callers.retire();
        while self.advance().accepts() {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        self.shutdown().await;
    }

    /// Finishes what is in flight and stops, without waiting for callers to go elsewhere.
    pub async fn shutdown(self) {
        self.membership.leave();
        self.callers.shutdown().await;
        if !self.shared.submissions.wait_until_drained(RECORD_WAIT).await {
            log::warn!(target: "papaya::vm", "vm: Some outcomes of submissions are not recorded.");
        }
        while self.shared.counts().in_flight() > 0 {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        self.membership.shut_down().await;
        self.shared.hub.close();
        for task in self.tasks {
            task.abort();
        }
        log::info!(target: "papaya::vm", "vm: Left.");
    }

    fn advance(&self) -> LeavingPhase {
        lock(&self.shared.leaving).advance(self.shared.counts().in_flight(), Instant::now())
    }
}
