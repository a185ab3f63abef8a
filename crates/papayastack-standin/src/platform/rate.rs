//! A token bucket.

use std::time::{Duration, Instant};

const BURST: Duration = Duration::from_millis(500);

/// Lets calls through at a rate, with bursts of half a second's worth.
#[derive(Debug)]
pub(crate) struct RateLimit {
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    /// Starts with a full bucket for `per_second` calls.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        Self { tokens: capacity(per_second), filled_at: now }
    }

    /// Takes one token, or says when one will be there.
    pub(crate) fn take(&mut self, per_second: u32, now: Instant) -> Result<(), Duration> {
        let rate = f64::from(per_second.max(1));
        let gained = now.saturating_duration_since(self.filled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(capacity(per_second));
        self.filled_at = now;
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

fn capacity(per_second: u32) -> f64 {
    (f64::from(per_second) * BURST.as_secs_f64()).max(1.0)
}
