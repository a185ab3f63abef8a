//! Budgets of bytes for datagrams that are not probes.

use std::time::Instant;

/// Refills at a constant rate up to a burst.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    refill_bytes_per_second: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Starts with a whole burst.
    pub(crate) fn new(refill_bytes_per_second: f64, burst_bytes: f64, now: Instant) -> Self {
        let available_bytes = burst_bytes;
        Self { refill_bytes_per_second, burst_bytes, available_bytes, refilled_at: now }
    }

    /// Spends `bytes` if the budget holds that many.
    pub(crate) fn spend(&mut self, bytes: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available_bytes + elapsed.as_secs_f64() * self.refill_bytes_per_second;
        self.available_bytes = refilled.min(self.burst_bytes);
        self.refilled_at = now;
        if self.available_bytes < bytes as f64 {
            return false;
        }
        self.available_bytes -= bytes as f64;
        true
    }
}
