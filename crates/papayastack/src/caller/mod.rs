//! The callers' interface: its messages, its HTTP server and its client library.

mod check;
mod client;
mod context;
mod protocol;
mod reply;
mod server;
mod service;
mod status;
#[cfg(test)]
mod tests;

pub use client::{CallContext, CallError, CallerClient, new_submission_key};
pub use context::REQUEST_ID_HEADER;
pub use protocol::{
    AddressesAnswer, QueryAnswer, QueryRequest, RefusalAnswer, SubmissionAnswer, SubmissionRequest,
};
pub use server::{ADDRESSES_PATH, CallerServer, QUERY_PATH, SUBMISSIONS_PATH};
pub use service::{CallerService, RequestContext};
