//! Upstreams: their protocol and the client that speaks it.

mod protocol;

pub use protocol::{
    CancelRequest, SearchReply, SearchRequest, Selection, SubmitReply, SubmitRequest,
};
