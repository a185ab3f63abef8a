//! Slot accounting and a queue for each class, ordered by deadline, in front of one upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use papayastack_macros::value;

use crate::ids::{AttemptId, QueryId};
use crate::settings::QueryClass;

/// One in this many starts goes to the least urgent waiting class, so that no class starves.
const FAIRNESS_INTERVAL: u32 = 8;
/// The window of the average service time: a new sample weighs one part in this many.
const SERVICE_TIME_WINDOW: u32 = 16;

/// Identifies one sub-request to an upstream.
#[value]
#[derive(Copy, PartialOrd, Ord)]
pub struct SubRequestId {
    /// The link that the sub-request came from, or the local source.
    pub source: u64,
    /// The query.
    pub query: QueryId,
    /// The attempt within the query.
    pub attempt: AttemptId,
}

/// A sub-request that asks for a slot.
#[value]
pub struct SubRequest {
    /// The identity of the sub-request.
    pub id: SubRequestId,
    /// The class of the query.
    pub class: QueryClass,
    /// The deadline of the query.
    pub deadline: Instant,
}

/// The limits on running and waiting sub-requests.
#[value]
#[derive(Copy)]
pub struct DispatchLimits {
    /// Sub-requests that may run at once.
    pub slots: u32,
    /// Sub-requests that may wait.
    pub queue_max: u32,
}

/// The result of offering a sub-request.
#[value]
pub enum OfferResult {
    /// The sub-request has a slot and must be started now.
    Start,
    /// The sub-request waits for a slot.
    Queued,
    /// Refused because the queue is full.
    QueueFull,
    /// Refused because the expected wait ends after the deadline.
    WouldMissDeadline,
    /// Refused because the upstream is leaving.
    Closed,
}

/// The result of cancelling a sub-request.
#[value]
pub enum CancelResult {
    /// The sub-request was waiting and will not run.
    Dequeued,
    /// The sub-request is running; its slot is freed when it ends.
    Running,
    /// The sub-request is unknown or has ended.
    Unknown,
}

/// The running and waiting sub-requests of one upstream.
#[derive(Debug)]
pub struct DispatchQueue {
    limits: DispatchLimits,
    running: BTreeMap<SubRequestId, Instant>,
    queues: BTreeMap<QueryClass, BTreeSet<(Instant, SubRequestId)>>,
    waiting: BTreeMap<SubRequestId, (QueryClass, Instant)>,
    starts: u32,
    service_time_average: Duration,
    closed: bool,
}

impl DispatchQueue {
    /// Starts open, with all slots free and an empty queue.
    pub fn new(limits: DispatchLimits) -> Self {
        Self {
            limits,
            running: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            starts: 0,
            service_time_average: Duration::ZERO,
            closed: false,
        }
    }

    /// Changes the limits; running and waiting sub-requests stay, even above the new limits.
    pub fn set_limits(&mut self, limits: DispatchLimits) {
        self.limits = limits;
    }

    /// Returns the maximum number of sub-requests that run at once.
    pub fn slots(&self) -> u32 {
        self.limits.slots
    }

    /// Starts, queues or refuses a sub-request.
    pub fn offer(&mut self, sub_request: SubRequest, now: Instant) -> OfferResult {
        if self.closed {
            return OfferResult::Closed;
        }
        if self.waiting.is_empty() && self.has_free_slot() {
            self.start(sub_request.id, now);
            return OfferResult::Start;
        }
        if self.waiting.len() >= self.limits.queue_max as usize {
            return OfferResult::QueueFull;
        }
        if now + self.expected_wait(&sub_request) >= sub_request.deadline {
            return OfferResult::WouldMissDeadline;
        }
        self.waiting.insert(sub_request.id, (sub_request.class, sub_request.deadline));
        self.queues
            .entry(sub_request.class)
            .or_default()
            .insert((sub_request.deadline, sub_request.id));
        OfferResult::Queued
    }

    /// Frees the slot of an ended sub-request; returns `false` if it held none.
    pub fn finish(&mut self, id: &SubRequestId, now: Instant) -> bool {
        let Some(started) = self.running.remove(id) else {
            return false;
        };
        let service_time = now.saturating_duration_since(started);
        self.service_time_average = if self.service_time_average.is_zero() {
            service_time
        } else {
            (self.service_time_average * (SERVICE_TIME_WINDOW - 1) + service_time)
                / SERVICE_TIME_WINDOW
        };
        true
    }

    /// Starts the next waiting sub-request if a slot is free.
    pub fn start_next(&mut self, now: Instant) -> Option<SubRequestId> {
        if self.closed || !self.has_free_slot() {
            return None;
        }
        let class = self.next_class()?;
        let (_, id) = self.queues.get_mut(&class)?.pop_first()?;
        self.waiting.remove(&id);
        self.start(id, now);
        Some(id)
    }

    /// Removes the waiting sub-requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<SubRequestId> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while queue.first().is_some_and(|(deadline, _)| *deadline <= now) {
                expired.extend(queue.pop_first().map(|(_, id)| id));
            }
        }
        for id in &expired {
            self.waiting.remove(id);
        }
        expired
    }

    /// Cancels a sub-request.
    pub fn cancel(&mut self, id: &SubRequestId) -> CancelResult {
        if let Some((class, deadline)) = self.waiting.remove(id) {
            if let Some(queue) = self.queues.get_mut(&class) {
                queue.remove(&(deadline, *id));
            }
            return CancelResult::Dequeued;
        }
        if self.running.contains_key(id) {
            return CancelResult::Running;
        }
        CancelResult::Unknown
    }

    /// Refuses new sub-requests from now on and returns those that waited; running ones finish.
    pub fn close(&mut self) -> Vec<SubRequestId> {
        self.closed = true;
        self.queues.clear();
        std::mem::take(&mut self.waiting).into_keys().collect()
    }

    /// Accepts new sub-requests again.
    pub fn reopen(&mut self) {
        self.closed = false;
    }

    /// Returns the number of running sub-requests.
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting sub-requests.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    fn has_free_slot(&self) -> bool {
        self.running.len() < self.limits.slots as usize
    }

    fn start(&mut self, id: SubRequestId, now: Instant) {
        self.running.insert(id, now);
        self.starts = self.starts.wrapping_add(1);
    }

    fn next_class(&self) -> Option<QueryClass> {
        let waiting = |class: &QueryClass| self.queues.get(class).is_some_and(|q| !q.is_empty());
        if self.starts % FAIRNESS_INTERVAL == FAIRNESS_INTERVAL - 1 {
            return QueryClass::BY_PRIORITY.into_iter().rev().find(waiting);
        }
        QueryClass::BY_PRIORITY.into_iter().find(waiting)
    }

    /// Estimates the wait of a sub-request from the average service time and those ahead of it.
    fn expected_wait(&self, sub_request: &SubRequest) -> Duration {
        let urgent =
            QueryClass::BY_PRIORITY.into_iter().take_while(|class| *class != sub_request.class);
        let ahead_by_class: usize =
            urgent.filter_map(|class| self.queues.get(&class)).map(BTreeSet::len).sum();
        let key = (sub_request.deadline, sub_request.id);
        let ahead_in_class =
            self.queues.get(&sub_request.class).map_or(0, |queue| queue.range(..key).count());
        let ahead = u32::try_from(ahead_by_class + ahead_in_class + 1).unwrap_or(u32::MAX);
        self.service_time_average.saturating_mul(ahead) / self.limits.slots.max(1)
    }
}
