//! Tests of the configuration.

mod adoption;
mod apply;
mod driver;
mod fleet;
mod gossip;
mod rollout;
mod store;
