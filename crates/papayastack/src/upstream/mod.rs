//! Upstreams: their protocol and the client that speaks it.

mod client;
mod connector;
mod protocol;
#[cfg(test)]
mod tests;

pub use client::{UpstreamClient, UpstreamError};
pub use protocol::{
    CancelRequest, SearchReply, SearchRequest, Selection, SubmitReply, SubmitRequest,
};
