//! Links: long-lived WebSocket connections between VMs that carry CBOR messages.
//!
//! The VM that dials sends requests and receives replies; two VMs that work for each other hold a
//! link in each direction. Messages that are queued at the same time are sent in one frame.

mod codec;
mod connection;
mod handshake;
mod hub;
mod message;
#[cfg(test)]
mod tests;

pub use codec::{FRAME_MAX_BYTES, FrameError, decode_frame, encode_frame};
pub use hub::{LinkEvent, LinkHub, SourceId};
pub use message::{
    LinkReply, LinkRequest, RelayId, RelayResult, SearchBatch, SearchItem, SearchResult,
    SubmissionRelay,
};
