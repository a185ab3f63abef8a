//! Rate limits in bytes for the datagrams that are not probes.

use std::time::Instant;

/// A token bucket of bytes: refills at a constant rate up to the burst size.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    refill_bytes_per_second: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub(crate) fn new(refill_bytes_per_second: f64, burst_bytes: f64, now: Instant) -> Self {
        let available_bytes = burst_bytes;
        Self { refill_bytes_per_second, burst_bytes, available_bytes, refilled_at: now }
    }

    /// Deducts `bytes` if that many are available; returns whether it did.
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
