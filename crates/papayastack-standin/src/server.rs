//! A small HTTP server whose connections can be limited, delayed, refused and closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use futures_util::stream;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

const BACKLOG: u32 = 1024;
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// The gate of one server, which limits and counts its connections and closes them all on demand.
#[derive(Debug)]
pub(crate) struct ConnectionGate {
    reachable: watch::Sender<bool>,
    connections_max: usize,
    setup_delay: Duration,
    open: AtomicUsize,
    open_peak: AtomicUsize,
    accepted: AtomicU64,
    refused: AtomicU64,
}

impl ConnectionGate {
    /// Returns a gate that accepts up to `connections_max` connections at once, each served after
    /// `setup_delay`.
    pub(crate) fn new(connections_max: usize, setup_delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            reachable: watch::Sender::new(true),
            connections_max,
            setup_delay,
            open: AtomicUsize::new(0),
            open_peak: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        })
    }

    /// Closes all connections and refuses new ones, or, with `true`, accepts connections again.
    pub(crate) fn set_reachable(&self, reachable: bool) {
        self.reachable.send_if_modified(|now| std::mem::replace(now, reachable) != reachable);
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the highest number of connections that were open at once.
    pub(crate) fn open_peak(&self) -> usize {
        self.open_peak.load(Ordering::Relaxed)
    }

    /// Returns how many connections were accepted.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns how many connections were closed on arrival because the limit was reached.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn admit(&self, open: usize) -> bool {
        if open >= self.connections_max {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.accepted.fetch_add(1, Ordering::Relaxed);
        self.open_peak.fetch_max(open + 1, Ordering::Relaxed);
        true
    }
}

/// A running server; dropping it closes every connection.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `router` behind `gate`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub(crate) async fn bind(
        address: SocketAddr,
        gate: Arc<ConnectionGate>,
        router: Router,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve(listener, address, gate, router));
        Ok(Self { address, task })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut listener: TcpListener,
    address: SocketAddr,
    gate: Arc<ConnectionGate>,
    router: Router,
) {
    let mut reachable = gate.reachable.subscribe();
    loop {
        serve_until_unreachable(&listener, &gate, &router, &mut reachable).await;
        drop(listener);
        let reserved = reserve_port(address).await;
        if reachable.wait_for(|now| *now).await.is_err() {
            return;
        }
        listener = match reserved.listen(BACKLOG) {
            Ok(listener) => listener,
            Err(error) => {
                log::error!(
                    "standin: cannot listen on {address} again, so it stays unreachable: {error}."
                );
                return;
            }
        };
    }
}

async fn serve_until_unreachable(
    listener: &TcpListener,
    gate: &ConnectionGate,
    router: &Router,
    reachable: &mut watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = reachable.wait_for(|now| !*now) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted && gate.admit(connections.len()) {
                    connections.spawn(serve_connection(stream, gate.setup_delay, router.clone()));
                }
            }
        }
        gate.open.store(connections.len(), Ordering::Relaxed);
    }
    gate.open.store(0, Ordering::Relaxed);
}

async fn serve_connection(stream: TcpStream, setup_delay: Duration, router: Router) {
    // TCP_NODELAY only affects latency, so a failure to set it is ignored.
    let _ = stream.set_nodelay(true);
    if !setup_delay.is_zero() {
        tokio::time::sleep(setup_delay).await;
    }
    let service = TowerToHyperService::new(router);
    // Errors are expected: the peer disconnects, or an aborting body closes the connection.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Binds the port without listening, so that connections are refused while the port stays reserved.
async fn reserve_port(address: SocketAddr) -> TcpSocket {
    loop {
        match bound_socket(address) {
            Ok(socket) => return socket,
            Err(error) => {
                log::warn!("standin: cannot reserve unreachable {address}, retrying: {error}.");
                tokio::time::sleep(REBIND_PAUSE).await;
            }
        }
    }
}

fn bound_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Returns a body that fails when it is read, which makes the server close the connection.
pub(crate) fn aborting_body() -> Body {
    let closed = std::io::Error::other("connection closed on purpose to simulate a lost answer");
    Body::from_stream(stream::iter([Err::<Vec<u8>, _>(closed)]))
}
