//! Tests of the callers' interface.

mod address_book;
mod client;
mod fixtures;
mod openapi;
mod retry;
mod server;
