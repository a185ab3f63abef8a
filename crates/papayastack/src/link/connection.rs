//! One link: the loops that write what is queued, read what arrives and watch for silence.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::codec::{FRAME_MAX_BYTES, decode_frame, encode_frame};
use super::handshake::Socket;
use crate::seal::{FRAME_TAG_BYTES, FrameOpener, FrameSealer, LinkSession};

/// How often a link with replies outstanding is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The silence, with replies outstanding, after which a link counts as cut.
const SILENCE_MAX: Duration = Duration::from_millis(400);
/// The most messages that travel in one frame.
const FRAME_MESSAGES_MAX: usize = 512;
/// Bytes that the WebSocket layer gathers before it writes.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Says why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// This VM closed its side.
    ClosedHere,
    /// The peer closed, refused the handshake, or the connection broke.
    ClosedThere,
    /// The peer was silent although replies were outstanding.
    Silent,
    /// The peer sent something that is not of the protocol.
    Malformed,
}

/// Returns the limits of the WebSocket layer.
pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .read_buffer_size(WRITE_BUFFER_BYTES)
        .max_message_size(Some(FRAME_MAX_BYTES + FRAME_TAG_BYTES))
        .max_frame_size(Some(FRAME_MAX_BYTES + FRAME_TAG_BYTES))
}

/// Runs one authenticated link until it ends.
///
/// `expected` tells how many replies a sent message calls for, `on_receive` takes each received
/// message and tells how many replies it settles.
pub(crate) async fn run_link<S, R>(
    socket: Socket,
    session: LinkSession,
    outgoing: mpsc::Receiver<S>,
    expected: impl Fn(&S) -> usize,
    on_receive: impl FnMut(R) -> usize,
) -> LinkEnd
where
    S: Serialize,
    R: DeserializeOwned,
{
    let (sink, stream) = socket.split();
    let liveness = Liveness::new();
    let writer = Writer { sink, sealer: session.sealer, liveness: &liveness };
    // Both loops run side by side: a writer that waits for the peer must not stop the reader.
    tokio::select! {
        end = writer.run(outgoing, expected) => end,
        end = read(stream, session.opener, &liveness, on_receive) => end,
    }
}

/// What both loops know of the peer.
struct Liveness {
    state: Mutex<LivenessState>,
}

struct LivenessState {
    outstanding: usize,
    heard_at: Instant,
}

impl Liveness {
    fn new() -> Self {
        let state = LivenessState { outstanding: 0, heard_at: Instant::now() };
        Self { state: Mutex::new(state) }
    }

    fn sent(&self, expected: usize) {
        let mut state = self.lock();
        if state.outstanding == 0 {
            state.heard_at = Instant::now();
        }
        state.outstanding += expected;
    }

    fn heard(&self, settled: usize) {
        let mut state = self.lock();
        state.heard_at = Instant::now();
        state.outstanding = state.outstanding.saturating_sub(settled);
    }

    /// Returns how long the peer has been silent; zero while nothing is outstanding.
    fn silence(&self) -> Duration {
        let state = self.lock();
        if state.outstanding == 0 { Duration::ZERO } else { state.heard_at.elapsed() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LivenessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Writer<'a> {
    sink: SplitSink<Socket, Message>,
    sealer: FrameSealer,
    liveness: &'a Liveness,
}

impl Writer<'_> {
    async fn run<S: Serialize>(
        mut self,
        mut outgoing: mpsc::Receiver<S>,
        expected: impl Fn(&S) -> usize,
    ) -> LinkEnd {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                received = outgoing.recv_many(&mut batch, FRAME_MESSAGES_MAX) => {
                    if received == 0 {
                        let _ = self.sink.close().await;
                        return LinkEnd::ClosedHere;
                    }
                    self.liveness.sent(batch.iter().map(&expected).sum());
                    if self.send_batch(&mut batch).await.is_err() {
                        return LinkEnd::ClosedThere;
                    }
                }
                _ = checks.tick() => {
                    let silence = self.liveness.silence();
                    if silence > SILENCE_MAX {
                        return LinkEnd::Silent;
                    }
                    let ping = Message::Ping(Vec::new().into());
                    if silence > CHECK_INTERVAL && self.sink.send(ping).await.is_err() {
                        return LinkEnd::ClosedThere;
                    }
                }
            }
        }
    }

    async fn send_batch<S: Serialize>(&mut self, batch: &mut Vec<S>) -> Result<(), ()> {
        let frame = encode_frame(batch).map_err(|error| {
            log::error!(target: "papaya::link", "link: Cannot send: {error}.");
        })?;
        batch.clear();
        let sealed = self.sealer.seal(frame);
        self.sink.send(Message::Binary(sealed.into())).await.map_err(|_| ())
    }
}

async fn read<R: DeserializeOwned>(
    mut stream: SplitStream<Socket>,
    mut opener: FrameOpener,
    liveness: &Liveness,
    mut on_receive: impl FnMut(R) -> usize,
) -> LinkEnd {
    loop {
        let settled = match stream.next().await {
            Some(Ok(Message::Binary(sealed))) => {
                let opened = opener.open(sealed);
                let Ok(messages) = opened
                    .map_err(|_| ())
                    .and_then(|bytes| decode_frame::<R>(&bytes).map_err(|_| ()))
                else {
                    return LinkEnd::Malformed;
                };
                messages.into_iter().map(&mut on_receive).sum()
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => 0,
            Some(Ok(Message::Close(_)) | Err(_)) | None => return LinkEnd::ClosedThere,
            Some(Ok(_)) => return LinkEnd::Malformed,
        };
        liveness.heard(settled);
    }
}
