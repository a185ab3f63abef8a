//! Query fan-out logic without I/O: each decision takes values and returns commands.
//!
//! [`Gather`] drives one scatter-gather request: it chooses replicas, hedges and retries until each
//! shard has answered or is given up. [`Fanout`] is a [`Gather`] whose parts are partial results of
//! one snapshot, which it merges into an answer. [`Observations`] and [`Budgets`] hold the state
//! that all requests of a VM share.

mod attempt;
mod budget;
mod fanout;
mod gather;
mod health;
mod limits;
mod progress;
mod quantile;
mod silence;
mod spec;
#[cfg(test)]
mod tests;
mod windows;

pub use attempt::{AttemptOutcome, FailureReason, NotRunReason};
pub use budget::Budgets;
pub use fanout::Fanout;
pub use gather::{Gather, GatheredPart};
pub use health::{Observations, UpstreamLoad};
pub(crate) use limits::{LimitRecord, LimitReport, MilliPerSecond, RateLimits, Urgency};
pub use quantile::QuantileTracker;
pub use silence::SilenceHold;
pub use spec::{
    AttemptTrace, Command, EarlyFinish, FanoutContext, FanoutCounts, FanoutSpec, GatherRules,
    GatherSpec, NoRetryReason, OnExhausted, RetryPolicy, UnneededAttempts,
};
pub use windows::{RepeatWindowSettings, RepeatWindows};
