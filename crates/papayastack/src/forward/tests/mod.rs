//! Tests of forwarding.

mod gathering;
mod plan;
mod records;
mod registry;
mod routes;
mod windows;
