//! What several VMs together find of one upstream that does not answer.
//!
//! One attempt that had to be hedged shows nothing of its upstream: a part of all requests is slow.
//! Two VMs that find it silent at about the same time do, since it answered neither.

use std::time::{Duration, Instant};

use papayastack_macros::value;

use crate::ids::VmAddress;
use crate::routing::UpstreamIndex;

/// How close together two VMs must find an upstream silent for it to be avoided.
const SILENCE_REPORTS_SPAN: Duration = Duration::from_millis(150);
/// How long an upstream is avoided after the first such finding: about as long as a pause.
const SILENCE_HOLD_INITIAL: Duration = Duration::from_millis(250);
/// How long it is avoided at most, doubled with each finding soon after the one before.
const SILENCE_HOLD_MAX: Duration = Duration::from_secs(4);
/// How soon after a hold the next finding counts as the same trouble.
const SILENCE_RELAPSE: Duration = Duration::from_secs(1);

/// An upstream that is avoided since several VMs found it silent.
#[value]
#[derive(Copy)]
pub struct SilenceHold {
    /// The upstream.
    pub upstream: UpstreamIndex,
    /// How long it is avoided.
    pub length: Duration,
}

/// Who found an upstream silent.
#[value]
#[derive(Copy)]
pub(crate) enum Witness {
    /// This VM.
    Own,
    /// Another VM.
    Peer(VmAddress),
}

/// What several VMs together found of one upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct Silence {
    report: Option<(Witness, Instant)>,
    hold: Duration,
    held_until: Option<Instant>,
}

impl Silence {
    /// Tells whether the upstream is avoided at `now`.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| until > now)
    }

    /// Takes a finding; the second one within a short time, by another VM, starts a hold.
    pub(crate) fn reported(&mut self, witness: Witness, now: Instant) -> Option<Duration> {
        if self.is_held(now) {
            return None;
        }
        let confirms = self.report.is_some_and(|(earlier, at)| {
            earlier != witness && now.saturating_duration_since(at) <= SILENCE_REPORTS_SPAN
        });
        if !confirms {
            self.report = Some((witness, now));
            return None;
        }
        let relapsed = self
            .held_until
            .is_some_and(|until| now.saturating_duration_since(until) <= SILENCE_RELAPSE);
        self.hold =
            if relapsed { (self.hold * 2).min(SILENCE_HOLD_MAX) } else { SILENCE_HOLD_INITIAL };
        self.held_until = Some(now + self.hold);
        self.report = None;
        Some(self.hold)
    }
}
