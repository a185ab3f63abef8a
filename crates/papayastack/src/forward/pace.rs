//! How soon a feed calls the store again.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::platform::PlatformError;

/// The first pause after a failed call.
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);
/// The longest pause after failed calls, short so that changes are read soon after an outage.
const BACKOFF_MAX: Duration = Duration::from_millis(1_200);
/// The longest pause after failed calls while this VM cannot serve requests without the store.
const BACKOFF_NOT_READY_MAX: Duration = Duration::from_millis(300);
/// The watches that may follow each other without a pause after a time without changes, at a VM that
/// reads the store for others.
pub(crate) const WATCH_BURST_FOR_OTHERS: u32 = 8;

/// Exponential back-off with jitter after failed calls.
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    pub(crate) fn new() -> Self {
        Self { failures: 0 }
    }

    /// Returns the pause after a failed call, at least the `retry_after` of the store.
    pub(crate) fn pause(&mut self, error: &PlatformError, is_ready: bool) -> Duration {
        let doubled = BACKOFF_INITIAL * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        let longest = if is_ready { BACKOFF_MAX } else { BACKOFF_NOT_READY_MAX };
        let pause = doubled.min(longest).mul_f64(rand::rng().random_range(0.7..1.0));
        match error {
            PlatformError::RateLimited { retry_after } => {
                pause.max(retry_after.mul_f64(rand::rng().random_range(1.0..1.5)))
            }
            _ => pause,
        }
    }

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Spreads the watches of one feed: the platform charges for each call, so that changes are gathered
/// while there are many, and a single one is learnt of at once.
#[derive(Debug)]
pub(crate) struct WatchPace {
    credits: f64,
    updated_at: Instant,
}

impl WatchPace {
    /// Starts with the credit for one watch.
    pub(crate) fn new(now: Instant) -> Self {
        Self { credits: 1.0, updated_at: now }
    }

    /// Takes the credit for one watch, one of which is earned each `interval` and `burst` may be saved;
    /// returns how long the watch has to wait for it.
    pub(crate) fn take(&mut self, interval: Duration, burst: u32, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let earned = elapsed.as_secs_f64() / interval.as_secs_f64();
        self.credits = (self.credits + earned).min(f64::from(burst)) - 1.0;
        self.updated_at = now;
        interval.mul_f64((-self.credits).max(0.0))
    }
}
