//! What the feeds of one VM know together about the store: whether a call failed recently, and which
//! of them may test whether it answers again.

use std::time::{Duration, Instant};

use papayastack_macros::value;
use tokio::sync::{Mutex, watch};
use tokio::time::{sleep, timeout};

/// How long a feed waits for another feed's call to be answered before it retries on its own; a
/// call that hangs times out after about that time.
const OTHER_FEED_WAIT_MAX: Duration = Duration::from_millis(2_500);
/// How long after a failed call the store counts as unsettled.
const UNSETTLED_FOR: Duration = Duration::from_secs(5);
/// How long one watch waits at a settled store.
const WATCH_WAIT: Duration = Duration::from_secs(30);
/// How long one watch waits at an unsettled store: a watch that gets no answer cannot be told from
/// one without changes until its wait is over.
const WATCH_WAIT_UNSETTLED: Duration = Duration::from_secs(1);

/// What a VM's calls show of the store.
#[value]
#[derive(Copy)]
pub(crate) struct StoreSigns {
    /// The time since the store last answered a call.
    pub(crate) silent: Duration,
    /// The time since a call last failed.
    pub(crate) failed: Option<Duration>,
    /// Whether no call was answered since then.
    pub(crate) is_failing: bool,
}

/// When the store answered and failed last. Lets one of several feeds test whether it answers again
/// while the others wait, because the platform charges for every call, including refused ones.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    retrying: Mutex<()>,
    /// When a call was answered last.
    answered_at: watch::Sender<Option<Instant>>,
    /// When a call failed last.
    failed_at: watch::Sender<Option<Instant>>,
}

impl StoreHealth {
    pub(crate) fn new() -> Self {
        Self {
            retrying: Mutex::new(()),
            answered_at: watch::Sender::new(None),
            failed_at: watch::Sender::new(None),
        }
    }

    /// Returns when a feed whose call failed at `failed_at` may call again: the first feed after
    /// `pause`, the others once a call of any feed was answered after that failure.
    pub(crate) async fn wait(&self, pause: Duration, failed_at: Instant) {
        match self.retrying.try_lock() {
            Ok(_guard) => sleep(pause).await,
            Err(_) => {
                let mut answered_at = self.answered_at.subscribe();
                let answered = answered_at.wait_for(|at| at.is_some_and(|at| at >= failed_at));
                // After the time-out this feed tests the store with its own call.
                drop(timeout(OTHER_FEED_WAIT_MAX, answered).await);
            }
        }
    }

    /// Records that the store answered a call.
    pub(crate) fn call_answered(&self, now: Instant) {
        self.answered_at.send_replace(Some(now));
    }

    /// Records that a call failed.
    pub(crate) fn call_failed(&self, now: Instant) {
        self.failed_at.send_replace(Some(now));
    }

    /// Returns how long a watch that starts at `now` may wait at the store: not at all while the
    /// last call of a feed failed, shortly at a store that is unsettled.
    pub(crate) fn watch_wait(&self, now: Instant) -> Duration {
        let (answered_at, failed_at) = (*self.answered_at.borrow(), *self.failed_at.borrow());
        match failed_at {
            Some(_) if failed_at >= answered_at => Duration::ZERO,
            Some(at) if now.saturating_duration_since(at) < UNSETTLED_FOR => WATCH_WAIT_UNSETTLED,
            Some(_) | None => WATCH_WAIT,
        }
    }

    /// Returns once a call fails after `started_at`, if a watch with this `wait` should then be
    /// given up: its own answer may be lost too.
    pub(crate) async fn watch_is_doubtful(&self, started_at: Instant, wait: Duration) {
        if wait <= WATCH_WAIT_UNSETTLED {
            std::future::pending::<()>().await;
        }
        let mut failed_at = self.failed_at.subscribe();
        // Cannot fail: `self` holds the sender.
        let _ = failed_at.wait_for(|at| at.is_some_and(|at| at > started_at)).await;
    }

    /// Returns what the calls of all feeds show of the store.
    pub(crate) fn signs(&self, now: Instant) -> StoreSigns {
        let (answered_at, failed_at) = (*self.answered_at.borrow(), *self.failed_at.borrow());
        let since = |at: Instant| now.saturating_duration_since(at);
        StoreSigns {
            silent: answered_at.map_or(Duration::MAX, since),
            failed: failed_at.map(since),
            is_failing: failed_at.is_some() && failed_at >= answered_at,
        }
    }

    /// Returns when the store will have answered nothing for `period`, counted from `now` if it has
    /// answered nothing yet.
    pub(crate) fn silent_at(&self, period: Duration, now: Instant) -> Instant {
        self.answered_at.borrow().unwrap_or(now) + period
    }

    /// Tells whether the store answered a call within `period` before `now`.
    pub(crate) fn answered_within(&self, period: Duration, now: Instant) -> bool {
        self.answered_at.borrow().is_some_and(|at| now.saturating_duration_since(at) < period)
    }
}
