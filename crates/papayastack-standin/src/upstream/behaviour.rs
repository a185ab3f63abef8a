//! The behaviour of a stand-in upstream, which can be changed while the upstream runs.

use std::time::Duration;

use papayastack_macros::message;
use rand::Rng;

/// The time that one search or submission holds a slot: a fixed part plus an exponentially
/// distributed part.
#[message]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// The fixed part in microseconds.
    pub base_us: u64,
    /// The mean of the exponentially distributed part in microseconds.
    pub spread_us: u64,
}

impl ServiceTime {
    /// Returns the mean service time.
    pub fn mean(self) -> Duration {
        Duration::from_micros(self.base_us + self.spread_us)
    }

    /// Samples one service time.
    pub(crate) fn sample(self, random: &mut impl Rng) -> Duration {
        // `random` returns a number in [0, 1), so `uniform` is never 0 and its logarithm is finite.
        let uniform: f64 = 1.0 - random.random::<f64>();
        let spread = Duration::from_micros(self.spread_us).mul_f64(-uniform.ln());
        Duration::from_micros(self.base_us) + spread
    }
}

/// How `GET /load` reports the load of a stand-in upstream.
#[message]
#[derive(Copy)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LoadReport {
    /// The actual load.
    Honest,
    /// A cached report that is refreshed at an interval.
    Lagging {
        /// The time between refreshes in milliseconds.
        refresh_ms: u64,
    },
    /// Fixed values, whatever the actual load is.
    Lying {
        /// The reported number of busy slots.
        slots_busy: u32,
        /// The reported number of waiting requests.
        queue: u32,
    },
}

/// The behaviour of one stand-in upstream; the default has no faults.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamBehaviour {
    /// Connections are closed and new ones refused.
    pub dead: bool,
    /// New searches and submissions are refused with `Draining`.
    pub draining: bool,
    /// The time that a request holds a slot.
    pub service_time: ServiceTime,
    /// The share of requests, in thousandths, that take `straggler_factor` times as long.
    pub straggler_permille: u32,
    /// The factor on the service time of a straggler.
    pub straggler_factor: u32,
    /// How long the upstream is cold after its start or after `dead` is reset, in milliseconds.
    pub cold_ms: u64,
    /// The factor on the service time while the upstream is cold.
    pub cold_factor: u32,
    /// The maximum number of requests that wait for a slot; further ones are shed.
    pub queue_max: u32,
    /// The share of requests, in thousandths, that are shed although a slot is free.
    pub shed_permille: u32,
    /// The retry delay in the reply to a shed request, in milliseconds.
    pub shed_retry_after_ms: u64,
    /// The share of requests, in thousandths, that run but whose connection closes unanswered.
    pub lost_answer_permille: u32,
    /// The share of searches, in thousandths, that run but are answered with invalid JSON.
    pub malformed_permille: u32,
    /// The share of searches, in thousandths, that get the reply to an earlier search.
    pub crossed_permille: u32,
    /// Cancellations are acknowledged but not acted on.
    pub ignores_cancel: bool,
    /// Searches continue past their deadline.
    pub ignores_deadline: bool,
    /// How `GET /load` reports the load.
    pub load_report: LoadReport,
}

impl Default for UpstreamBehaviour {
    fn default() -> Self {
        Self {
            dead: false,
            draining: false,
            service_time: ServiceTime { base_us: 8_000, spread_us: 12_000 },
            straggler_permille: 0,
            straggler_factor: 20,
            cold_ms: 0,
            cold_factor: 10,
            queue_max: 8,
            shed_permille: 0,
            shed_retry_after_ms: 50,
            lost_answer_permille: 0,
            malformed_permille: 0,
            crossed_permille: 0,
            ignores_cancel: false,
            ignores_deadline: false,
            load_report: LoadReport::Honest,
        }
    }
}
