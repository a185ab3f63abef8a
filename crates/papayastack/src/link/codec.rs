//! Encoding and decoding of CBOR frames, with a size limit in both directions.

use papayastack_macros::value;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest frame in bytes.
pub const FRAME_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Says why a frame cannot be encoded or decoded.
#[value]
pub enum FrameError {
    /// The frame is larger than [`FRAME_MAX_BYTES`].
    TooLarge {
        /// The size in bytes.
        size_bytes: usize,
    },
    /// The messages cannot be encoded, or the bytes are not a CBOR list of messages.
    Malformed {
        /// The error of the CBOR codec.
        detail: String,
    },
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge { size_bytes } => {
                write!(
                    formatter,
                    "frame of {size_bytes} bytes exceeds the limit of {FRAME_MAX_BYTES}"
                )
            }
            Self::Malformed { detail } => write!(formatter, "malformed frame: {detail}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes messages as one frame.
///
/// # Errors
/// The frame would exceed [`FRAME_MAX_BYTES`], or a message cannot be encoded.
pub fn encode_frame<M: Serialize>(messages: &[M]) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(messages, &mut bytes)
        .map_err(|error| FrameError::Malformed { detail: error.to_string() })?;
    if bytes.len() > FRAME_MAX_BYTES {
        return Err(FrameError::TooLarge { size_bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes one frame.
///
/// # Errors
/// The frame exceeds [`FRAME_MAX_BYTES`], or is not a list of messages.
pub fn decode_frame<M: DeserializeOwned>(bytes: &[u8]) -> Result<Vec<M>, FrameError> {
    if bytes.len() > FRAME_MAX_BYTES {
        return Err(FrameError::TooLarge { size_bytes: bytes.len() });
    }
    ciborium::from_reader(bytes)
        .map_err(|error| FrameError::Malformed { detail: error.to_string() })
}
