//! The callers' interface: its messages.

mod protocol;

pub use protocol::{
    AddressesAnswer, QueryAnswer, QueryRequest, RefusalAnswer, SubmissionAnswer, SubmissionRequest,
};
