//! Limits on the requests per second that upstreams name for all VMs together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayastack_macros::value;

use crate::routing::UpstreamIndex;

/// The shortest time between two records of the same limit.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// A limit in thousandths of a request per second, summed over all VMs.
pub(crate) type MilliPerSecond = u64;

/// What an upstream named and what this VM sent to it, for the log.
#[value]
#[derive(Copy)]
pub(crate) struct LimitRecord {
    /// The limit; `None` once the upstream names none.
    pub(crate) limit: Option<MilliPerSecond>,
    /// The attempts that this VM sent to the upstream within `period`.
    pub(crate) sent: u64,
    /// The time since the record before, or since the limit was first named.
    pub(crate) period: Duration,
}

/// The limits that upstreams name at present.
#[derive(Debug, Default)]
pub(crate) struct RateLimits {
    limited: BTreeMap<UpstreamIndex, Limited>,
}

#[derive(Debug)]
struct Limited {
    limit: MilliPerSecond,
    sent: u64,
    recorded_at: Instant,
}

impl RateLimits {
    /// Takes the limit of a reply, `None` if the reply names none; returns what is to be logged.
    pub(crate) fn on_reply(
        &mut self,
        upstream: UpstreamIndex,
        limit: Option<MilliPerSecond>,
        now: Instant,
    ) -> Option<LimitRecord> {
        let Some(limit) = limit else {
            let ended = self.limited.remove(&upstream)?;
            let period = now.saturating_duration_since(ended.recorded_at);
            return Some(LimitRecord { limit: None, sent: ended.sent, period });
        };
        let Some(limited) = self.limited.get_mut(&upstream) else {
            self.limited.insert(upstream, Limited { limit, sent: 0, recorded_at: now });
            return Some(LimitRecord { limit: Some(limit), sent: 0, period: Duration::ZERO });
        };
        let period = now.saturating_duration_since(limited.recorded_at);
        if limited.limit == limit && period < RECORD_INTERVAL {
            return None;
        }
        let sent = std::mem::take(&mut limited.sent);
        *limited = Limited { limit, sent: 0, recorded_at: now };
        Some(LimitRecord { limit: Some(limit), sent, period })
    }

    /// Counts an attempt that is sent to an upstream.
    pub(crate) fn count_sent(&mut self, upstream: UpstreamIndex) {
        if let Some(limited) = self.limited.get_mut(&upstream) {
            limited.sent += 1;
        }
    }

    /// Returns how many upstreams name a limit.
    pub(crate) fn count(&self) -> usize {
        self.limited.len()
    }

    /// Forgets an upstream, since its index may be reused for another one.
    pub(crate) fn forget(&mut self, upstream: UpstreamIndex) {
        self.limited.remove(&upstream);
    }
}
