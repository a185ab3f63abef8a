//! The schedule of platform watches: one call per document at a time, and backoff with full jitter.

use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::Rng;

use crate::platform::PlatformError;

/// The least time between the starts of two calls for one document.
const CALL_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// Upper bound of the pause after the first failed call; it doubles with each further failure.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Upper bound of the pause after a call that found no object; half of it is the lower bound.
const NOT_FOUND_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the pause; beyond it only the configured maximum matters.
const DOUBLINGS_MAX: u32 = 16;

/// When to call the platform for one document.
#[value]
pub(crate) struct WatchSchedule {
    state: WatchState,
    called_at: Option<Instant>,
    failures: u32,
}

#[value]
enum WatchState {
    Paused { until: Instant },
    InFlight,
}

/// The outcome of a call, as far as the time of the next call depends on it.
#[value]
pub(crate) enum CallOutcome {
    /// The platform sent a newer version, or let the wait pass without one.
    Progress,
    /// The platform sent a version that is not newer, or ended the wait early without one.
    NoProgress,
    /// The call failed.
    Failed(PlatformError),
}

impl WatchSchedule {
    /// Schedules the first call after a random delay of at most `jitter_max`, so that VMs that
    /// start at the same time do not call at the same time.
    pub(crate) fn new(now: Instant, jitter_max: Duration, random: &mut impl Rng) -> Self {
        let until = now + jittered(jitter_max, random);
        Self { state: WatchState::Paused { until }, called_at: None, failures: 0 }
    }

    /// Returns when the next call is due; `None` while a call is in flight.
    pub(crate) fn due_at(&self) -> Option<Instant> {
        match self.state {
            WatchState::Paused { until } => Some(until),
            WatchState::InFlight => None,
        }
    }

    /// Notes that a call began.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.state = WatchState::InFlight;
        self.called_at = Some(now);
    }

    /// Returns the time since the last call was started; zero if there was none.
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        self.called_at.map_or(Duration::ZERO, |called_at| now.saturating_duration_since(called_at))
    }

    /// Schedules the next call after one that ended with `outcome`.
    pub(crate) fn finish(
        &mut self,
        outcome: &CallOutcome,
        now: Instant,
        backoff_max: Duration,
        random: &mut impl Rng,
    ) {
        let pause = match outcome {
            CallOutcome::Progress => {
                self.failures = 0;
                Duration::ZERO
            }
            CallOutcome::Failed(PlatformError::NotFound) => {
                self.failures = 0;
                NOT_FOUND_PAUSE_MAX / 2 + jittered(NOT_FOUND_PAUSE_MAX / 2, random)
            }
            CallOutcome::Failed(PlatformError::RateLimited { retry_after }) => {
                *retry_after + self.backoff(backoff_max, random)
            }
            CallOutcome::NoProgress | CallOutcome::Failed(_) => self.backoff(backoff_max, random),
        };
        let earliest = self.called_at.map_or(now, |called_at| called_at + CALL_INTERVAL_MIN);
        self.state = WatchState::Paused { until: earliest.max(now + pause) };
    }

    fn backoff(&mut self, backoff_max: Duration, random: &mut impl Rng) -> Duration {
        let bound = BACKOFF_FIRST * 2_u32.pow(self.failures.min(DOUBLINGS_MAX));
        self.failures = self.failures.saturating_add(1);
        jittered(bound.min(backoff_max), random)
    }
}

/// Returns a random time between zero and `bound`.
pub(crate) fn jittered(bound: Duration, random: &mut impl Rng) -> Duration {
    bound.mul_f64(random.random_range(0.0..=1.0))
}
