//! An HTTP server that limits its connections and finishes its requests before it stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::Request;
use axum::http::{HeaderValue, header};
use axum::middleware::{self, Next};
use axum::response::Response;
use error_stack::{Report, ResultExt};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use papayastack_macros::value;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};

use super::unsent::CountedStream;

/// The most connections that one server keeps open at a time; further ones are closed at once.
const CONNECTIONS_MAX: usize = 8_192;
/// The default time that a connection may take to send a request head, or stay idle.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long connections without a request may delay a shutdown.
const IDLE_CONNECTIONS_GRACE: Duration = Duration::from_millis(250);
/// How long callers that do not take their answers may delay a shutdown.
const UNSENT_ANSWERS_GRACE: Duration = Duration::from_secs(5);

/// The error when a server cannot listen on its address.
#[value]
pub struct BindError {
    /// The address that the server was to listen on.
    pub address: SocketAddr,
}

impl std::fmt::Display for BindError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "cannot listen on {}; is the address local and free?", self.address)
    }
}

impl std::error::Error for BindError {}

/// A function that returns how long a newly accepted connection may take to send a request head,
/// or stay idle.
pub(crate) type HeadTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// A running HTTP server; dropping it closes its connections at once, even with requests in flight.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    state: Arc<ServerState>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and passes requests to `router`; port 0 takes a free port.
    pub(crate) async fn bind(
        address: SocketAddr,
        router: Router,
    ) -> Result<Self, Report<BindError>> {
        Self::bind_with_head_timeout(address, router, Arc::new(|| HEAD_READ_TIMEOUT)).await
    }

    /// Listens like [`Self::bind`], but takes the timeout of each connection from `head_timeout`.
    pub(crate) async fn bind_with_head_timeout(
        address: SocketAddr,
        router: Router,
        head_timeout: HeadTimeout,
    ) -> Result<Self, Report<BindError>> {
        let bind_error = BindError { address };
        let listener = TcpListener::bind(address).await.change_context(bind_error)?;
        Self::listen(listener, router, head_timeout)
    }

    /// Accepts connections on `listener` and passes requests to `router`.
    pub(crate) fn listen(
        listener: TcpListener,
        router: Router,
        head_timeout: HeadTimeout,
    ) -> Result<Self, Report<BindError>> {
        let unbound = BindError { address: SocketAddr::from(([0, 0, 0, 0], 0)) };
        let address = listener.local_addr().change_context(unbound)?;
        let state = Arc::new(ServerState::default());
        let counted = Arc::clone(&state);
        let router = router.layer(middleware::from_fn(move |request, next| {
            count_request(Arc::clone(&counted), request, next)
        }));
        let (stop, stopped) = watch::channel(false);
        let unsent = Arc::clone(&state.unsent);
        let task =
            tokio::spawn(accept_connections(listener, router, head_timeout, unsent, stopped));
        Ok(Self { address, state, stop, task })
    }

    /// Returns the address that the server listens on, with the actual port if port 0 was given.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that are not answered yet, or whose caller has not taken the
    /// whole answer.
    pub(crate) fn in_flight(&self) -> usize {
        self.state.in_flight.load(Ordering::Acquire) + self.state.unsent.load(Ordering::Acquire)
    }

    /// Closes each connection after its next response.
    pub(crate) fn retire(&self) {
        self.state.retired.store(true, Ordering::Release);
    }

    /// Stops accepting connections and returns once every request in flight is answered, and its
    /// caller has taken the answer or had [`UNSENT_ANSWERS_GRACE`] for it.
    pub(crate) async fn shutdown(mut self) {
        self.retire();
        self.stop.send_replace(true);
        let mut answered_at = None;
        loop {
            let ended = tokio::time::timeout(IDLE_CONNECTIONS_GRACE, &mut self.task).await.is_ok();
            if self.state.in_flight.load(Ordering::Acquire) == 0 {
                answered_at.get_or_insert_with(Instant::now);
            }
            let waited = answered_at.map(|at| at.elapsed() >= UNSENT_ANSWERS_GRACE);
            if ended || self.in_flight() == 0 || waited == Some(true) {
                return;
            }
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The state that the requests of one server share.
#[derive(Debug, Default)]
struct ServerState {
    in_flight: AtomicUsize,
    /// The connections with a part of an answer that the caller has not taken.
    unsent: Arc<AtomicUsize>,
    retired: AtomicBool,
}

/// Counts a request as in flight until dropped.
struct InFlightGuard {
    state: Arc<ServerState>,
}

impl InFlightGuard {
    fn new(state: Arc<ServerState>) -> Self {
        state.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { state }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn count_request(state: Arc<ServerState>, request: Request, next: Next) -> Response {
    let in_flight = InFlightGuard::new(state);
    let mut response = next.run(request).await;
    if in_flight.state.retired.load(Ordering::Acquire) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn accept_connections(
    listener: TcpListener,
    router: Router,
    head_timeout: HeadTimeout,
    unsent: Arc<AtomicUsize>,
    mut stopped: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = connections.join_next(), if !connections.is_empty() => continue,
            () = stop_requested(&mut stopped) => break,
        };
        let stream = match accepted {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                log::warn!(target: "papaya::listen", "listen: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(
                target: "papaya::listen",
                "listen: Closed a new connection: {CONNECTIONS_MAX} are open already."
            );
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(target: "papaya::listen", "listen: Cannot set TCP_NODELAY: {error}.");
        }
        let stream = CountedStream::new(stream, Arc::clone(&unsent));
        let connection = serve_connection(stream, router.clone(), head_timeout(), stopped.clone());
        connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: CountedStream,
    router: Router,
    head_timeout: Duration,
    mut stopped: watch::Receiver<bool>,
) {
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = stop_requested(&mut stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "papaya::listen", "listen: A connection ended with an error: {error}.");
    }
}

async fn stop_requested(stopped: &mut watch::Receiver<bool>) {
    // A dropped sender stops the server as well.
    let _ = stopped.wait_for(|stop| *stop).await;
}
