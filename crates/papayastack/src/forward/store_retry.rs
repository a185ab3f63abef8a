//! Limits retries of a store that failed to one feed at a time, because the platform charges for
//! every call, including refused ones.

use std::time::Duration;

use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep, timeout};

/// How long a feed waits for another feed's call to be answered before it retries on its own; a
/// call that hangs times out after about that time.
const OTHER_FEED_WAIT_MAX: Duration = Duration::from_millis(2_500);

/// Lets one of several feeds test whether the store answers again, while the others wait.
#[derive(Debug, Default)]
pub(crate) struct StoreRetryGate {
    retrying: Mutex<()>,
    answered: Notify,
}

impl StoreRetryGate {
    /// Returns when a feed whose call failed may call again: the first feed after `pause`, the
    /// others once a call of any feed has been answered.
    pub(crate) async fn wait(&self, pause: Duration) {
        match self.retrying.try_lock() {
            Ok(_guard) => sleep(pause).await,
            // After the time-out this feed tests the store with its own call.
            Err(_) => drop(timeout(OTHER_FEED_WAIT_MAX, self.answered.notified()).await),
        }
    }

    /// Records that the store answered a call.
    pub(crate) fn call_answered(&self) {
        self.answered.notify_waiters();
    }
}
