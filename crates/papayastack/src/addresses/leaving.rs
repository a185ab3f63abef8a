//! The state machine of a VM that leaves without interrupting a request.

use std::time::{Duration, Instant};

use papayastack_macros::{closed_set, value};
use statig::prelude::*;

/// How long other VMs may still list a VM in address answers after it announced that it is leaving.
///
/// Such an announcement and a changed lifetime reach all VMs within 3 s.
const PROPAGATION_MAX: Duration = Duration::from_secs(3);

/// The phases of a VM, in order.
#[closed_set]
pub enum LeavingPhase {
    /// The VM accepts requests and is listed in address answers.
    Live,
    /// The VM is no longer listed, but accepts requests until all answers that list it expire.
    Announced,
    /// The VM finishes the requests in flight and accepts no new ones.
    Draining,
    /// No request is in flight; the process may exit.
    Gone,
}

impl LeavingPhase {
    /// Tells whether new requests are accepted.
    pub fn accepts(self) -> bool {
        match self {
            Self::Live | Self::Announced => true,
            Self::Draining | Self::Gone => false,
        }
    }
}

/// Decides when a leaving VM may stop accepting requests and when it may exit.
pub struct Leaving {
    machine: StateMachine<LeavingMachine>,
}

impl Leaving {
    /// Starts as a live VM; `lifetime` is how long callers may keep address answers.
    pub fn new(lifetime: Duration, now: Instant) -> Self {
        let mut machine =
            LeavingMachine { lifetime, earlier_answers_expire_at: now }.state_machine();
        machine.init();
        Self { machine }
    }

    /// Changes how long callers may keep address answers, as a new configuration says.
    ///
    /// Answers given before the change keep the lifetime that they were given with.
    pub fn set_lifetime(&mut self, lifetime: Duration, now: Instant) {
        self.machine.handle(&Event::Lifetime { lifetime, now });
    }

    /// Starts to leave; further calls have no effect.
    pub fn begin(&mut self, now: Instant) {
        self.machine.handle(&Event::Begin { now });
    }

    /// Advances as far as the time and the number of requests in flight allow.
    ///
    /// Requests in flight are those of callers and those relayed for other VMs.
    pub fn advance(&mut self, in_flight: usize, now: Instant) -> LeavingPhase {
        // Two transitions lead from announced to gone.
        for _ in 0..2 {
            self.machine.handle(&Event::Progress { in_flight, now });
        }
        self.phase()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> LeavingPhase {
        match self.machine.state() {
            State::Live {} => LeavingPhase::Live,
            State::Announced { .. } => LeavingPhase::Announced,
            State::Draining {} => LeavingPhase::Draining,
            State::Gone {} => LeavingPhase::Gone,
        }
    }

    /// Returns when the last answer that may list the VM expires; `None` unless in `Announced`.
    pub fn answers_expire_at(&self) -> Option<Instant> {
        match self.machine.state() {
            State::Announced { answers_expire_at } => Some(*answers_expire_at),
            State::Live {} | State::Draining {} | State::Gone {} => None,
        }
    }
}

impl std::fmt::Debug for Leaving {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Leaving({:?})", self.phase())
    }
}

/// An input of the state machine.
#[value]
pub(crate) enum Event {
    /// The lifetime of address answers changes.
    Lifetime {
        /// The new lifetime.
        lifetime: Duration,
        /// When it changes on this VM.
        now: Instant,
    },
    /// The VM is told to leave.
    Begin {
        /// When the VM is told.
        now: Instant,
    },
    /// Time has passed or requests have finished.
    Progress {
        /// The number of requests in flight.
        in_flight: usize,
        /// The current time.
        now: Instant,
    },
}

/// The data shared by the states of the machine.
#[value]
pub(crate) struct LeavingMachine {
    lifetime: Duration,
    /// When the last answer with an earlier lifetime expires.
    earlier_answers_expire_at: Instant,
}

impl LeavingMachine {
    fn change_lifetime(&mut self, lifetime: Duration, now: Instant) {
        self.earlier_answers_expire_at = self.last_answer_expiry(now);
        self.lifetime = lifetime;
    }

    /// Returns the latest expiry of any answer given before all VMs know of a change made at `now`.
    fn last_answer_expiry(&self, now: Instant) -> Instant {
        self.earlier_answers_expire_at.max(now + PROPAGATION_MAX + self.lifetime)
    }
}

#[state_machine(
    initial = "State::live()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl LeavingMachine {
    /// The VM is listed in address answers.
    #[state]
    fn live(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Lifetime { lifetime, now } => {
                self.change_lifetime(*lifetime, *now);
                Handled
            }
            Event::Begin { now } => Transition(State::announced(self.last_answer_expiry(*now))),
            Event::Progress { .. } => Handled,
        }
    }

    /// The VM waits for the last answer that may list it to expire.
    #[state]
    fn announced(&mut self, answers_expire_at: &mut Instant, event: &Event) -> Outcome<State> {
        match event {
            Event::Progress { now, .. } if now >= answers_expire_at => {
                Transition(State::draining())
            }
            _ => Handled,
        }
    }

    /// The VM finishes the requests in flight.
    #[state]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Progress { in_flight: 0, .. } => Transition(State::gone()),
            _ => Handled,
        }
    }

    /// The VM has no request left and may exit.
    #[state]
    fn gone() -> Outcome<State> {
        Handled
    }
}
