//! The queries that wait for replies, and the delivery of each reply to its query.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::mpsc;

use super::shared::lock;
use crate::ids::{QueryId, VmAddress};
use crate::link::SearchResult;

/// An event that is delivered to a waiting query.
#[derive(Debug, Clone)]
pub(crate) enum QueryEvent {
    /// The result of an attempt arrived.
    Result(SearchResult),
    /// The link to a peer broke; attempts that were sent on it get no result.
    PeerLost(VmAddress),
}

/// The queries of one VM that wait for replies.
#[derive(Debug, Default)]
pub(crate) struct PendingQueries {
    waiting: Mutex<BTreeMap<QueryId, mpsc::UnboundedSender<QueryEvent>>>,
    dropped: AtomicU64,
}

impl PendingQueries {
    /// Registers a query and returns the receiver of its events.
    pub(crate) fn register(&self, query: QueryId) -> mpsc::UnboundedReceiver<QueryEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.waiting).insert(query, sender);
        receiver
    }

    /// Removes a query; later replies to it are dropped and counted.
    pub(crate) fn unregister(&self, query: QueryId) {
        lock(&self.waiting).remove(&query);
    }

    /// Delivers a result to its query; counts it as dropped if the query no longer waits.
    pub(crate) fn deliver(&self, result: SearchResult) {
        let sender = lock(&self.waiting).get(&result.query).cloned();
        let delivered = sender.is_some_and(|s| s.send(QueryEvent::Result(result)).is_ok());
        if !delivered {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Tells every query that the link to a peer is lost.
    pub(crate) fn peer_lost(&self, peer: VmAddress) {
        for sender in lock(&self.waiting).values() {
            let _ = sender.send(QueryEvent::PeerLost(peer));
        }
    }

    pub(crate) fn len(&self) -> usize {
        lock(&self.waiting).len()
    }

    /// Returns how many replies arrived for queries that no longer waited.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
