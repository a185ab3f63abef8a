//! CBOR encoding of messages, one message per buffer.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message or a part of one.
pub(crate) fn encode(content: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(content, &mut bytes).expect("writing to memory succeeds");
    bytes
}

/// Decodes a buffer that holds exactly one message; `None` if it is malformed or has more bytes.
pub(crate) fn decode<T: DeserializeOwned>(mut bytes: &[u8]) -> Option<T> {
    let message = ciborium::from_reader(&mut bytes).ok()?;
    bytes.is_empty().then_some(message)
}
