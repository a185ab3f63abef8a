//! The stand-in for one upstream.

mod behaviour;
mod service;
mod standin;
mod state;
#[cfg(test)]
mod tests;

pub use behaviour::{LoadReport, ServiceTime, UpstreamBehaviour};
pub use standin::{UpstreamSpec, UpstreamStandin};
pub use state::UpstreamCounts;
