//! The state machine of one query: gathers partials of the pinned snapshot and merges them.

use std::collections::BTreeMap;
use std::time::Instant;

use rand::Rng;

use super::attempt::{AttemptOutcome, FailureReason};
use super::gather::Gather;
use super::spec::{Command, FanoutContext, FanoutCounts, FanoutSpec};
use crate::ids::{AttemptId, ServiceName, SnapshotVersion};
use crate::outcome::{Answer, Coverage, Partial};
use crate::routing::UpstreamIndex;

/// The state of one query.
#[derive(Debug)]
pub struct Fanout {
    gather: Gather<Partial>,
    service: ServiceName,
    snapshot: SnapshotVersion,
    hits_limit: usize,
    mismatched: u64,
    answer_taken: bool,
}

impl Fanout {
    /// Starts a query: one attempt for each shard.
    pub fn start<R: Rng>(
        spec: FanoutSpec,
        context: &mut FanoutContext<'_, R>,
    ) -> (Self, Vec<Command>) {
        let (gather_spec, service, snapshot, hits_limit) = spec.into_parts();
        let (gather, commands) = Gather::start(gather_spec, context);
        (
            Self { gather, service, snapshot, hits_limit, mismatched: 0, answer_taken: false },
            commands,
        )
    }

    /// Takes the reply to an attempt; an unknown, late or duplicate reply is dropped and counted.
    ///
    /// A partial of another shard or snapshot counts as a malformed answer.
    pub fn on_reply<R: Rng>(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        context: &mut FanoutContext<'_, R>,
    ) -> Vec<Command> {
        let outcome = match outcome {
            AttemptOutcome::Answered(partial) if self.is_mismatched(attempt, &partial) => {
                self.mismatched += u64::from(self.gather.is_running(attempt));
                AttemptOutcome::Failed(FailureReason::Malformed)
            }
            other => other,
        };
        self.gather.on_reply(attempt, outcome, context)
    }

    /// Sends the hedges and retries that are due; after the deadline, gives up the open shards.
    pub fn on_tick<R: Rng>(&mut self, context: &mut FanoutContext<'_, R>) -> Vec<Command> {
        self.gather.on_tick(context)
    }

    /// Returns when [`Self::on_tick`] is needed next.
    pub fn next_wake(&self) -> Instant {
        self.gather.next_wake()
    }

    /// Tells whether every shard has answered or is given up.
    pub fn is_finished(&self) -> bool {
        self.gather.is_finished()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> FanoutCounts {
        let counts = self.gather.counts().clone();
        FanoutCounts { dropped: counts.dropped + self.mismatched, ..counts }
    }

    /// Marks the running attempts as cancelled and returns them for the caller to cancel.
    pub fn abandon<R: Rng>(
        &mut self,
        context: &mut FanoutContext<'_, R>,
    ) -> Vec<(AttemptId, UpstreamIndex)> {
        self.gather.abandon(context)
    }

    /// Merges the partials into the answer; returns `None` for a query without shards.
    ///
    /// The partials are moved into the answer, so a second call returns `None`.
    pub fn take_answer(&mut self) -> Option<Answer> {
        if std::mem::replace(&mut self.answer_taken, true) {
            return None;
        }
        let mut partials = Vec::new();
        let mut missing = BTreeMap::new();
        for (shard, part) in self.gather.take_parts() {
            match part {
                Ok(partial) => partials.push(partial),
                Err(reason) => {
                    missing.insert(shard, reason);
                }
            }
        }
        let answered = partials.iter().map(|partial| partial.shard).collect();
        let coverage = Coverage::new(self.snapshot, answered, missing).ok()?;
        let answer = Answer::merge(self.service.clone(), coverage, &partials, self.hits_limit);
        Some(answer.expect("on_reply admits only partials of the pinned snapshot and shard"))
    }

    /// Tells whether a partial belongs to another shard or snapshot than its attempt.
    fn is_mismatched(&self, attempt: AttemptId, partial: &Partial) -> bool {
        partial.snapshot != self.snapshot || self.gather.shard_of(attempt) != Some(partial.shard)
    }
}
