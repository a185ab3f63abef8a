//! How a stand-in upstream behaves; everything here can be switched while it runs.

use std::time::Duration;

use papayastack_macros::message;
use rand::Rng;

/// The time that one search or submission holds a slot: a base plus an exponential part.
#[message]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// The least time in microseconds.
    pub base_us: u64,
    /// The mean of the exponential part in microseconds.
    pub spread_us: u64,
}

impl ServiceTime {
    /// Returns the mean.
    pub fn mean(self) -> Duration {
        Duration::from_micros(self.base_us + self.spread_us)
    }

    /// Draws one service time.
    pub(crate) fn draw(self, random: &mut impl Rng) -> Duration {
        // The open end keeps the logarithm finite.
        let uniform: f64 = 1.0 - random.random::<f64>();
        let spread = Duration::from_micros(self.spread_us).mul_f64(-uniform.ln());
        Duration::from_micros(self.base_us) + spread
    }
}

/// What `GET /load` says.
#[message]
#[derive(Copy)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum LoadReport {
    /// The truth.
    Honest,
    /// A report that is refreshed only every so often.
    Lagging {
        /// The time between refreshes in milliseconds.
        refresh_ms: u64,
    },
    /// A fixed report.
    Lying {
        /// The slots said to be busy.
        slots_busy: u32,
        /// The queue said to wait.
        queue: u32,
    },
}

/// The behaviour of one stand-in upstream; the default is one without faults.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamBehaviour {
    /// Connections are cut and refused.
    pub dead: bool,
    /// New work is answered `Draining`.
    pub draining: bool,
    /// The time that work holds a slot.
    pub service_time: ServiceTime,
    /// Requests, in thousandths, that take `straggler_factor` times longer.
    pub straggler_permille: u32,
    /// How much longer a straggler takes.
    pub straggler_factor: u32,
    /// How long after its start or revival the upstream is cold, in milliseconds.
    pub cold_ms: u64,
    /// How much longer work takes while cold.
    pub cold_factor: u32,
    /// Requests that may wait for a slot; more are shed.
    pub queue_max: u32,
    /// Requests, in thousandths, that are shed although a slot is free.
    pub shed_permille: u32,
    /// What a shed request is told to wait, in milliseconds.
    pub shed_retry_after_ms: u64,
    /// Requests, in thousandths, that run but whose answer is cut off.
    pub lost_answer_permille: u32,
    /// Searches, in thousandths, that run but are answered with text that is not a reply.
    pub malformed_permille: u32,
    /// Searches, in thousandths, that are answered with the reply to an earlier search.
    pub crossed_permille: u32,
    /// Cancellations are acknowledged but not acted on.
    pub ignores_cancel: bool,
    /// Searches run on past their deadline.
    pub ignores_deadline: bool,
    /// What `GET /load` says.
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
