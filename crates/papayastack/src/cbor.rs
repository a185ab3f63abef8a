//! Messages in CBOR, one to a buffer.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message or a part of one.
pub(crate) fn encode(content: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(content, &mut bytes).expect("writing to memory succeeds");
    bytes
}

/// Decodes a buffer that holds one message and nothing else; `None` where it is malformed.
pub(crate) fn decode<T: DeserializeOwned>(mut bytes: &[u8]) -> Option<T> {
    let message = ciborium::from_reader(&mut bytes).ok()?;
    bytes.is_empty().then_some(message)
}
