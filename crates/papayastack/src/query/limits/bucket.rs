//! A token bucket that may hold less than one token.

use std::time::{Duration, Instant};

use rand::Rng;

use super::Urgency;
use super::share::Share;

/// The time whose share may be used at once.
const BURST: Duration = Duration::from_secs(1);
/// The mean gaps between requests whose share a VM keeps; many gaps are longer than the mean.
const GAPS_KEPT: f64 = 3.0;
/// The longest time whose share a VM with few requests keeps between them; a surge may take what all
/// VMs have kept at once.
const KEPT_BETWEEN_REQUESTS_MAX: Duration = Duration::from_secs(3);
/// The used part of a share where tokens are drawn, since the number of draws that win varies.
const DRAWN_SHARE: f64 = 0.78;
/// The longest time to wait for a token that is named to callers.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// The tokens of one VM for one upstream; a request takes one.
///
/// Where many VMs share a low limit, a whole token for each would exceed it many times. So a bucket
/// whose capacity is below one token draws: the fraction that it holds is the probability of
/// getting a whole token, and is used up either way.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    has_drawn_token: bool,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a bucket with less than one token; a random part, so that VMs do not refill in step.
    pub(crate) fn new(now: Instant, random: &mut impl Rng) -> Self {
        Self { tokens: random.random(), has_drawn_token: false, refilled_at: now }
    }

    /// Tells whether a request may take a token, and draws for one where the capacity is below one.
    ///
    /// `share` is the part of the limit with which the bucket is refilled.
    pub(crate) fn has_token(
        &mut self,
        share: Share,
        urgency: Urgency,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        let (capacity, rates) = (capacity(share), share.rates);
        let used_share = if capacity < 1.0 { DRAWN_SHARE } else { 1.0 };
        self.refill(rates.total() * used_share, capacity, now);
        if self.has_drawn_token {
            return true;
        }
        if capacity >= 1.0 {
            let reserve = match urgency {
                Urgency::Class(class) => rates.more_urgent_than(class) * BURST.as_secs_f64(),
                Urgency::Hedge => f64::INFINITY,
            };
            return self.tokens >= 1.0 + reserve.min(capacity - 1.0);
        }
        let usable = match urgency {
            Urgency::Class(class) if rates.total() > 0.0 => {
                1.0 - rates.more_urgent_than(class) / rates.total()
            }
            Urgency::Class(_) | Urgency::Hedge => 0.0,
        };
        let stake = self.tokens.max(0.0) * usable;
        self.tokens -= stake;
        self.has_drawn_token = stake > 0.0 && random.random::<f64>() < stake;
        self.has_drawn_token
    }

    /// Takes one token, even if there is none; the next ones then pay for it.
    pub(crate) fn take(&mut self) {
        if !std::mem::take(&mut self.has_drawn_token) {
            self.tokens -= 1.0;
        }
    }

    /// Returns the token of a request that was not sent.
    pub(crate) fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns about how long it takes until a token is there.
    pub(crate) fn wait(&self, share: Share) -> Duration {
        let seconds = (1.0 - self.tokens) / share.rates.total();
        Duration::try_from_secs_f64(seconds.max(0.0)).map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX))
    }

    fn refill(&mut self, per_second: f64, capacity: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + per_second * elapsed.as_secs_f64()).min(capacity);
    }
}

/// Returns the most tokens that a bucket holds.
///
/// A VM with few requests keeps what comes in between them, so that its share is not lost.
fn capacity(share: Share) -> f64 {
    let per_second = share.rates.total();
    let burst = per_second * BURST.as_secs_f64();
    let kept_max = (per_second * KEPT_BETWEEN_REQUESTS_MAX.as_secs_f64()).min(1.0);
    let between_requests = if share.demand > 0.0 {
        (GAPS_KEPT * per_second / share.demand).min(kept_max)
    } else {
        0.0
    };
    burst.max(between_requests)
}
