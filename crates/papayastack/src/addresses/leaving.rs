//! The machine of a VM that leaves: from live to gone without cutting a request.

use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, value};
use statig::prelude::*;

/// How long other VMs may go on naming a VM that has said that it is leaving.
///
/// It covers the spreading of the news and of a changed lifetime, which are in force within 3 s.
const NEWS_BOUND: Duration = Duration::from_secs(3);

/// The phases of a VM's life, in order.
#[closed_set]
pub enum LeavingPhase {
    /// The VM takes work and is handed out.
    Live,
    /// The VM takes work, since answers that name it have not lapsed, but is not handed out.
    Announced,
    /// The VM finishes what it has and accepts nothing new.
    Draining,
    /// Nothing is in flight; the process may exit.
    Gone,
}

impl LeavingPhase {
    /// Says whether new requests are accepted.
    pub fn accepts(self) -> bool {
        match self {
            Self::Live | Self::Announced => true,
            Self::Draining | Self::Gone => false,
        }
    }
}

/// Decides when a leaving VM may stop accepting and when it may exit.
pub struct Leaving {
    machine: StateMachine<Departure>,
}

impl Leaving {
    /// Creates the machine of a live VM; `lifetime` is how long address answers may be kept.
    pub fn new(lifetime: Duration, now: Instant) -> Self {
        let mut machine = Departure { lifetime, earlier_lapse_at: now }.state_machine();
        machine.init();
        Self { machine }
    }

    /// Takes the lifetime of a new configuration; answers with the earlier one are still about.
    pub fn set_lifetime(&mut self, lifetime: Duration, now: Instant) {
        self.machine.handle(&Event::Lifetime { lifetime, now });
    }

    /// Starts to leave; again changes nothing.
    pub fn begin(&mut self, now: Instant) {
        self.machine.handle(&Event::Begin { now });
    }

    /// Moves on as far as the time and the number of requests in flight allow.
    ///
    /// Requests in flight are callers' and those relayed for other VMs.
    pub fn advance(&mut self, in_flight: usize, now: Instant) -> LeavingPhase {
        // Two steps lead from announced to gone.
        for _ in 0..2 {
            self.machine.handle(&Event::Progress { in_flight, now });
        }
        self.phase()
    }

    /// Returns the phase.
    pub fn phase(&self) -> LeavingPhase {
        match self.machine.state() {
            State::Live {} => LeavingPhase::Live,
            State::Announced { .. } => LeavingPhase::Announced,
            State::Draining {} => LeavingPhase::Draining,
            State::Gone {} => LeavingPhase::Gone,
        }
    }

    /// Returns when the last answer that may name the VM lapses, while it waits for that.
    pub fn lapses_at(&self) -> Option<Instant> {
        match self.machine.state() {
            State::Announced { lapses_at } => Some(*lapses_at),
            State::Live {} | State::Draining {} | State::Gone {} => None,
        }
    }
}

impl std::fmt::Debug for Leaving {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Leaving({:?})", self.phase())
    }
}

/// What moves the machine.
#[value]
pub(crate) enum Event {
    /// The lifetime of address answers changes.
    Lifetime {
        /// The new lifetime.
        lifetime: Duration,
        /// When it changes here.
        now: Instant,
    },
    /// The VM is told to leave.
    Begin {
        /// When it is told.
        now: Instant,
    },
    /// Time has passed or requests have finished.
    Progress {
        /// The requests that are in flight.
        in_flight: usize,
        /// The time.
        now: Instant,
    },
}

/// What the machine remembers across its states.
#[value]
pub(crate) struct Departure {
    lifetime: Duration,
    /// When the last answer with an earlier lifetime lapses.
    earlier_lapse_at: Instant,
}

impl Departure {
    fn take_lifetime(&mut self, lifetime: Duration, now: Instant) {
        self.earlier_lapse_at = self.lapse_of_answers_until(now);
        self.lifetime = lifetime;
    }

    /// Returns when answers lapse that are given until the others know what changes at `now`.
    fn lapse_of_answers_until(&self, now: Instant) -> Instant {
        self.earlier_lapse_at.max(now + NEWS_BOUND + self.lifetime)
    }
}

#[state_machine(
    initial = "State::live()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Departure {
    /// The VM is handed out.
    #[state]
    fn live(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Lifetime { lifetime, now } => {
                self.take_lifetime(*lifetime, *now);
                Handled
            }
            Event::Begin { now } => Transition(State::announced(self.lapse_of_answers_until(*now))),
            Event::Progress { .. } => Handled,
        }
    }

    /// The VM waits for the last answer that may name it to lapse.
    #[state]
    fn announced(&mut self, lapses_at: &mut Instant, event: &Event) -> Outcome<State> {
        match event {
            Event::Progress { now, .. } if now >= lapses_at => Transition(State::draining()),
            _ => Handled,
        }
    }

    /// The VM finishes what is in flight.
    #[state]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Progress { in_flight: 0, .. } => Transition(State::gone()),
            _ => Handled,
        }
    }

    /// The VM has nothing left to do.
    #[state]
    fn gone() -> Outcome<State> {
        Handled
    }
}
