//! HTTP servers with connection limits and graceful shutdown.

mod server;
#[cfg(test)]
mod tests;
mod unsent;

pub use server::BindError;
pub(crate) use server::{HeadTimeout, HttpServer};
