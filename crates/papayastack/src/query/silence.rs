//! Detection of silent upstreams from the reports of several VMs.
//!
//! A VM reports an upstream as silent when an attempt has no answer at the time of its hedge. One
//! such report proves little, since some requests are always slow. Two reports by different VMs
//! within a short time mean that the upstream does not answer.

use std::time::{Duration, Instant};

use papayastack_macros::value;

use crate::ids::VmAddress;
use crate::routing::UpstreamIndex;

/// The maximum time between reports of two VMs for the second to confirm the first.
const SILENCE_REPORT_WINDOW: Duration = Duration::from_millis(150);
/// The length of the first hold after a confirmed report: about as long as an upstream pauses.
const SILENCE_HOLD_INITIAL: Duration = Duration::from_millis(250);
/// The longest hold; each relapse doubles the previous hold up to this.
const SILENCE_HOLD_MAX: Duration = Duration::from_secs(4);
/// The time after a hold within which the next confirmed report counts as a relapse.
const SILENCE_RELAPSE_WINDOW: Duration = Duration::from_secs(1);

/// An upstream that is avoided because several VMs found it silent.
#[value]
#[derive(Copy)]
pub struct SilenceHold {
    /// The upstream.
    pub upstream: UpstreamIndex,
    /// How long it is avoided.
    pub length: Duration,
}

/// The VM that reported an upstream as silent.
#[value]
#[derive(Copy)]
pub(crate) enum SilenceReporter {
    /// This VM.
    ThisVm,
    /// Another VM.
    Peer(VmAddress),
}

/// The last unconfirmed report and the hold of one upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct SilenceDetector {
    report: Option<(SilenceReporter, Instant)>,
    hold: Duration,
    held_until: Option<Instant>,
}

impl SilenceDetector {
    /// Tells whether the upstream is avoided at `now`.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| until > now)
    }

    /// Tells whether another VM reported the upstream within `SILENCE_REPORT_WINDOW`.
    pub(crate) fn is_reported_by_peer(&self, now: Instant) -> bool {
        self.report.is_some_and(|(reporter, at)| {
            reporter != SilenceReporter::ThisVm
                && now.saturating_duration_since(at) <= SILENCE_REPORT_WINDOW
        })
    }

    /// Records a report and returns the length of the hold if it starts one.
    ///
    /// A hold starts with a report that confirms another VM's within `SILENCE_REPORT_WINDOW`.
    pub(crate) fn add_report(
        &mut self,
        reporter: SilenceReporter,
        now: Instant,
    ) -> Option<Duration> {
        if self.is_held(now) {
            return None;
        }
        let confirms = self.report.is_some_and(|(earlier, at)| {
            earlier != reporter && now.saturating_duration_since(at) <= SILENCE_REPORT_WINDOW
        });
        if !confirms {
            self.report = Some((reporter, now));
            return None;
        }
        let relapsed = self
            .held_until
            .is_some_and(|until| now.saturating_duration_since(until) <= SILENCE_RELAPSE_WINDOW);
        self.hold =
            if relapsed { (self.hold * 2).min(SILENCE_HOLD_MAX) } else { SILENCE_HOLD_INITIAL };
        self.held_until = Some(now + self.hold);
        self.report = None;
        Some(self.hold)
    }
}
