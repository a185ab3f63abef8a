//! Tests of the callers' interface.

mod book;
mod client;
mod fixtures;
mod openapi;
mod retry;
mod server;
