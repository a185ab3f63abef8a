//! A pool of HTTP/1.1 connections to upstreams, with a cap on the open ones to each upstream.
//!
//! Each connection carries one request at a time and is kept open for the next one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use papayastack_macros::value;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long an upstream may take to accept a connection. Upstreams of one region accept within
/// tens of milliseconds; one that takes longer is down, unreachable, or overloaded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection may stay idle if the upstream announces no `keep-alive` timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
/// The part of the announced `keep-alive` timeout that is not used, so that no request is sent on a
/// connection that the upstream is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// How long sent bytes may stay without acknowledgement before the connection counts as dead, and
/// how long a connection may be silent before it is probed.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_000);
/// The interval of the TCP keep-alive probes on a silent connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The most bytes of a reply that are read ahead; a longer head ends the connection.
const READ_BUFFER_MAX_BYTES: usize = 64 * 1024;
/// The most idle connections that are checked for readiness before a new one is opened.
const IDLE_CHECKED_MAX: usize = 8;

/// The connections to all upstreams; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionPool {
    hosts: Arc<Mutex<BTreeMap<SocketAddr, Host>>>,
}

#[derive(Debug, Default)]
struct Host {
    idle: Vec<IdleConnection>,
    open: u32,
    /// The most connections that may be kept open; `None` before any request.
    connections_max: Option<u32>,
    opened_total: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// An open connection; dropping it closes it at once, even during a request.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Says why a request got no response head.
#[value]
pub(crate) enum ExchangeError {
    /// No connection was made, so nothing was sent.
    NotConnected {
        /// A readable description of the failure.
        detail: String,
    },
    /// All connections that this VM may have to the upstream are in use; nothing was sent.
    NoConnectionFree,
    /// The request was withdrawn before it was sent.
    Withdrawn,
    /// The request may have been sent, but no response came.
    AnswerLost {
        /// A readable description of the failure.
        detail: String,
    },
}

/// Holds a connection until the body of a response has been read.
#[derive(Debug)]
pub(crate) struct Lease {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: Option<Connection>,
    is_new: bool,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub(crate) fn open() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// A request that was certainly not sent on a reused connection, because the connection had
    /// closed, is sent on another one. `may_send` is asked right before each sending, since opening
    /// a connection takes time.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        connections_max: u32,
        mut request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, Lease), ExchangeError> {
        loop {
            let mut lease = match self.take_idle(address, connections_max) {
                Some(lease) => lease,
                None => self.connect(address, connections_max).await?,
            };
            if !may_send() {
                return Err(ExchangeError::Withdrawn);
            }
            let connection = lease.connection.as_mut().expect("a new lease holds a connection");
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, lease)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !lease.is_new => request = unsent,
                    Some(_) => {
                        let detail = error_with_cause(&error.into_error());
                        return Err(ExchangeError::NotConnected { detail });
                    }
                    None => {
                        let detail = error_with_cause(&error.into_error());
                        return Err(ExchangeError::AnswerLost { detail });
                    }
                },
            }
        }
    }

    /// Closes the idle connections to an upstream that was removed.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        if let Some(host) = self.hosts().get_mut(&address) {
            host.idle.clear();
        }
    }

    /// Closes the idle connections to an upstream beyond `connections_max`.
    pub(crate) fn limit(&self, address: SocketAddr, connections_max: u32) {
        if let Some(host) = self.hosts().get_mut(&address) {
            host.limit(connections_max);
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_all_idle(&self) {
        self.hosts().values_mut().for_each(|host| host.idle.clear());
    }

    /// Returns how many connections are open, and how many were opened since the start.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let hosts = self.hosts();
        hosts.values().fold((0, 0), |(open, opened), host| {
            (open + u64::from(host.open), opened + host.opened_total)
        })
    }

    fn take_idle(&self, address: SocketAddr, connections_max: u32) -> Option<Lease> {
        let mut hosts = self.hosts();
        let host = hosts.get_mut(&address)?;
        let now = Instant::now();
        host.idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        host.limit(connections_max);
        let first = host.idle.len().saturating_sub(IDLE_CHECKED_MAX);
        let ready = |idle: &IdleConnection| idle.connection.sender.is_ready();
        let position = host.idle[first..].iter().rposition(ready)? + first;
        let connection = host.idle.remove(position).connection;
        let connection = Some(connection);
        Some(Lease { pool: self.clone(), address, connection, is_new: false })
    }

    async fn connect(
        &self,
        address: SocketAddr,
        connections_max: u32,
    ) -> Result<Lease, ExchangeError> {
        {
            let mut hosts = self.hosts();
            let host = hosts.entry(address).or_default();
            host.connections_max = Some(connections_max);
            if host.open >= connections_max {
                return Err(ExchangeError::NoConnectionFree);
            }
            host.open += 1;
            host.opened_total += 1;
        }
        let guard = OpenConnectionGuard { pool: self.clone(), address };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, open_connection(address, guard));
        let connection = match connected.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(detail)) => return Err(ExchangeError::NotConnected { detail }),
            Err(_elapsed) => {
                let detail = format!("no connection within {} ms", CONNECT_TIMEOUT.as_millis());
                return Err(ExchangeError::NotConnected { detail });
            }
        };
        let connection = Some(connection);
        Ok(Lease { pool: self.clone(), address, connection, is_new: true })
    }

    fn hosts(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Host>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Tells whether the connection was opened for this request.
    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns the connection to the pool after the whole body was read; `head`, the headers of the
    /// response, limits how long the connection is kept.
    pub(crate) fn release(mut self, head: &HeaderMap) {
        let Some(connection) = self.connection.take() else { return };
        let Some(expires_at) = Instant::now().checked_add(idle_time(head)) else { return };
        if connection.sender.is_closed() {
            return;
        }
        if let Some(host) = self.pool.hosts().get_mut(&self.address)
            && host.surplus() == 0
        {
            host.idle.push(IdleConnection { connection, expires_at });
        }
    }
}

impl Host {
    /// Sets the most connections that may be open, and closes idle ones beyond that, oldest first.
    fn limit(&mut self, connections_max: u32) {
        self.connections_max = Some(connections_max);
        let closed = self.idle.len().min(self.surplus() as usize);
        self.idle.drain(..closed);
    }

    /// Returns how many more connections are open than may be.
    fn surplus(&self) -> u32 {
        self.connections_max.map_or(0, |connections_max| self.open.saturating_sub(connections_max))
    }
}

/// Counts one open connection until it is dropped with the connection's task.
struct OpenConnectionGuard {
    pool: ConnectionPool,
    address: SocketAddr,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let mut hosts = self.pool.hosts();
        if let Some(host) = hosts.get_mut(&self.address) {
            host.open = host.open.saturating_sub(1);
        }
    }
}

async fn open_connection(
    address: SocketAddr,
    guard: OpenConnectionGuard,
) -> Result<Connection, String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    set_socket_options(&stream).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(async move {
        // A waiting request receives the error itself; if none waits, the connection was idle.
        let _ = connection.await;
        drop(guard);
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(UNACKNOWLEDGED_MAX).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}

/// Formats an error with its cause, which says whether the connection was reset or closed.
fn error_with_cause(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Returns how long a connection may stay idle, from the `keep-alive` header of a response.
fn idle_time(head: &HeaderMap) -> Duration {
    let announced = head
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    announced.map_or(IDLE_TIMEOUT_DEFAULT, |announced| {
        announced.saturating_sub(IDLE_MARGIN).max(announced / 4)
    })
}
