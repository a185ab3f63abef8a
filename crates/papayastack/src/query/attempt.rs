//! The outcome of one attempt at one shard.

use papayastack_macros::{closed_set, message};

use crate::outcome::{MissingReason, Partial};

/// The outcome of an attempt; `P` is the type of the part that an upstream returns.
#[message]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome<P = Partial> {
    /// The upstream answered.
    Answered(P),
    /// The attempt did not run.
    NotRun(NotRunReason),
    /// The attempt may have run but gave no answer.
    Failed(FailureReason),
}

/// The reason why an attempt did not run.
#[closed_set]
pub enum NotRunReason {
    /// The upstream had no free slot.
    Shed,
    /// The upstream is leaving.
    Draining,
    /// The queue for the upstream is full.
    QueueFull,
    /// The queue for the upstream is too long for the deadline.
    WouldMissDeadline,
    /// The upstream no longer holds the snapshot.
    SnapshotRetired,
    /// The upstream does not hold the shard.
    WrongShard,
    /// No connection to the upstream could be made.
    ConnectFailed,
    /// The VM that received the attempt does not know the upstream.
    UnknownUpstream,
    /// The address now belongs to another upstream.
    AddressReused,
    /// The attempt was cancelled while it waited.
    Cancelled,
}

/// The reason why an attempt that may have run gave no answer.
#[closed_set]
pub enum FailureReason {
    /// The connection broke before the answer.
    AnswerLost,
    /// The answer could not be decoded or belongs to another request.
    Malformed,
    /// The deadline passed.
    DeadlineExceeded,
    /// The attempt was cancelled while it ran.
    Cancelled,
    /// The link to the VM that owns the upstream broke.
    OwnerLost,
    /// The upstream ran the request and returned an error.
    UpstreamFailed,
}

impl<P> AttemptOutcome<P> {
    /// Returns the reason that a shard is missing if this was its last attempt.
    pub(crate) fn missing_reason(&self) -> MissingReason {
        match self {
            Self::Answered(_) => MissingReason::DeadlineExceeded,
            Self::NotRun(reason) => match reason {
                NotRunReason::Shed | NotRunReason::QueueFull | NotRunReason::WouldMissDeadline => {
                    MissingReason::Overloaded
                }
                NotRunReason::SnapshotRetired => MissingReason::SnapshotRetired,
                NotRunReason::Cancelled => MissingReason::Cancelled,
                NotRunReason::Draining
                | NotRunReason::WrongShard
                | NotRunReason::ConnectFailed
                | NotRunReason::AddressReused
                | NotRunReason::UnknownUpstream => MissingReason::ReplicasUnavailable,
            },
            Self::Failed(FailureReason::DeadlineExceeded) => MissingReason::DeadlineExceeded,
            Self::Failed(FailureReason::Cancelled) => MissingReason::Cancelled,
            Self::Failed(_) => MissingReason::ReplicasUnavailable,
        }
    }
}
