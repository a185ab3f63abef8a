//! All links of one VM: dialling on demand, accepting and queueing of messages.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::connection::{LinkEndReason, run_link, websocket_config};
use super::handshake::{Socket, client_handshake, server_handshake};
use super::message::{LinkReply, LinkRequest};
use crate::ids::VmAddress;
use crate::membership::VmIdentity;
use crate::seal::{Keyring, LinkSession};

/// Identifies an accepted link within one process; zero stands for this VM itself.
pub type SourceId = u64;

/// The most messages that may wait to be sent on one link.
const LINK_QUEUE_MAX: usize = 16_384;
/// The longest time that establishing a link may take on either side, handshake included.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer counts as down after its link failed.
const DOWN_HOLD: Duration = Duration::from_millis(500);

/// An event on one of the links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A request arrived on an accepted link.
    Request {
        /// The accepted link.
        source: SourceId,
        /// The VM that dialled it.
        from: VmIdentity,
        /// The request.
        request: LinkRequest,
    },
    /// A reply arrived on a dialled link.
    Reply {
        /// The VM that accepted the link.
        from: VmAddress,
        /// The reply.
        reply: LinkReply,
    },
    /// A dialled link ended or could not be established.
    Down {
        /// The VM that accepted the link or was to accept it.
        peer: VmAddress,
    },
    /// An accepted link ended; the peer no longer waits for its replies.
    SourceGone {
        /// The accepted link.
        source: SourceId,
    },
}

/// The links of one VM; clones share them.
#[derive(Clone)]
pub struct LinkHub {
    inner: Arc<Inner>,
}

struct Inner {
    own: VmIdentity,
    keyring: Arc<Keyring>,
    events: mpsc::UnboundedSender<LinkEvent>,
    state: Mutex<State>,
    next_link_id: AtomicU64,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

#[derive(Default)]
struct State {
    dialled: BTreeMap<VmAddress, DialledLink>,
    accepted: BTreeMap<SourceId, mpsc::Sender<LinkReply>>,
    down_until: BTreeMap<VmAddress, Instant>,
}

struct DialledLink {
    sender: mpsc::Sender<LinkRequest>,
    serial: u64,
}

impl LinkHub {
    /// Accepts links on `listener` and returns the receiver of the events on all links.
    ///
    /// Only holders of a key of `keyring` are admitted.
    pub fn bind(
        listener: TcpListener,
        own: VmIdentity,
        keyring: Arc<Keyring>,
    ) -> (Self, mpsc::UnboundedReceiver<LinkEvent>) {
        let (events, received) = mpsc::unbounded_channel();
        let inner = Arc::new(Inner {
            own,
            keyring,
            events,
            state: Mutex::new(State::default()),
            next_link_id: AtomicU64::new(1),
            accepting: Mutex::new(None),
        });
        let task = tokio::spawn(accept_links(Arc::downgrade(&inner), listener));
        *lock(&inner.accepting) = Some(task);
        (Self { inner }, received)
    }

    /// Queues a request for `peer`, dialling if there is no link; `false` if the queue is full.
    pub fn send(&self, peer: VmAddress, request: LinkRequest) -> bool {
        let mut state = lock(&self.inner.state);
        let dialled = state.dialled.entry(peer).or_insert_with(|| self.dial(peer));
        dialled.sender.try_send(request).is_ok()
    }

    /// Queues a reply on an accepted link; `false` if the link has ended or its queue is full.
    pub fn reply(&self, source: SourceId, reply: LinkReply) -> bool {
        let state = lock(&self.inner.state);
        state.accepted.get(&source).is_some_and(|sender| sender.try_send(reply).is_ok())
    }

    /// Returns whether a link to `peer` failed within `DOWN_HOLD` and none was established since.
    pub fn is_down(&self, peer: &VmAddress, now: Instant) -> bool {
        lock(&self.inner.state).down_until.get(peer).is_some_and(|until| *until > now)
    }

    /// Closes the dialled link to a peer that is known to be gone.
    pub fn disconnect(&self, peer: &VmAddress) {
        lock(&self.inner.state).dialled.remove(peer);
    }

