//! Tests of the callers' interface.

mod fixtures;
mod server;
