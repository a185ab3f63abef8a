//! Tests of the configuration.

mod adoption;
mod fleet;
mod gossip;
mod store;
