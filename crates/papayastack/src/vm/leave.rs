//! Graceful shutdown of one VM.

use std::time::{Duration, Instant};

use super::shared::lock;
use super::start::Vm;
use crate::addresses::LeavingPhase;

/// Interval at which the remaining work is polled.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time that a shutdown waits for the outcomes of submissions to be recorded; bounds
/// the wait during an outage of the store.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

impl Vm {
    /// Returns once an operator has requested a drain.
    pub async fn drain_requested(&self) {
        let mut requested = self.shared.drain_requested.subscribe();
        // The wait cannot fail: the sender lives as long as the VM.
        let _ = requested.wait_for(|requested| *requested).await;
    }

    /// Leaves gracefully: stops being listed to callers, accepts requests until the last address
    /// answer that lists it has expired, finishes what is in flight and stops.
    pub async fn leave(self) {
        log::info!(
            target: "papaya::vm",
            "vm: Leaving, but accepting callers until their address answers have expired."
        );
        self.shared.drain_requested.send_replace(true);
        self.membership.leave();
        lock(&self.shared.leaving).begin(Instant::now());
        // Each connection closes with its next response, so that callers reconnect elsewhere and no
        // request is sent on a connection that is closing.
        self.callers.retire();
        while self.advance().accepts() {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        self.shutdown().await;
    }

    /// Finishes what is in flight and stops, without waiting until address answers have expired.
    pub async fn shutdown(self) {
        self.membership.leave();
        self.callers.shutdown().await;
        if !self.shared.submissions.wait_until_drained(RECORD_TIMEOUT).await {
            log::warn!(
                target: "papaya::vm",
                "vm: Some submission outcomes were not recorded within {RECORD_TIMEOUT:?}."
            );
        }
        while self.shared.counts().in_flight() > 0 {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        self.membership.shut_down().await;
        self.shared.hub.close();
        for task in self.tasks {
            task.abort();
        }
        log::info!(target: "papaya::vm", "vm: Stopped.");
    }

    fn advance(&self) -> LeavingPhase {
        lock(&self.shared.leaving).advance(self.shared.counts().in_flight(), Instant::now())
    }
}
