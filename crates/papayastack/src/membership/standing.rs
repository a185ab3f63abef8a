//! The state machine of one peer's standing: alive, suspect or dead.

use std::time::Instant;

use papayastack_macros::value;
use statig::prelude::*;

/// What bears on a peer's standing.
#[value]
pub(crate) enum Evidence {
    /// The peer stated something about itself.
    Stated {
        /// The sequence of the statement.
        sequence: u64,
    },
    /// Somebody suspects the peer.
    Suspected {
        /// The last statement of the peer that the suspicion knows.
        sequence: u64,
        /// When the suspicion was raised here.
        now: Instant,
        /// When the suspicion becomes a death.
        deadline: Instant,
    },
    /// Somebody declared the peer dead.
    Dead {
        /// The last statement of the peer that the declaration knows.
        sequence: u64,
        /// When it was learnt here.
        now: Instant,
    },
    /// This VM heard the peer itself.
    Heard {
        /// When it was heard.
        now: Instant,
        /// When a suspicion that is open becomes a death.
        deadline: Instant,
    },
    /// This VM stood still, so that nobody could be heard.
    Stalled {
        /// When a suspicion that is open becomes a death.
        deadline: Instant,
    },
}

/// The memory of a peer's standing across its states.
#[value]
#[derive(Default)]
pub(crate) struct Standing {
    /// The sequence that the peer must exceed to refute what is claimed about it.
    pub(crate) claimed_sequence: u64,
}

impl Standing {
    fn raise_claim(&mut self, sequence: u64) {
        self.claimed_sequence = self.claimed_sequence.max(sequence);
    }
}

#[state_machine(
    initial = "State::alive()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Standing {
    /// The peer counts as live.
    #[state]
    fn alive(&mut self, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::Suspected { sequence, now, deadline } => {
                self.raise_claim(*sequence);
                Transition(State::suspect(*now, *deadline))
            }
            Evidence::Dead { sequence, now } => {
                self.raise_claim(*sequence);
                Transition(State::dead(*now))
            }
            _ => Handled,
        }
    }

    /// The peer still counts as live, and has until `deadline` to refute.
    #[state]
    fn suspect(
        &mut self,
        since: &mut Instant,
        deadline: &mut Instant,
        event: &Evidence,
    ) -> Outcome<State> {
        match event {
            Evidence::Stated { sequence } if *sequence > self.claimed_sequence => {
                Transition(State::alive())
            }
            Evidence::Suspected { sequence, .. } => {
                self.raise_claim(*sequence);
                Handled
            }
            Evidence::Dead { sequence, now } => {
                self.raise_claim(*sequence);
                Transition(State::dead(*now))
            }
            Evidence::Heard { now, deadline: later } => {
                *since = *now;
                *deadline = *later;
                Handled
            }
            Evidence::Stalled { deadline: later } => {
                *deadline = *later;
                Handled
            }
            _ => Handled,
        }
    }

    /// The peer is not in the view; it may still refute.
    #[state]
    fn dead(&mut self, since: &mut Instant, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::Stated { sequence } if *sequence > self.claimed_sequence => {
                Transition(State::alive())
            }
            Evidence::Dead { sequence, now } => {
                self.raise_claim(*sequence);
                *since = *now;
                Handled
            }
            _ => Handled,
        }
    }
}
