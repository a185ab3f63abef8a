//! Reading of replies' bodies, with a bound on all that are read at a time.

use std::fmt::Display;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// The largest body of a reply in bytes; a larger one counts as malformed.
pub(crate) const REPLY_BODY_MAX_BYTES: usize = 8 * 1024 * 1024;
/// The most bytes of bodies that are being read at a time. Beyond it, the reading of a body ends,
/// since upstreams in trouble may send bytes without end.
const UNFINISHED_BODIES_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The beginning of a status line; each zero stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/1.0 000";
/// As much of it as tells a status line that is cut off from other bytes.
const STATUS_LINE_START: &[u8] = b"HTTP/";

/// Counts the bytes of the bodies that are being read.
#[derive(Debug, Default)]
pub(crate) struct UnfinishedBodies {
    bytes: AtomicUsize,
}

impl UnfinishedBodies {
    /// Returns the bytes of the bodies that are being read.
    #[cfg(test)]
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    /// Fails with a readable reason if the connection fails, or if the body or all bodies together
    /// exceed their limit; the connection must then be closed.
    pub(crate) async fn read<B>(&self, mut body: B) -> Result<Bytes, String>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Display,
    {
        let mut share = Share { bodies: self, bytes: 0 };
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("the reply's body ended early: {error}"))?;
            // Trailers are not passed on.
            let Ok(data) = frame.into_data() else { continue };
            share.grow(data.len())?;
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}

/// Tells whether a body holds the status line of a reply, or ends within one.
///
/// A body without a length goes on until its connection ends. If the upstream sends another reply
/// before that, only this tells where the body should have ended.
pub(crate) fn holds_status_line(body: &[u8]) -> bool {
    let begins = |start: &[u8]| {
        start.starts_with(STATUS_LINE_START)
            && start.iter().zip(STATUS_LINE).all(|(byte, expected)| match expected {
                b'0' => byte.is_ascii_digit(),
                _ => byte == expected,
            })
    };
    let first = STATUS_LINE_START[0];
    body.iter().enumerate().any(|(at, byte)| *byte == first && begins(&body[at..]))
}

/// The bytes of one body, until dropped.
struct Share<'a> {
    bodies: &'a UnfinishedBodies,
    bytes: usize,
}

impl Share<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), String> {
        self.bytes += bytes;
        let all = self.bodies.bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        if self.bytes > REPLY_BODY_MAX_BYTES {
            return Err(format!("the reply's body exceeds {REPLY_BODY_MAX_BYTES} bytes"));
        }
        if all > UNFINISHED_BODIES_MAX_BYTES {
            return Err("the bodies that are being read exceed the memory for them".to_owned());
        }
        Ok(())
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.bodies.bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
