//! Tests of forwarding.

mod feeds;
mod gathering;
mod load;
mod model;
mod news;
mod plan;
mod records;
mod registry;
mod routes;
mod settings;
mod store_gate;
mod windows;
