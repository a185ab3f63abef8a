//! Who asks a lost store again: one feed at a time, since every call is charged, refused ones too.

use std::time::Duration;

use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep, timeout};

/// How long a feed waits for another one to find the store back before it asks by itself: a call that
/// hangs is given up after about that time.
const OTHERS_WAIT_MAX: Duration = Duration::from_millis(2_500);

/// Lets one of several feeds find out whether the store is back.
#[derive(Debug, Default)]
pub(crate) struct StoreGate {
    asking: Mutex<()>,
    answered: Notify,
}

impl StoreGate {
    /// Returns when a feed whose call failed may call again: the first one after `pause`, the others
    /// once a call of any feed has been answered.
    pub(crate) async fn wait(&self, pause: Duration) {
        match self.asking.try_lock() {
            Ok(_asking) => sleep(pause).await,
            // Without an answer of another feed's the own call tells.
            Err(_) => drop(timeout(OTHERS_WAIT_MAX, self.answered.notified()).await),
        }
    }

    /// Records that the store answered a call.
    pub(crate) fn call_answered(&self) {
        self.answered.notify_waiters();
    }
}
