//! The callers' interface: its messages and its HTTP server.

mod check;
mod protocol;
mod server;
mod service;
mod status;

pub use protocol::{
    AddressesAnswer, QueryAnswer, QueryRequest, RefusalAnswer, SubmissionAnswer, SubmissionRequest,
};
pub use server::{
    ADDRESSES_PATH, BindError, CallerServer, QUERY_PATH, REQUEST_ID_HEADER, SUBMISSIONS_PATH,
};
pub use service::{CallerService, RequestContext};