    /// Returns how many links are up or being dialled, and how many are accepted.
    pub fn link_counts(&self) -> (usize, usize) {
        let state = lock(&self.inner.state);
        (state.dialled.len(), state.accepted.len())
    }

    /// Stops accepting and closes all links once their queues are written.
    pub fn close(&self) {
        if let Some(task) = lock(&self.inner.accepting).take() {
            task.abort();
        }
        let mut state = lock(&self.inner.state);
        state.dialled.clear();
        state.accepted.clear();
    }

    fn dial(&self, peer: VmAddress) -> DialledLink {
        let (sender, outgoing) = mpsc::channel(LINK_QUEUE_MAX);
        let serial = self.inner.next_link_id.fetch_add(1, Ordering::Relaxed);
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            let end = run_dialled_link(&inner, peer, outgoing).await;
            inner.on_dialled_link_end(peer, serial, end);
        });
        DialledLink { sender, serial }
    }
}

impl Inner {
    fn on_dialled_link_end(&self, peer: VmAddress, serial: u64, end: LinkEndReason) {
        log::info!(target: "papaya::link", "link: Link to {peer} ended: {end:?}.");
        let mut state = lock(&self.state);
        if state.dialled.get(&peer).is_some_and(|dialled| dialled.serial == serial) {
            state.dialled.remove(&peer);
        }
        if end != LinkEndReason::ClosedLocally {
            state.down_until.insert(peer, Instant::now() + DOWN_HOLD);
        }
        drop(state);
        let _ = self.events.send(LinkEvent::Down { peer });
    }
}

async fn run_dialled_link(
    inner: &Inner,
    peer: VmAddress,
    outgoing: mpsc::Receiver<LinkRequest>,
) -> LinkEndReason {
    let Ok(Some((socket, session))) = timeout(DIAL_TIMEOUT, connect(inner, peer)).await else {
        return LinkEndReason::Disconnected;
    };
    lock(&inner.state).down_until.remove(&peer);
    run_link(socket, session, outgoing, LinkRequest::replies_expected, |reply: LinkReply| {
        let _ = inner.events.send(LinkEvent::Reply { from: peer, reply });
        1
    })
    .await
}

async fn connect(inner: &Inner, peer: VmAddress) -> Option<(Socket, LinkSession)> {
    let stream = TcpStream::connect(peer).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let url = format!("ws://{peer}/link");
    let config = Some(websocket_config());
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, config).await.ok()?;
    let session = client_handshake(&mut socket, &inner.keyring, &inner.own, peer).await?;
    Some((socket, session))
}

async fn accept_links(inner: std::sync::Weak<Inner>, listener: TcpListener) {
    loop {
        let accepted = listener.accept().await;
        let Some(inner) = inner.upgrade() else {
            return;
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(run_accepted_link(inner, stream));
            }
            Err(error) => {
                log::warn!(target: "papaya::link", "link: Cannot accept a link: {error}.");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn run_accepted_link(inner: Arc<Inner>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Ok(Some((socket, session))) = timeout(DIAL_TIMEOUT, accept(&inner, stream)).await else {
        return;
    };
    let source = inner.next_link_id.fetch_add(1, Ordering::Relaxed);
    let (sender, outgoing) = mpsc::channel(LINK_QUEUE_MAX);
    lock(&inner.state).accepted.insert(source, sender);
    let from = session.peer.clone();
    run_link(
        socket,
        session,
        outgoing,
        |_: &LinkReply| 0,
        |request: LinkRequest| {
            let _ = inner.events.send(LinkEvent::Request { source, from: from.clone(), request });
            0
        },
    )
    .await;
    lock(&inner.state).accepted.remove(&source);
    let _ = inner.events.send(LinkEvent::SourceGone { source });
}

async fn accept(inner: &Inner, stream: TcpStream) -> Option<(Socket, LinkSession)> {
    let config = Some(websocket_config());
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, config).await.ok()?;
    let session = server_handshake(&mut socket, &inner.keyring, &inner.own).await?;
    Some((socket, session))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
