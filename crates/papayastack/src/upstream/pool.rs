//! Warm connections to upstreams, each used by one request at a time, under a cap for each upstream.

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
/// tens of milliseconds; one that does not is down, cut off, or has no room.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection may stay idle where the upstream names no time.
const IDLE_MAX: Duration = Duration::from_secs(30);
/// The part of the time named by the upstream that is not used, so that a request does not meet a
/// connection that is being closed.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// How long sent bytes may stay without acknowledgement before the connection counts as dead.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_000);
/// The pause between probes of a connection that has become silent.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The idle connections looked at when one is asked for.
const IDLE_LOOKED_AT_MAX: usize = 8;

/// The connections to all upstreams; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConnectionPool {
    hosts: Arc<Mutex<BTreeMap<SocketAddr, Host>>>,
}

#[derive(Debug, Default)]
struct Host {
    idle: Vec<Idle>,
    open: u32,
    opened: u64,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// An open connection; dropped, it is closed at once, whatever runs on it.
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
        /// What failed.
        detail: String,
    },
    /// All connections that this VM may have to the upstream are in use; nothing was sent.
    NoConnectionFree,
    /// The request may have been sent, but no response came.
    AnswerLost {
        /// What failed.
        detail: String,
    },
}

/// Holds a connection while the body of a response is read.
#[derive(Debug)]
pub(crate) struct Lease {
    pool: ConnectionPool,
    address: SocketAddr,
    connection: Option<Connection>,
}

impl ConnectionPool {
    /// Starts without connections.
    pub(crate) fn open() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// A request that provably did not leave on a kept connection is sent on another one.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        connections_max: u32,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), ExchangeError> {
        loop {
            let (mut lease, kept) = match self.take_idle(address) {
                Some(lease) => (lease, true),
                None => (self.connect(address, connections_max).await?, false),
            };
            let connection = lease.connection.as_mut().expect("a new lease holds a connection");
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, lease)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) if kept => request = unsent,
                    Some(_) => {
                        let detail = described(&error.into_error());
                        return Err(ExchangeError::NotConnected { detail });
                    }
                    None => {
                        let detail = described(&error.into_error());
                        return Err(ExchangeError::AnswerLost { detail });
                    }
                },
            }
        }
    }

    /// Closes the idle connections to an upstream that is gone.
    pub(crate) fn forget(&self, address: SocketAddr) {
        if let Some(host) = self.hosts().get_mut(&address) {
            host.idle.clear();
        }
    }

    /// Returns how many connections are open, and how many were opened since the start.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let hosts = self.hosts();
        hosts.values().fold((0, 0), |(open, opened), host| {
            (open + u64::from(host.open), opened + host.opened)
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Lease> {
        let mut hosts = self.hosts();
        let host = hosts.get_mut(&address)?;
        let now = Instant::now();
        host.idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let first = host.idle.len().saturating_sub(IDLE_LOOKED_AT_MAX);
        let ready = |idle: &Idle| idle.connection.sender.is_ready();
        let position = host.idle[first..].iter().rposition(ready)? + first;
        let connection = host.idle.remove(position).connection;
        Some(Lease { pool: self.clone(), address, connection: Some(connection) })
    }

    async fn connect(
        &self,
        address: SocketAddr,
        connections_max: u32,
    ) -> Result<Lease, ExchangeError> {
        {
            let mut hosts = self.hosts();
            let host = hosts.entry(address).or_default();
            if host.open >= connections_max.max(1) {
                return Err(ExchangeError::NoConnectionFree);
            }
            host.open += 1;
            host.opened += 1;
        }
        let place = OpenPlace { pool: self.clone(), address };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, open_connection(address, place));
        let connection = match connected.await {
            Ok(Ok(connection)) => connection,
            Ok(Err(detail)) => return Err(ExchangeError::NotConnected { detail }),
            Err(_elapsed) => {
                let detail = format!("no connection within {} ms", CONNECT_TIMEOUT.as_millis());
                return Err(ExchangeError::NotConnected { detail });
            }
        };
        Ok(Lease { pool: self.clone(), address, connection: Some(connection) })
    }

    fn hosts(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Host>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Gives the connection back after the whole body was read, as long as `head` lets it be kept.
    pub(crate) fn release(mut self, head: &HeaderMap) {
        let Some(connection) = self.connection.take() else { return };
        let Some(expires_at) = Instant::now().checked_add(idle_time(head)) else { return };
        if connection.sender.is_closed() {
            return;
        }
        if let Some(host) = self.pool.hosts().get_mut(&self.address) {
            host.idle.push(Idle { connection, expires_at });
        }
    }
}

/// Counts one open connection for as long as its task lives.
struct OpenPlace {
    pool: ConnectionPool,
    address: SocketAddr,
}

impl Drop for OpenPlace {
    fn drop(&mut self) {
        let mut hosts = self.pool.hosts();
        if let Some(host) = hosts.get_mut(&self.address) {
            host.open = host.open.saturating_sub(1);
        }
    }
}

async fn open_connection(address: SocketAddr, place: OpenPlace) -> Result<Connection, String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    set_options(&stream).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let task = tokio::spawn(async move {
        // An error reaches the request that waits; without one, the connection was idle.
        let _ = connection.await;
        drop(place);
    });
    Ok(Connection { sender, task: task.abort_handle() })
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(UNACKNOWLEDGED_MAX).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}

/// Describes an error with its cause, which says whether the connection was reset or closed.
fn described(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Returns how long a connection may be kept idle by the word of the upstream.
fn idle_time(head: &HeaderMap) -> Duration {
    let named = head
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    named.map_or(IDLE_MAX, |named| named.saturating_sub(IDLE_MARGIN).max(named / 4))
}
