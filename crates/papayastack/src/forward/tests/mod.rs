//! Tests of forwarding.

mod feeds;
mod gathering;
mod load;
mod model;
mod plan;
mod records;
mod registry;
mod routes;
mod settings;
mod silence;
mod store_retry;
mod windows;
