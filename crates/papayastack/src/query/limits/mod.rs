//! Limits on the requests per second that upstreams name for all VMs together.
//!
//! No VM sees the sum. Each one reports its demand to the others and uses the part of the limit that
//! [`share::own_share`] gives it; a [`bucket::Bucket`] holds that part. What was sent counts,
//! whatever for: first attempts, retries, hedges, and attempts that waited for a connection.

mod bucket;
mod share;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::{Duration, Instant};

use papayastack_macros::value;
use rand::Rng;

use self::bucket::Bucket;
use self::share::{ClassRates, Share, own_share, rank};
use crate::ids::VmAddress;
use crate::routing::UpstreamIndex;
use crate::settings::QueryClass;

/// The shortest time between two records of the same limit.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// How long another VM's report counts; several intervals between reports, since some are lost.
const REPORT_AGE_MAX: Duration = Duration::from_millis(2_500);
/// How long it is remembered that a limit ended, so that delayed reports do not bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// How long a limit is reported to other VMs after the last reply that named it.
const REPORTED_AFTER_REPLY: Duration = Duration::from_secs(30);
/// The weight of the newest period in the demand that is reported.
const DEMAND_SAMPLE_WEIGHT: f64 = 0.25;
/// The lowest rate that is used, so that a reply shows the end of a limit near zero.
const PROBE_RATE: MilliPerSecond = 500;
/// The factor between two limits from which on other VMs are told at once.
const NOTABLE_CHANGE: u64 = 2;

/// A rate in thousandths of a request per second.
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
    /// Whether the other VMs should be told at once.
    pub(crate) is_news: bool,
}

/// What one VM reports to the others about an upstream.
#[value]
#[derive(Copy)]
pub(crate) struct LimitReport {
    /// The limit in the newest reply that the VM knows of; `None` if that reply named none.
    pub(crate) limit: Option<MilliPerSecond>,
    /// The age of that reply.
    pub(crate) age: Duration,
    /// The demand of the VM by class, most urgent first.
    pub(crate) demand: [MilliPerSecond; 3],
}

/// How urgent an attempt is where an upstream has room for only some.
#[value]
#[derive(Copy)]
pub(crate) enum Urgency {
    /// A first attempt or a retry of a request of this class.
    Class(QueryClass),
    /// A hedge, which comes after all of these.
    Hedge,
}

/// The limits that upstreams name, and this VM's part of each.
#[derive(Debug)]
pub(crate) struct RateLimits {
    known: BTreeMap<UpstreamIndex, KnownLimit>,
    /// The number of VMs that share the limits.
    vms: u32,
}

/// The limit of one upstream, or the end of one.
#[derive(Debug)]
struct KnownLimit {
    limit: Option<MilliPerSecond>,
    /// When the newest known reply was received, by this VM or another one.
    replied_at: Instant,
    /// When this VM learnt that there is a limit.
    since: Instant,
    bucket: Bucket,
    /// The requests of this VM that could have gone to the upstream since the last report.
    asked: ClassRates,
    /// The demand that this VM last reported; used here too, so that all VMs calculate alike.
    reported: ClassRates,
    reported_at: Instant,
    peers: BTreeMap<VmAddress, (ClassRates, Instant)>,
    sent: u64,
    recorded_at: Instant,
}

impl RateLimits {
    /// Starts without limits.
    pub(crate) fn new() -> Self {
        Self { known: BTreeMap::new(), vms: 1 }
    }

    /// Sets the number of VMs that share the limits.
    pub(crate) fn set_vms(&mut self, vms: u32) {
        self.vms = vms;
    }

