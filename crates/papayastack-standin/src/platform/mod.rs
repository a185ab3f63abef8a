//! The stand-in for the platform's object API.

mod behaviour;
mod service;
mod standin;
mod store;
#[cfg(test)]
mod tests;
mod token_bucket;

pub use behaviour::PlatformBehaviour;
pub use standin::{PlatformCounts, PlatformStandin};
