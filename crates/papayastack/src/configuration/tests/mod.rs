//! Tests of the configuration.

mod adoption;
mod driver;
mod fleet;
mod gossip;
mod rollout;
mod store;
