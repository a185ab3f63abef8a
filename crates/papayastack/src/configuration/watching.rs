//! When to call the platform: one waiting watch per document, backoff with full jitter.

use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::Rng;

use crate::platform::PlatformError;

/// The least time between the starts of two calls for one document.
const CALL_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// The upper bound of the first pause after a failed call.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// The upper bound of the pause after a call that found no object.
const ABSENT_PAUSE: Duration = Duration::from_secs(1);
/// Doublings of the pause after which the bound alone decides.
const DOUBLINGS_MAX: u32 = 16;

/// The calls for one document.
#[value]
pub(crate) struct Watch {
    state: WatchState,
    called_at: Option<Instant>,
    failures: u32,
}

#[value]
enum WatchState {
    Paused { until: Instant },
    Waiting,
}

/// How a call ended, as far as the next call depends on it.
#[value]
pub(crate) enum CallEnd {
    /// A newer version came, or the wait passed without one.
    Useful,
    /// The platform answered with something that is not newer, or at once with nothing.
    Useless,
    /// The call failed.
    Failed(PlatformError),
}

impl Watch {
    /// Plans the first call within `spread`, so that VMs that start together do not call together.
    pub(crate) fn new(now: Instant, spread: Duration, random: &mut impl Rng) -> Self {
        let until = now + jittered(spread, random);
        Self { state: WatchState::Paused { until }, called_at: None, failures: 0 }
    }

    /// Returns when the next call is due; `None` while one is waiting.
    pub(crate) fn due_at(&self) -> Option<Instant> {
        match self.state {
            WatchState::Paused { until } => Some(until),
            WatchState::Waiting => None,
        }
    }

    /// Notes that a call began.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.state = WatchState::Waiting;
        self.called_at = Some(now);
    }

    /// Returns how long the call that is waiting has taken.
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        self.called_at.map_or(Duration::ZERO, |called_at| now.saturating_duration_since(called_at))
    }

    /// Plans the next call after one that ended as `end`.
    pub(crate) fn end(
        &mut self,
        end: &CallEnd,
        now: Instant,
        backoff_max: Duration,
        random: &mut impl Rng,
    ) {
        let pause = match end {
            CallEnd::Useful => {
                self.failures = 0;
                Duration::ZERO
            }
            CallEnd::Failed(PlatformError::NotFound) => {
                self.failures = 0;
                ABSENT_PAUSE / 2 + jittered(ABSENT_PAUSE / 2, random)
            }
            CallEnd::Failed(PlatformError::RateLimited { retry_after }) => {
                *retry_after + self.backoff(backoff_max, random)
            }
            CallEnd::Useless | CallEnd::Failed(_) => self.backoff(backoff_max, random),
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

/// Returns a time between zero and `bound`.
pub(crate) fn jittered(bound: Duration, random: &mut impl Rng) -> Duration {
    bound.mul_f64(random.random_range(0.0..=1.0))
}
