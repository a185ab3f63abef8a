//! An HTTP server that bounds its connections and ends without cutting a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};

/// Connections that one server keeps open at a time; further ones are closed at once.
const CONNECTIONS_MAX: usize = 8_192;
/// How long a connection may take to send the head of a request, or stay idle, unless the server has a
/// bound of its own.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// How long connections without a request may delay the end.
const IDLE_CONNECTIONS_GRACE: Duration = Duration::from_millis(250);

/// Says that a server could not listen.
#[value]
pub struct BindError {
    /// The address that was asked for.
    pub address: SocketAddr,
}

impl std::fmt::Display for BindError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "cannot listen on {}; is the address local and free?", self.address)
    }
}

impl std::error::Error for BindError {}

/// Returns how long a connection that is accepted now may take to send a head, or stay idle.
pub(crate) type HeadTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// A running HTTP server; dropped, it stops at once.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    traffic: Arc<Traffic>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `address` and passes requests to `router`; port 0 takes a free port.
    pub(crate) async fn bind(
        address: SocketAddr,
        router: Router,
    ) -> Result<Self, Report<BindError>> {
        Self::bind_bounded(address, router, Arc::new(|| HEAD_READ_TIMEOUT)).await
    }

    /// Listens like [`Self::bind`] with an own bound on idle connections and slow heads.
    pub(crate) async fn bind_bounded(
        address: SocketAddr,
        router: Router,
        head_timeout: HeadTimeout,
    ) -> Result<Self, Report<BindError>> {
        let bind_error = BindError { address };
        let listener = TcpListener::bind(address).await.change_context(bind_error.clone())?;
        let address = listener.local_addr().change_context(bind_error)?;
        let traffic = Arc::new(Traffic::default());
        let counted = Arc::clone(&traffic);
        let router = router.layer(middleware::from_fn(move |request, next| {
            count_request(Arc::clone(&counted), request, next)
        }));
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_connections(listener, router, head_timeout, stopped));
        Ok(Self { address, traffic, stop, task })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many requests are being answered.
    pub(crate) fn in_flight(&self) -> usize {
        self.traffic.in_flight.load(Ordering::Acquire)
    }

    /// Closes each connection after its next response.
    pub(crate) fn retire(&self) {
        self.traffic.retired.store(true, Ordering::Release);
    }

    /// Stops accepting connections and returns when every request in flight has its answer.
    pub(crate) async fn shutdown(mut self) {
        self.retire();
        self.stop.send_replace(true);
        loop {
            let ended = tokio::time::timeout(IDLE_CONNECTIONS_GRACE, &mut self.task).await.is_ok();
            if ended || self.in_flight() == 0 {
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

/// What a server's requests share.
#[derive(Debug, Default)]
struct Traffic {
    in_flight: AtomicUsize,
    retired: AtomicBool,
}

/// Counts one request in flight for as long as it lives.
struct InFlight {
    traffic: Arc<Traffic>,
}

impl InFlight {
    fn enter(traffic: Arc<Traffic>) -> Self {
        traffic.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { traffic }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.traffic.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn count_request(traffic: Arc<Traffic>, request: Request, next: Next) -> Response {
    let in_flight = InFlight::enter(traffic);
    let mut response = next.run(request).await;
    if in_flight.traffic.retired.load(Ordering::Acquire) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn accept_connections(
    listener: TcpListener,
    router: Router,
    head_timeout: HeadTimeout,
    mut stopped: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = connections.join_next(), if !connections.is_empty() => continue,
            () = stop_asked(&mut stopped) => break,
        };
        let stream = match accepted {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                log::warn!(target: "papaya::listen", "listen: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            log::warn!(target: "papaya::listen", "listen: Closed a connection above {CONNECTIONS_MAX}.");
            continue;
        };
        let connection = serve_connection(stream, router.clone(), head_timeout(), stopped.clone());
        connections.spawn(async move {
            connection.await;
            drop(place);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    head_timeout: Duration,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "papaya::listen", "listen: Cannot set TCP_NODELAY: {error}.");
    }
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = stop_asked(&mut stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "papaya::listen", "listen: A connection ended: {error}.");
    }
}

async fn stop_asked(stopped: &mut watch::Receiver<bool>) {
    // A dropped sender stops the server as well.
    let _ = stopped.wait_for(|stop| *stop).await;
}
