//! A token bucket that limits the rate of calls.

use std::time::{Duration, Instant};

/// A full bucket holds as many tokens as the rate adds in this time, but at least one.
const BURST: Duration = Duration::from_millis(500);

/// A limit on the rate of calls, with bursts of up to as many calls as the rate allows in half a
/// second.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket for a rate of `per_second` calls per second.
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        Self { tokens: capacity(per_second), filled_at: now }
    }

    /// Takes one token, or returns the time until the next one.
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
