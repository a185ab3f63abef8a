//! A limit on queries in flight that follows what the upstreams can take.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, value};

use crate::ids::ServiceName;
use crate::settings::QueryClass;

/// The limit of a service before anything is known.
const LIMIT_INITIAL: f64 = 128.0;
/// The smallest limit, so that a recovered service is noticed.
const LIMIT_MIN: f64 = 4.0;
/// The factor by which overload lowers the limit.
const DECREASE_FACTOR: f64 = 0.85;
/// How far the limit may stand above what is in flight when overload shows: far enough that one slow
/// query at low load refuses nothing.
const IN_USE_MARGIN: f64 = 2.0;
/// The shortest time between two decreases: one round of queries sees one overload.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);
/// How long a decrease counts as a sign of overload.
const LIMITING_HOLD: Duration = Duration::from_secs(1);
/// The share of the limit above which success raises it.
const BUSY_SHARE: f64 = 0.8;
/// The shortest time that a refused caller is asked to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// The longest time that a refused caller is asked to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// What became of an admitted query, as far as admission cares.
#[closed_set]
pub enum QueryEnd {
    /// No shard was missing because of overload.
    Served,
    /// Some shard was missing because of overload.
    Overloaded,
    /// The caller left; nothing was learnt.
    Abandoned,
}

/// Whether a query may run.
#[value]
pub enum AdmissionResult {
    /// It may run; [`Admission::release`] must follow.
    Admitted,
    /// It may not run.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// The limits of all services of one VM; each service has its own, so that none crowds out
/// another.
#[derive(Debug, Default)]
pub struct Admission {
    services: BTreeMap<ServiceName, ServiceLimit>,
}

#[derive(Debug)]
struct ServiceLimit {
    limit: f64,
    in_flight: BTreeMap<QueryClass, u32>,
    decreased_at: Option<Instant>,
    latency_average: Duration,
}

impl Admission {
    /// Starts without queries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a query or refuses it at once; `class_max` bounds the class whatever the limit.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        class: QueryClass,
        class_max: u32,
    ) -> AdmissionResult {
        let limit = self.services.entry(service.clone()).or_insert_with(ServiceLimit::new);
        let of_class = limit.in_flight.get(&class).copied().unwrap_or(0);
        // One query of each class is always admitted, so that no class starves.
        let within = of_class == 0
            || (of_class < class_max && f64::from(limit.total()) < limit.share_of(class));
        if !within {
            return AdmissionResult::Refused { retry_after: limit.retry_after() };
        }
        *limit.in_flight.entry(class).or_insert(0) += 1;
        AdmissionResult::Admitted
    }

    /// Ends an admitted query and lets the limit follow.
    pub fn release(
        &mut self,
        service: &ServiceName,
        class: QueryClass,
        end: QueryEnd,
        elapsed: Duration,
        now: Instant,
    ) {
        let Some(limit) = self.services.get_mut(service) else {
            return;
        };
        let busy = f64::from(limit.total()) >= limit.limit * BUSY_SHARE;
        if let Some(in_flight) = limit.in_flight.get_mut(&class) {
            *in_flight = in_flight.saturating_sub(1);
        }
        limit.latency_average = (limit.latency_average * 7 + elapsed) / 8;
        match end {
            QueryEnd::Served if busy => limit.limit += 1.0 / limit.limit,
            QueryEnd::Served | QueryEnd::Abandoned => {}
            QueryEnd::Overloaded => limit.decrease(now),
        }
    }

    /// Tells whether overload lowered the limit of `service` a short while ago.
    pub fn is_limiting(&self, service: &ServiceName, now: Instant) -> bool {
        let decreased_at = self.services.get(service).and_then(|limit| limit.decreased_at);
        decreased_at.is_some_and(|at| now.saturating_duration_since(at) < LIMITING_HOLD)
    }

    /// Returns how many queries of `service` are in flight.
    pub fn in_flight(&self, service: &ServiceName) -> u32 {
        self.services.get(service).map_or(0, ServiceLimit::total)
    }
}

impl ServiceLimit {
    fn new() -> Self {
        Self {
            limit: LIMIT_INITIAL,
            in_flight: BTreeMap::new(),
            decreased_at: None,
            latency_average: RETRY_AFTER_MIN,
        }
    }

    fn total(&self) -> u32 {
        self.in_flight.values().sum()
    }

    /// Returns the part of the limit up to which a class is admitted.
    fn share_of(&self, class: QueryClass) -> f64 {
        match class {
            QueryClass::Lookup => self.limit,
            QueryClass::Sweep => self.limit * 0.9,
            QueryClass::Archive => self.limit * 0.5,
        }
    }

    fn decrease(&mut self, now: Instant) {
        // Requests that were admitted before the last decrease say nothing about its effect.
        let pause = DECREASE_PAUSE.max(self.latency_average * 2);
        let recent = self.decreased_at.is_some_and(|at| now.saturating_duration_since(at) < pause);
        if !recent {
            // A limit far above what is in flight would fall for long without any effect.
            let in_use = self.limit.min(f64::from(self.total() + 1) * IN_USE_MARGIN);
            self.limit = (in_use * DECREASE_FACTOR).max(LIMIT_MIN);
            self.decreased_at = Some(now);
        }
    }

    fn retry_after(&self) -> Duration {
        (self.latency_average * 2).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}
