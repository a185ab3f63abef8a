//! Connections that hold bytes which their peer has not taken yet.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that counts while the last write to it waits for its peer.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    /// The number of streams that wait.
    waiting: Arc<AtomicUsize>,
    waits: bool,
}

impl CountedStream {
    /// Wraps a stream; `waiting` is shared by all streams that are counted together.
    pub(crate) fn new(stream: TcpStream, waiting: Arc<AtomicUsize>) -> Self {
        Self { stream, waiting, waits: false }
    }

    fn record<T>(&mut self, written: Poll<T>) -> Poll<T> {
        self.set_waits(written.is_pending());
        written
    }

    fn set_waits(&mut self, waits: bool) {
        match (self.waits, waits) {
            (false, true) => self.waiting.fetch_add(1, Ordering::AcqRel),
            (true, false) => self.waiting.fetch_sub(1, Ordering::AcqRel),
            (false, false) | (true, true) => return,
        };
        self.waits = waits;
    }
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.set_waits(false);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
