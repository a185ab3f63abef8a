//! Queries: the decisions of a fan-out, as values in and values out.
//!
//! [`Gather`] drives one request: it chooses replicas, hedges and retries until each shard has its
//! part. [`Fanout`] is a gathering whose parts are partials of one snapshot, merged at the end. What
//! all requests of a VM share (observations of upstreams, budgets) is in [`Observations`] and
//! [`Budgets`].

mod attempt;
mod budget;
mod fanout;
mod gather;
mod health;
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
pub use quantile::QuantileTracker;
pub use silence::SilenceHold;
pub use spec::{
    AttemptTrace, Command, Enough, Exhausted, FanoutContext, FanoutCounts, FanoutSpec, GatherRules,
    GatherSpec, Losers, Repeat,
};
pub use windows::{RepeatWindowSettings, RepeatWindows};
