//! Frames of an authenticated link: a payload and a tag over the payload and the frame's number.

use bytes::Bytes;

use super::SealError;
use super::keyring::Key;

/// The length of a frame's tag in bytes.
pub const FRAME_TAG_BYTES: usize = 16;

const FRAME_LABEL: &str = "papayastack frame 1";

/// Seals the frames of one direction of a link, in order.
pub struct FrameSealer {
    key: Key,
    count: u64,
}

impl FrameSealer {
    pub(crate) fn new(key: Key) -> Self {
        Self { key, count: 0 }
    }

    /// Appends the tag of the next frame to `payload`.
    pub fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let tag = self.key.tag(FRAME_LABEL, &[&self.count.to_be_bytes(), &payload]);
        self.count += 1;
        payload.extend_from_slice(&tag[..FRAME_TAG_BYTES]);
        payload
    }
}

impl std::fmt::Debug for FrameSealer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "FrameSealer({} frames)", self.count)
    }
}

/// Opens the frames of one direction of a link, in order.
pub struct FrameOpener {
    key: Key,
    count: u64,
    failed: Option<SealError>,
}

impl FrameOpener {
    pub(crate) fn new(key: Key) -> Self {
        Self { key, count: 0, failed: None }
    }

    /// Verifies the next frame and returns its payload, which shares the memory of `frame`.
    ///
    /// # Errors
    /// The frame is not the next one of this link. The link must be closed: every later frame
    /// fails with the same error.
    pub fn open(&mut self, frame: Bytes) -> Result<Bytes, SealError> {
        if let Some(reason) = self.failed {
            return Err(reason);
        }
        let opened = self.open_next(frame);
        self.failed = opened.as_ref().err().copied();
        opened
    }

    fn open_next(&mut self, mut frame: Bytes) -> Result<Bytes, SealError> {
        let payload_bytes = frame.len().checked_sub(FRAME_TAG_BYTES).ok_or(SealError::Malformed)?;
        let tag = frame.split_off(payload_bytes);
        if !self.key.verify(FRAME_LABEL, &[&self.count.to_be_bytes(), &frame], &tag) {
            return Err(SealError::Unauthenticated);
        }
        self.count += 1;
        Ok(frame)
    }
}

impl std::fmt::Debug for FrameOpener {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "FrameOpener({} frames, failed: {:?})", self.count, self.failed)
    }
}
