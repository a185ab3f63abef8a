//! A budget of bytes for datagrams that are not probes.

use std::time::Instant;

const REFILL_BYTES_PER_SECOND: f64 = 4_000.0;
const BURST_BYTES: f64 = 32_000.0;

/// Refills at a constant rate up to a burst.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    available_bytes: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Starts with a whole burst.
    pub(crate) fn new(now: Instant) -> Self {
        Self { available_bytes: BURST_BYTES, refilled_at: now }
    }

    /// Spends `bytes` if the budget holds that many.
    pub(crate) fn spend(&mut self, bytes: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available_bytes + elapsed.as_secs_f64() * REFILL_BYTES_PER_SECOND;
        self.available_bytes = refilled.min(BURST_BYTES);
        self.refilled_at = now;
        if self.available_bytes < bytes as f64 {
            return false;
        }
        self.available_bytes -= bytes as f64;
        true
    }
}