    /// Takes the limit of a reply, `None` if the reply names none; returns what is to be logged.
    pub(crate) fn on_reply(
        &mut self,
        upstream: UpstreamIndex,
        limit: Option<MilliPerSecond>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<LimitRecord> {
        let Some(known) = self.known.get_mut(&upstream) else {
            let limit = limit?;
            self.known.insert(upstream, KnownLimit::new(limit, now, now, random));
            let period = Duration::ZERO;
            return Some(LimitRecord { limit: Some(limit), sent: 0, period, is_news: true });
        };
        let before = known.limit;
        known.update(limit, now, now, random);
        known.record(before, now)
    }

    /// Takes another VM's report about an upstream.
    pub(crate) fn on_report(
        &mut self,
        upstream: UpstreamIndex,
        peer: VmAddress,
        report: LimitReport,
        now: Instant,
        random: &mut impl Rng,
    ) {
        let replied_at = now.checked_sub(report.age).unwrap_or(now);
        let known = match (self.known.entry(upstream), report.limit) {
            (Entry::Occupied(known), _) => known.into_mut(),
            (Entry::Vacant(unknown), Some(limit)) => {
                unknown.insert(KnownLimit::new(limit, replied_at, now, random))
            }
            (Entry::Vacant(_), None) => return,
        };
        if replied_at > known.replied_at {
            known.update(report.limit, replied_at, now, random);
        }
        let demand = ClassRates(report.demand.map(per_second));
        known.peers.insert(peer, (demand, now));
    }

    /// Counts a request that could go to any one of `replicas` as demand for each.
    pub(crate) fn record_demand(&mut self, replicas: &[UpstreamIndex], class: QueryClass) {
        if self.known.is_empty() {
            return;
        }
        for upstream in replicas {
            if let Some(known) = self.known.get_mut(upstream) {
                known.asked.0[rank(class)] += 1.0 / replicas.len() as f64;
            }
        }
    }

    /// Tells whether an attempt may be sent to an upstream now.
    pub(crate) fn has_room(
        &mut self,
        upstream: UpstreamIndex,
        urgency: Urgency,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        let vms = self.vms;
        let Some(known) = self.known.get_mut(&upstream) else { return true };
        let Some(share) = known.share(vms, now) else { return true };
        known.bucket.has_token(share, urgency, now, random)
    }

    /// Returns about how long it takes until an upstream without room has some.
    pub(crate) fn wait(&mut self, upstream: UpstreamIndex, now: Instant) -> Duration {
        let vms = self.vms;
        let Some(known) = self.known.get_mut(&upstream) else { return Duration::ZERO };
        known.share(vms, now).map_or(Duration::ZERO, |share| known.bucket.wait(share))
    }

    /// Takes the room of an attempt that is sent to an upstream.
    pub(crate) fn take(&mut self, upstream: UpstreamIndex) {
        let limited = self.known.get_mut(&upstream).filter(|known| known.limit.is_some());
        if let Some(known) = limited {
            known.sent += 1;
            known.bucket.take();
        }
    }

    /// Tells whether an attempt chosen at `chosen_at` may still be sent. One that was chosen before
    /// the limit was known takes its room now.
    pub(crate) fn confirm(
        &mut self,
        upstream: UpstreamIndex,
        chosen_at: Instant,
        urgency: Urgency,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        if !self.is_limited_after(upstream, chosen_at) {
            return true;
        }
        let has_room = self.has_room(upstream, urgency, now, random);
        if has_room {
            self.take(upstream);
        }
        has_room
    }

    /// Returns the room of an attempt chosen at `chosen_at` that did not reach the upstream.
    pub(crate) fn refund(&mut self, upstream: UpstreamIndex, chosen_at: Instant) {
        if self.is_limited_after(upstream, chosen_at) {
            return;
        }
        if let Some(known) = self.known.get_mut(&upstream).filter(|known| known.limit.is_some()) {
            known.sent = known.sent.saturating_sub(1);
            known.bucket.refund();
        }
    }

    /// Returns this VM's reports for the others, and starts the next period of its demand.
    pub(crate) fn take_reports(&mut self, now: Instant) -> Vec<(UpstreamIndex, LimitReport)> {
        self.known.retain(|_, known| known.limit.is_some() || !known.ended_long_ago(now));
        let recent = self.known.iter_mut().filter(|(_, it)| it.age(now) < REPORTED_AFTER_REPLY);
        recent.map(|(upstream, known)| (*upstream, known.report(now))).collect()
    }

    /// Tells whether there is nothing to report to the other VMs.
    pub(crate) fn has_no_reports(&self, now: Instant) -> bool {
        self.known.values().all(|known| known.age(now) >= REPORTED_AFTER_REPLY)
    }

    /// Returns how many upstreams name a limit.
    pub(crate) fn count(&self) -> usize {
        self.known.values().filter(|known| known.limit.is_some()).count()
    }

    /// Forgets an upstream, since its index may be reused for another one.
    pub(crate) fn forget(&mut self, upstream: UpstreamIndex) {
        self.known.remove(&upstream);
    }

    fn is_limited_after(&self, upstream: UpstreamIndex, chosen_at: Instant) -> bool {
        let limited = |known: &&KnownLimit| known.limit.is_some() && known.since > chosen_at;
        self.known.get(&upstream).filter(limited).is_some()
    }
}

impl Default for RateLimits {
    fn default() -> Self {
        Self::new()
    }
}

impl KnownLimit {
    fn new(
        limit: MilliPerSecond,
        replied_at: Instant,
        now: Instant,
        random: &mut impl Rng,
    ) -> Self {
        Self {
            limit: Some(limit),
            replied_at,
            since: now,
            bucket: Bucket::new(now, random),
            asked: ClassRates::default(),
            reported: ClassRates::default(),
            reported_at: now,
            peers: BTreeMap::new(),
            sent: 0,
            recorded_at: now,
        }
    }

