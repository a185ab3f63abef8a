//! Tests of the bound on bodies that never end.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::body::{Body, Frame};

use crate::forward::reply_body::{REPLY_BODY_MAX_BYTES, UnfinishedBodies, holds_status_line};

const CHUNK_BYTES: usize = 256 * 1024;

/// A body that sends up to a number of chunks and then stalls.
struct Stalled {
    chunks_left: usize,
}

impl Body for Stalled {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.chunks_left == 0 {
            return Poll::Pending;
        }
        self.chunks_left -= 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![0; CHUNK_BYTES])))))
    }
}

#[tokio::test]
async fn a_body_that_never_ends_is_given_up_at_its_limit() {
    let bodies = UnfinishedBodies::default();

    let read = bodies.read(Stalled { chunks_left: usize::MAX }).await;

    assert!(read.unwrap_err().contains(&REPLY_BODY_MAX_BYTES.to_string()));
    assert_eq!(bodies.bytes(), 0);
}

// Guards against many bodies that never end, each within its own limit.
#[tokio::test]
async fn all_bodies_that_are_being_read_stay_within_one_limit() {
    let bodies = UnfinishedBodies::default();
    let chunks = 7 * 1024 * 1024 / CHUNK_BYTES;
    let mut reading: Vec<_> =
        (0..60).map(|_| Box::pin(bodies.read(Stalled { chunks_left: chunks }))).collect();

    let mut given_up = 0;
    for read in &mut reading {
        given_up += usize::from(read.as_mut().now_or_never().is_some());
    }

    assert!(given_up > 40, "{given_up} of 60 are given up");
    assert!(bodies.bytes() <= 64 * 1024 * 1024, "{} bytes are held", bodies.bytes());
    drop(reading);
    let whole = bodies.read(Full::new(Bytes::from_static(b"part"))).await;
    assert_eq!(whole.as_deref(), Ok(&b"part"[..]));
}

#[test]
fn a_status_line_in_a_body_is_found_wherever_it_begins_or_ends() {
    for body in [
        &b"HTTP/1.1 200 OK\r\n"[..],
        b"recordsHTTP/1.1 503 Full",
        b"records\r\nHTTP/1.0 4",
        b"HTTP/",
    ] {
        assert!(holds_status_line(body), "{body:?}");
    }
    for body in [&b""[..], b"records", b"HTTP", b"http/1.1 200", b"HTTP/2 200 of", b"HTTP/1.x 200"]
    {
        assert!(!holds_status_line(body), "{body:?}");
    }
}
