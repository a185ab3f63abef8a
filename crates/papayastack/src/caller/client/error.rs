//! The error that the callers' client returns for a failed call.

use papayastack_macros::value;

use crate::caller::protocol::RefusalAnswer;
use crate::outcome::Certainty;

/// Says why a call got no answer, and whether it may have run.
#[value]
pub enum CallError {
    /// A VM refused the request.
    Refused(RefusalAnswer),
    /// No VM could be reached; nothing was sent.
    NotConnected {
        /// A readable description of the last failure.
        detail: String,
    },
    /// The request was sent, but no answer came in time.
    NoAnswer {
        /// A readable description of the last failure.
        detail: String,
    },
    /// A VM's answer does not conform to this protocol.
    Unexpected {
        /// The HTTP status.
        status: u16,
        /// A readable description of the fault.
        detail: String,
    },
}

impl CallError {
    /// Returns whether the request is known not to have run.
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
                write!(formatter, "no VM could be reached: {detail}; check the entry addresses")
            }
            Self::NoAnswer { detail } => write!(formatter, "no answer came: {detail}"),
            Self::Unexpected { status, detail } => {
                write!(formatter, "unexpected answer with status {status}: {detail}")
            }
        }
    }
}

impl std::error::Error for CallError {}
