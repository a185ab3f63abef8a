//! The progress of each shard and attempt of one query.

use std::time::Instant;

use crate::ids::AttemptId;
use crate::outcome::MissingReason;
use crate::routing::UpstreamIndex;

/// The state of one shard.
#[derive(Debug)]
pub(crate) struct Progress<P> {
    pub(crate) state: ShardState<P>,
    /// Positions of the replicas asked since the last pause.
    pub(crate) tried: Vec<usize>,
    /// Attempts that may have reached an upstream.
    pub(crate) sends: u32,
    pub(crate) running: u32,
    pub(crate) latest_attempt: Option<AttemptId>,
    pub(crate) earlier_attempts: Vec<AttemptId>,
    pub(crate) retries: u32,
    pub(crate) hedged: bool,
    pub(crate) wake: Option<Instant>,
    pub(crate) retired_by: usize,
    pub(crate) last_problem: MissingReason,
}

impl<P> Progress<P> {
    /// Starts without attempts.
    pub(crate) fn new() -> Self {
        Self {
            state: ShardState::Open,
            tried: Vec::new(),
            sends: 0,
            running: 0,
            latest_attempt: None,
            earlier_attempts: Vec::new(),
            retries: 0,
            hedged: false,
            wake: None,
            retired_by: 0,
            last_problem: MissingReason::DeadlineExceeded,
        }
    }
}

/// Whether a shard has its answer.
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
    /// When its reply came, or nothing while none has.
    pub(crate) ended_at: Option<Instant>,
    pub(crate) hedge: bool,
    pub(crate) running: bool,
}
