//! Why a call gave no answer.

use papayastack_macros::value;

use crate::caller::protocol::RefusalAnswer;
use crate::outcome::Certainty;

/// Says why a call gave no answer, and how certainly it did not run.
#[value]
pub enum CallError {
    /// A VM refused it.
    Refused(RefusalAnswer),
    /// No VM could be reached; nothing was sent.
    NotConnected {
        /// The last cause, for a person.
        detail: String,
    },
    /// The request was sent, but no answer came in time.
    NoAnswer {
        /// The last cause, for a person.
        detail: String,
    },
    /// A VM's answer is not one of this protocol.
    Unexpected {
        /// The HTTP status.
        status: u16,
        /// The cause, for a person.
        detail: String,
    },
}

impl CallError {
    /// Returns what is known about the request.
    pub fn certainty(&self) -> Certainty {
        match self {
            Self::Refused(answer) => answer.refusal.certainty(),
            Self::NotConnected { .. } => Certainty::NotRun,
            Self::NoAnswer { .. } | Self::Unexpected { .. } => Certainty::OutcomeUnknown,
        }
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(answer) => write!(formatter, "refused: {}", answer.refusal.detail()),
            Self::NotConnected { detail } => {
                write!(formatter, "no VM could be reached: {detail}; are the addresses right?")
            }
            Self::NoAnswer { detail } => write!(formatter, "no answer came: {detail}"),
            Self::Unexpected { status, detail } => {
                write!(formatter, "unexpected answer with status {status}: {detail}")
            }
        }
    }
}

impl std::error::Error for CallError {}
