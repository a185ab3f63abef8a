//! Authentication of the traffic between VMs with shared keys: sealed datagrams and links.
//!
//! Sealing appends an authentication tag (HMAC-SHA-256) that also protects against replays and
//! reordering; it does not encrypt. Every tag is checked before anything is decoded, so that only
//! holders of a system key can reach a decoder.

mod datagram;
mod error;
mod frame;
mod handshake;
mod keyring;
mod replay;
#[cfg(test)]
mod tests;

pub use datagram::{DATAGRAM_MAX_BYTES, DatagramOpener, DatagramSealer, OpenedDatagram};
pub use error::{SealCounts, SealError};
pub use frame::{FRAME_TAG_BYTES, FrameOpener, FrameSealer};
pub use handshake::{
    ClientHandshake, HANDSHAKE_MAX_BYTES, LinkSession, Nonce, ServerHandshake, new_nonce,
};
pub use keyring::{Keyring, KeyringError};
