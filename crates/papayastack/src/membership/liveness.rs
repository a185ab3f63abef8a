//! The state machine of one peer's liveness: alive, suspect or dead.

use std::time::Instant;

use papayastack_macros::value;
use statig::prelude::*;

/// An event that affects a peer's liveness.
#[value]
pub(crate) enum Evidence {
    /// A record that the peer published about itself arrived.
    RecordReceived {
        /// The sequence of the record.
        sequence: u64,
    },
    /// This VM or another one suspects the peer.
    Suspected {
        /// The sequence of the peer's last record that the suspecting VM had.
        sequence: u64,
        /// When this VM learnt of the suspicion.
        now: Instant,
        /// When the peer is declared dead unless it refutes.
        deadline: Instant,
    },
    /// This VM or another one declared the peer dead.
    Dead {
        /// The sequence of the peer's last record that the declaring VM had.
        sequence: u64,
        /// When this VM learnt of the declaration.
        now: Instant,
    },
    /// A datagram came from the peer itself.
    DatagramReceived {
        /// When the datagram came.
        now: Instant,
        /// The new deadline of a suspicion that is open.
        deadline: Instant,
    },
    /// This VM was stalled and could receive nothing, so silence proves nothing.
    LocalStall {
        /// The new deadline of a suspicion that is open.
        deadline: Instant,
    },
}

/// The data that a peer's liveness keeps in every state.
#[value]
#[derive(Default)]
pub(crate) struct Liveness {
    /// The sequence that a record of the peer must exceed to refute the claims against it.
    pub(crate) claimed_sequence: u64,
}

impl Liveness {
    fn raise_claimed_sequence(&mut self, sequence: u64) {
        self.claimed_sequence = self.claimed_sequence.max(sequence);
    }
}

#[state_machine(
    initial = "State::alive()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Liveness {
    /// The peer counts as live and nothing is claimed against it.
    #[state]
    fn alive(&mut self, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::Suspected { sequence, now, deadline } => {
                self.raise_claimed_sequence(*sequence);
                Transition(State::suspect(*now, *deadline))
            }
            Evidence::Dead { sequence, now } => {
                self.raise_claimed_sequence(*sequence);
                Transition(State::dead(*now))
            }
            _ => Handled,
        }
    }

    /// The peer still counts as live but is declared dead unless it refutes by `deadline`.
    #[state]
    fn suspect(
        &mut self,
        since: &mut Instant,
        deadline: &mut Instant,
        event: &Evidence,
    ) -> Outcome<State> {
        match event {
            Evidence::RecordReceived { sequence } if *sequence > self.claimed_sequence => {
                Transition(State::alive())
            }
            Evidence::Suspected { sequence, .. } => {
                self.raise_claimed_sequence(*sequence);
                Handled
            }
            Evidence::Dead { sequence, now } => {
                self.raise_claimed_sequence(*sequence);
                Transition(State::dead(*now))
            }
            Evidence::DatagramReceived { now, deadline: extended } => {
                *since = *now;
                *deadline = *extended;
                Handled
            }
            Evidence::LocalStall { deadline: extended } => {
                *deadline = *extended;
                Handled
            }
            _ => Handled,
        }
    }

    /// The peer is out of the view; a newer record of it still refutes the claim.
    #[state]
    fn dead(&mut self, since: &mut Instant, event: &Evidence) -> Outcome<State> {
        match event {
            Evidence::RecordReceived { sequence } if *sequence > self.claimed_sequence => {
                Transition(State::alive())
            }
            Evidence::Dead { sequence, now } => {
                self.raise_claimed_sequence(*sequence);
                *since = *now;
                Handled
            }
            _ => Handled,
        }
    }
}
