//! Whether this VM still reaches the upstreams, judged by all of them together.
//!
//! One upstream that fails says something about itself. If many fail and none replies in between,
//! this VM has lost its links; other VMs may still reach the upstreams.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, value};

use crate::routing::UpstreamIndex;

/// How many upstreams must fail without a reply in between; all of them where there are fewer.
const FAILING_MIN: usize = 4;
/// The shortest time from the first failure on without a reply. Upstreams that reset connections
/// often do so at once, and the replies of others follow.
const QUIET_MIN: Duration = Duration::from_millis(25);
/// The same where connections can be made or were not tried: several upstreams may pause at once.
const SILENT_QUIET_MIN: Duration = Duration::from_millis(100);
/// How many upstreams must reply, or accept a connection, before lost links count as regained.
const REACHED_MIN: usize = 2;
/// The share of requests that tries links on which connections can be opened again, until upstreams
/// reply.
const TRIAL_SHARE: f64 = 0.2;
/// The longest time over which the requests return to regained links, so that not all connections
/// are opened at once. Links that were lost more briefly take requests again after as long.
const RETURN_TIME_MAX: Duration = Duration::from_secs(1);

/// What an attempt or a probe shows about the link to an upstream.
#[closed_set]
pub(crate) enum LinkSign {
    /// The upstream sent the head of a reply.
    Replied,
    /// The upstream accepted a new connection.
    Connected,
    /// No new connection could be made.
    NotConnected,
    /// The connection broke, or no reply came by the time of a hedge or by the deadline.
    Silent,
}

/// A change of the links as a whole.
#[value]
#[derive(Copy)]
pub(crate) enum LinkChange {
    /// The links are lost; no reply came in the time `quiet` since the first failure.
    Lost { quiet: Duration, failing: usize },
    /// Connections can be opened again; a few requests show whether upstreams reply.
    Tried,
    /// The links are back after `lost`.
    Regained { lost: Duration },
}

/// The links of one VM to all upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamLinks {
    state: LinkState,
    /// The upstreams that failed since any of them last replied.
    failing: BTreeSet<UpstreamIndex>,
    /// The upstreams that could not be connected to since any of them last accepted a connection.
    not_connecting: BTreeSet<UpstreamIndex>,
    /// The upstreams that were reached since the links were lost or one of them failed.
    reached: BTreeSet<UpstreamIndex>,
    /// When the first of the failing upstreams failed.
    first_failed_at: Option<Instant>,
}

#[value]
#[derive(Copy)]
enum LinkState {
    Sound,
    Lost {
        since: Instant,
    },
    /// Upstreams accept connections; none has replied since the loss at `since`.
    Trial {
        since: Instant,
    },
    Returning {
        since: Instant,
        over: Duration,
    },
}

impl UpstreamLinks {
    /// Starts with links that count as sound.
    pub(crate) fn new() -> Self {
        Self {
            state: LinkState::Sound,
            failing: BTreeSet::new(),
            not_connecting: BTreeSet::new(),
            reached: BTreeSet::new(),
            first_failed_at: None,
        }
    }

    /// Takes a sign of the link to one of `upstreams` upstreams in use.
    pub(crate) fn on_sign(
        &mut self,
        upstream: UpstreamIndex,
        sign: LinkSign,
        upstreams: usize,
        now: Instant,
    ) -> Option<LinkChange> {
        match sign {
            LinkSign::Replied => {
                self.clear_failures();
                self.on_reply(upstream, upstreams, now)
            }
            LinkSign::Connected => {
                self.not_connecting.clear();
                self.on_connection(upstream, upstreams)
            }
            LinkSign::NotConnected => {
                self.not_connecting.insert(upstream);
                self.on_failure(upstream, upstreams, now)
            }
            LinkSign::Silent => self.on_failure(upstream, upstreams, now),
        }
    }

    /// Tells whether no upstream can be reached.
    pub(crate) fn are_lost(&self) -> bool {
        matches!(self.state, LinkState::Lost { .. })
    }

    /// Tells whether new connections fail at all upstreams, even if open ones may still be used.
    pub(crate) fn refuse_connections(&self, upstreams: usize) -> bool {
        self.are_lost() || self.not_connecting.len() >= FAILING_MIN.min(upstreams).max(1)
    }

    /// Returns the share of requests that other VMs should serve, from 0 to 1.
    pub(crate) fn relayed_share(&self, now: Instant) -> f64 {
        match self.state {
            LinkState::Sound => 0.0,
            LinkState::Lost { .. } => 1.0,
            LinkState::Trial { .. } => 1.0 - TRIAL_SHARE,
            LinkState::Returning { since, over } => {
                let elapsed = now.saturating_duration_since(since);
                let left = over.saturating_sub(elapsed);
                if left.is_zero() { 0.0 } else { left.as_secs_f64() / over.as_secs_f64() }
            }
        }
    }

    fn on_failure(
        &mut self,
        upstream: UpstreamIndex,
        upstreams: usize,
        now: Instant,
    ) -> Option<LinkChange> {
        self.failing.insert(upstream);
        self.reached.clear();
        let first_failed_at = *self.first_failed_at.get_or_insert(now);
        let quiet = now.saturating_duration_since(first_failed_at);
        let failing = self.failing.len();
        let since = match self.state {
            LinkState::Lost { .. } => return None,
            LinkState::Trial { since } => since,
            LinkState::Sound | LinkState::Returning { .. } => {
                let quiet_min =
                    if self.refuse_connections(upstreams) { QUIET_MIN } else { SILENT_QUIET_MIN };
                if quiet < quiet_min || failing < FAILING_MIN.min(upstreams).max(1) {
                    return None;
                }
                now
            }
        };
        self.state = LinkState::Lost { since };
        Some(LinkChange::Lost { quiet, failing })
    }

    fn on_connection(&mut self, upstream: UpstreamIndex, upstreams: usize) -> Option<LinkChange> {
        let LinkState::Lost { since } = self.state else { return None };
        if !self.has_reached(upstream, upstreams) {
            return None;
        }
        self.state = LinkState::Trial { since };
        Some(LinkChange::Tried)
    }

    fn on_reply(
        &mut self,
        upstream: UpstreamIndex,
        upstreams: usize,
        now: Instant,
    ) -> Option<LinkChange> {
        let (LinkState::Lost { since } | LinkState::Trial { since }) = self.state else {
            return None;
        };
        if !self.has_reached(upstream, upstreams) {
            return None;
        }
        let lost = now.saturating_duration_since(since);
        self.state = LinkState::Returning { since: now, over: lost.min(RETURN_TIME_MAX) };
        Some(LinkChange::Regained { lost })
    }

    /// Counts an upstream as reached; tells whether enough of them were.
    fn has_reached(&mut self, upstream: UpstreamIndex, upstreams: usize) -> bool {
        self.reached.insert(upstream);
        if self.reached.len() < REACHED_MIN.min(upstreams) {
            return false;
        }
        self.clear_failures();
        self.reached.clear();
        true
    }

    fn clear_failures(&mut self) {
        self.failing.clear();
        self.first_failed_at = None;
    }
}
