//! A streaming estimate of one quantile in constant memory.

use std::time::Duration;

/// Estimates one quantile and the mean of a stream of durations.
///
/// A sample above the estimate raises it by a step times the quantile, a sample below lowers it by
/// a step times one minus the quantile; the estimate converges to where both balance.
#[derive(Debug, Clone)]
pub struct QuantileTracker {
    estimate_us: f64,
    mean_us: f64,
    samples: u64,
}

/// The smallest step, relative to the estimate.
const STEP_SHARE_MIN: f64 = 0.01;
/// The smallest weight of a new sample in the mean.
const MEAN_SHARE_MIN: f64 = 0.02;
/// The number of samples from which on the estimates are used.
const SAMPLES_MIN: u64 = 16;
/// The smallest step in microseconds, so that an estimate near zero can rise.
const STEP_MIN_US: f64 = 1.0;

impl QuantileTracker {
    /// Starts without samples.
    pub fn new() -> Self {
        Self { estimate_us: 0.0, mean_us: 0.0, samples: 0 }
    }

    /// Adds a sample to the estimate of the quantile given in thousandths.
    pub fn record(&mut self, sample: Duration, quantile_permille: u32) {
        let sample_us = sample.as_secs_f64() * 1e6;
        let quantile = f64::from(quantile_permille) / 1000.0;
        self.samples += 1;
        if self.samples == 1 {
            self.estimate_us = sample_us;
            self.mean_us = sample_us;
            return;
        }
        // Early samples have a large weight, later ones a small one.
        let newest_share = 1.0 / self.samples as f64;
        self.mean_us += (sample_us - self.mean_us) * newest_share.max(MEAN_SHARE_MIN);
        let step_us = (self.estimate_us * newest_share.max(STEP_SHARE_MIN)).max(STEP_MIN_US);
        if sample_us > self.estimate_us {
            self.estimate_us += step_us * quantile;
        } else {
            self.estimate_us -= step_us * (1.0 - quantile);
        }
    }

    /// Returns the estimated quantile, or `None` before `SAMPLES_MIN` samples.
    pub fn estimate(&self) -> Option<Duration> {
        (self.samples >= SAMPLES_MIN).then(|| from_us(self.estimate_us))
    }

    /// Returns the mean, or `None` before `SAMPLES_MIN` samples.
    pub fn mean(&self) -> Option<Duration> {
        (self.samples >= SAMPLES_MIN).then(|| from_us(self.mean_us))
    }
}

impl Default for QuantileTracker {
    fn default() -> Self {
        Self::new()
    }
}

fn from_us(value_us: f64) -> Duration {
    Duration::from_secs_f64(value_us.max(0.0) / 1e6)
}
