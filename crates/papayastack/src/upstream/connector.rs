//! A connector that counts the open connections to upstreams.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

/// Opens connections and counts those that are open.
#[derive(Debug, Clone)]
pub(crate) struct CountingConnector {
    connector: HttpConnector,
    open: Arc<AtomicU64>,
}

impl CountingConnector {
    /// Wraps `connector` to count the connections that it opens.
    pub(crate) fn new(connector: HttpConnector) -> Self {
        Self { connector, open: Arc::default() }
    }

    /// Returns the counter of open connections, which the connector keeps up to date.
    pub(crate) fn open_connections(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.open)
    }
}

impl Service<Uri> for CountingConnector {
    type Response = CountedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.connector.call(uri);
        let open = Arc::clone(&self.open);
        Box::pin(async move {
            let stream = connecting.await?;
            open.fetch_add(1, Ordering::Relaxed);
            Ok(CountedStream { stream, open })
        })
    }
}

/// A connection that decrements the count of open connections when it is dropped.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TokioIo<TcpStream>,
    open: Arc<AtomicU64>,
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }
}
