//! Admission of members only: keys of the system, sealed datagrams, authenticated links.
//!
//! Seals authenticate and order what VMs send each other; they do not hide it. Every tag is
//! checked before anything is decoded, so that only holders of a system key reach a decoder.

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
