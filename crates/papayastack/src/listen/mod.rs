//! Listening: HTTP connections with bounds, and their graceful end.

mod server;
#[cfg(test)]
mod tests;

pub use server::BindError;
pub(crate) use server::{HeadTimeout, HttpServer};
