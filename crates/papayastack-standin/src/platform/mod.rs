//! The stand-in for the platform's object API.

mod behaviour;
mod rate;
mod service;
mod standin;
mod store;
#[cfg(test)]
mod tests;

pub use behaviour::PlatformBehaviour;
pub use standin::{PlatformCounts, PlatformStandin};
