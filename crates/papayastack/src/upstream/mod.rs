//! Upstreams: their protocol, its client, and a connection pool for forwarded requests.

mod client;
mod connector;
mod pool;
mod protocol;
#[cfg(test)]
mod tests;

pub use client::{UpstreamClient, UpstreamError};
pub(crate) use pool::{ConnectionPool, ExchangeError};
pub use protocol::{
    CancelRequest, SearchReply, SearchRequest, Selection, SubmitReply, SubmitRequest,
};
