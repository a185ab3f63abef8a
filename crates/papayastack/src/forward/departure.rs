//! A VM that leaves: which requests it still takes, and when all of them must be answered.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use tokio::sync::watch;

use super::route::RequestKind;

/// How far the departure of a VM has come, as its requests need to know it.
#[derive(Debug)]
pub(crate) struct Departure {
    /// When all requests must be answered; `None` unless the VM leaves.
    answers_due: watch::Sender<Option<Instant>>,
    refuses_all: AtomicBool,
}

impl Departure {
    /// Creates the state of a VM that stays.
    pub(crate) fn new() -> Self {
        Self { answers_due: watch::Sender::new(None), refuses_all: AtomicBool::new(false) }
    }

    /// Begins the departure: the VM is no longer ready, but still serves requests, which are all
    /// answered at `answers_due` at the latest.
    pub(crate) fn begin(&self, answers_due: Instant) {
        self.answers_due.send_replace(Some(answers_due));
    }

    /// Refuses all new requests from now on.
    pub(crate) fn refuse_all(&self) {
        self.refuses_all.store(true, Ordering::Release);
    }

    /// Tells whether the departure has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.answers_due.borrow().is_some()
    }

    /// Tells whether all new requests are refused.
    pub(crate) fn refuses_all(&self) -> bool {
        self.refuses_all.load(Ordering::Acquire)
    }

    /// Tells whether a request that ends by `deadline` is taken.
    ///
    /// One that must not be repeated is refused if it may last beyond the departure: its caller could
    /// not learn whether it ran, while a refused one can go to another VM.
    pub(crate) fn takes(&self, kind: RequestKind, deadline: Instant) -> bool {
        let ends_in_time = self.answers_due.borrow().is_none_or(|due| deadline <= due);
        !self.refuses_all() && (kind == RequestKind::Safe || ends_in_time)
    }

    /// Returns once the VM leaves and the requests still in flight must be answered.
    pub(crate) async fn answers_are_due(&self) {
        let mut answers_due = self.answers_due.subscribe();
        // Cannot fail: `self` holds the sender.
        let due = answers_due.wait_for(Option::is_some).await.ok().and_then(|due| *due);
        match due {
            Some(due) => tokio::time::sleep_until(due.into()).await,
            None => std::future::pending().await,
        }
    }
}
