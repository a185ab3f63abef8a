//! Tests of the callers' interface.

mod book;
mod client;
mod fixtures;
mod retry;
mod server;