    fn update(
        &mut self,
        limit: Option<MilliPerSecond>,
        replied_at: Instant,
        now: Instant,
        random: &mut impl Rng,
    ) {
        if self.limit.is_none() && limit.is_none() {
            // The time at which the limit ended stays.
            return;
        }
        if self.limit.is_none() {
            self.since = now;
            self.bucket = Bucket::new(now, random);
        }
        self.limit = limit;
        self.replied_at = replied_at;
    }

    /// Returns a record if the limit is another one than `before`, or if one is due.
    fn record(&mut self, before: Option<MilliPerSecond>, now: Instant) -> Option<LimitRecord> {
        let period = now.saturating_duration_since(self.recorded_at);
        let is_due = self.limit.is_some() && period >= RECORD_INTERVAL;
        if self.limit == before && !is_due {
            return None;
        }
        self.recorded_at = now;
        let is_news = match (before, self.limit) {
            (Some(before), Some(limit)) => {
                limit.max(before) >= limit.min(before).saturating_mul(NOTABLE_CHANGE)
            }
            (before, limit) => before != limit,
        };
        let sent = std::mem::take(&mut self.sent);
        Some(LimitRecord { limit: self.limit, sent, period, is_news })
    }

    /// Returns this VM's part of the limit; `None` without a limit.
    fn share(&mut self, vms: u32, now: Instant) -> Option<Share> {
        let limit = per_second(self.limit?.max(PROBE_RATE));
        self.peers.retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_AGE_MAX);
        let peers = self.peers.values().map(|(demand, _)| *demand);
        Some(own_share(limit, self.reported, peers, vms))
    }

    fn report(&mut self, now: Instant) -> LimitReport {
        let elapsed = now.saturating_duration_since(self.reported_at).as_secs_f64();
        let asked = std::mem::take(&mut self.asked);
        if elapsed > 0.0 {
            for (reported, asked) in self.reported.0.iter_mut().zip(asked.0) {
                *reported += (asked / elapsed - *reported) * DEMAND_SAMPLE_WEIGHT;
            }
        }
        self.reported_at = now;
        let demand = self.reported.0.map(|rate| (rate * 1_000.0) as MilliPerSecond);
        LimitReport { limit: self.limit, age: self.age(now), demand }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.replied_at)
    }

    fn ended_long_ago(&self, now: Instant) -> bool {
        self.limit.is_none() && self.age(now) >= ENDED_RETENTION
    }
}

fn per_second(milli: MilliPerSecond) -> f64 {
    milli as f64 / 1_000.0
}
