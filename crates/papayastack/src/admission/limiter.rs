//! An adaptive limit on queries in flight: raised by success, lowered by overload (AIMD).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, value};

use crate::ids::ServiceName;
use crate::settings::QueryClass;

/// The limit of a service before its first query.
const LIMIT_INITIAL: f64 = 128.0;
/// The smallest limit: enough queries run to notice that a service has recovered.
const LIMIT_MIN: f64 = 4.0;
/// The factor by which overload lowers the limit.
const DECREASE_FACTOR: f64 = 0.85;
/// On overload, the limit is first capped at this many times the queries in flight, then lowered.
/// The margin is large enough that one slow query at low load does not lead to refusals.
const IN_FLIGHT_MARGIN: f64 = 2.0;
/// The shortest time between two decreases, so that queries that met the same overload count once.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);
/// How long after a decrease the service counts as overloaded.
const LIMITING_HOLD: Duration = Duration::from_secs(1);
/// The share of the limit that must be in flight for a success to raise the limit.
const BUSY_SHARE: f64 = 0.8;
/// The shortest time that a refused caller is asked to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// The longest time that a refused caller is asked to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// The outcome of an admitted query, as the limiter uses it.
#[closed_set]
pub enum QueryEnd {
    /// No shard was missing because of overload.
    Served,
    /// Some shard was missing because of overload.
    Overloaded,
    /// The caller disconnected; the limit does not change.
    Abandoned,
}

/// Whether a query may run.
#[value]
pub enum AdmissionResult {
    /// It may run; [`Admission::release`] must follow.
    Admitted,
    /// It may not run.
    Refused {
        /// The time to wait before the next try.
        retry_after: Duration,
    },
}

/// The limits of one VM; each service has its own, so that no service crowds out another.
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

    /// Admits or refuses a query; `class_max` bounds its class in addition to the adaptive limit.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        class: QueryClass,
        class_max: u32,
    ) -> AdmissionResult {
        let limit = self.services.entry(service.clone()).or_insert_with(ServiceLimit::new);
        let of_class = limit.in_flight.get(&class).copied().unwrap_or(0);
        // One query of each class is always admitted, so that no class starves.
        let admitted = of_class == 0
            || (of_class < class_max && f64::from(limit.total()) < limit.share_of(class));
        if !admitted {
            return AdmissionResult::Refused { retry_after: limit.retry_after() };
        }
        *limit.in_flight.entry(class).or_insert(0) += 1;
        AdmissionResult::Admitted
    }

    /// Ends an admitted query and adjusts the limit to its outcome.
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

    /// Tells whether overload lowered the limit of `service` within `LIMITING_HOLD`.
    pub fn is_limiting(&self, service: &ServiceName, now: Instant) -> bool {
        let decreased_at = self.services.get(service).and_then(|limit| limit.decreased_at);
        decreased_at.is_some_and(|at| now.saturating_duration_since(at) < LIMITING_HOLD)
    }

    /// Returns the number of queries of `service` in flight.
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

    /// Returns the number of queries in flight below which a class is admitted.
    fn share_of(&self, class: QueryClass) -> f64 {
        match class {
            QueryClass::Lookup => self.limit,
            QueryClass::Sweep => self.limit * 0.9,
            QueryClass::Archive => self.limit * 0.5,
        }
    }

    fn decrease(&mut self, now: Instant) {
        // Queries admitted before the last decrease do not show its effect.
        let pause = DECREASE_PAUSE.max(self.latency_average * 2);
        let recent = self.decreased_at.is_some_and(|at| now.saturating_duration_since(at) < pause);
        if !recent {
            // Lowering a limit far above the queries in flight would take long to have an effect.
            let effective = self.limit.min(f64::from(self.total() + 1) * IN_FLIGHT_MARGIN);
            self.limit = (effective * DECREASE_FACTOR).max(LIMIT_MIN);
            self.decreased_at = Some(now);
        }
    }

    fn retry_after(&self) -> Duration {
        (self.latency_average * 2).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}
