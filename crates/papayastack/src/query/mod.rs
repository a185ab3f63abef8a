//! Queries: the decisions of a fan-out, as values in and values out.
//!
//! [`Fanout`] drives one query: it chooses replicas, hedges, retries and merges. What all queries
//! of a VM share (observations of upstreams, budgets) is in [`Observations`] and [`Budgets`].

mod attempt;
mod budget;
mod fanout;
mod health;
mod progress;
mod quantile;
mod spec;
#[cfg(test)]
mod tests;

pub use attempt::{AttemptOutcome, FailureReason, NotRunReason};
pub use budget::Budgets;
pub use fanout::Fanout;
pub use health::Observations;
pub use quantile::QuantileTracker;
pub use spec::{Command, FanoutContext, FanoutCounts, FanoutSpec};
