//! The progress of each shard and attempt of one request.

use std::time::Instant;

use crate::ids::AttemptId;
use crate::outcome::MissingReason;
use crate::routing::UpstreamIndex;

/// The state of one shard.
#[derive(Debug)]
pub(crate) struct ShardProgress<P> {
    pub(crate) state: ShardState<P>,
    /// Positions of the replicas asked since the last pause.
    pub(crate) tried: Vec<usize>,
    /// Attempts that may have reached an upstream.
    pub(crate) sends: u32,
    /// Attempts that have not ended.
    pub(crate) running: u32,
    pub(crate) latest_attempt: Option<AttemptId>,
    pub(crate) earlier_attempts: Vec<AttemptId>,
    /// Pauses before a retry so far, which determine the length of the next one.
    pub(crate) retry_pauses: u32,
    pub(crate) hedged: bool,
    /// When the timer of the next hedge or retry is due.
    pub(crate) timer_due: Option<Instant>,
    /// Replicas that reported the pinned snapshot as retired.
    pub(crate) retired_replicas: usize,
    /// The reason to report if the shard ends without an answer.
    pub(crate) missing_reason: MissingReason,
}

impl<P> ShardProgress<P> {
    /// Starts without attempts.
    pub(crate) fn new() -> Self {
        Self {
            state: ShardState::Open,
            tried: Vec::new(),
            sends: 0,
            running: 0,
            latest_attempt: None,
            earlier_attempts: Vec::new(),
            retry_pauses: 0,
            hedged: false,
            timer_due: None,
            retired_replicas: 0,
            missing_reason: MissingReason::DeadlineExceeded,
        }
    }
}

/// Whether a shard is open, answered or given up.
#[derive(Debug)]
pub(crate) enum ShardState<P> {
    Open,
    Answered(P),
    GivenUp,
}

/// One attempt that was sent.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) shard: usize,
    pub(crate) upstream: UpstreamIndex,
    pub(crate) sent_at: Instant,
    /// When the reply arrived; `None` if none has.
    pub(crate) ended_at: Option<Instant>,
    pub(crate) hedge: bool,
    pub(crate) running: bool,
}
