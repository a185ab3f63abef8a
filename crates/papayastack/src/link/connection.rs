//! One link: its write loop, its read loop and the detection of a silent peer.

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

/// Interval of the checks for silence, and the silence after which a ping is sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a peer with replies outstanding may be silent before the link is closed.
const SILENCE_MAX: Duration = Duration::from_millis(400);
/// The most messages that are sent in one frame.
const FRAME_MESSAGES_MAX: usize = 512;
/// Size of the WebSocket layer's read buffer, and the bytes that it gathers before a write.
const WEBSOCKET_BUFFER_BYTES: usize = 16 * 1024;

/// Says why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkEndReason {
    /// This VM closed its side.
    ClosedLocally,
    /// The peer closed the link, the connection broke, or it could not be established.
    Disconnected,
    /// The peer was silent although replies were outstanding.
    Silent,
    /// The peer sent a frame that is not authentic or violates the protocol.
    Malformed,
}

/// Returns the limits of the WebSocket layer.
pub(crate) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .write_buffer_size(WEBSOCKET_BUFFER_BYTES)
        .read_buffer_size(WEBSOCKET_BUFFER_BYTES)
        .max_message_size(Some(FRAME_MAX_BYTES + FRAME_TAG_BYTES))
        .max_frame_size(Some(FRAME_MAX_BYTES + FRAME_TAG_BYTES))
}

/// Runs one authenticated link until it ends.
///
/// `expected` returns how many replies a sent message expects. `on_receive` handles a received
/// message and returns how many outstanding replies it delivers.
pub(crate) async fn run_link<S, R>(
    socket: Socket,
    session: LinkSession,
    outgoing: mpsc::Receiver<S>,
    expected: impl Fn(&S) -> usize,
    on_receive: impl FnMut(R) -> usize,
) -> LinkEndReason
where
    S: Serialize,
    R: DeserializeOwned,
{
    let (sink, stream) = socket.split();
    let liveness = Liveness::new();
    let writer = Writer { sink, sealer: session.sealer, liveness: &liveness };
    // The loops run concurrently, so that a writer blocked by the peer does not stop the reader.
    tokio::select! {
        end = writer.run(outgoing, expected) => end,
        end = read(stream, session.opener, &liveness, on_receive) => end,
    }
}

/// Outstanding replies and the silence of the peer, shared by both loops.
struct Liveness {
    state: Mutex<LivenessState>,
}

struct LivenessState {
    outstanding: usize,
    silent_since: Instant,
}

impl Liveness {
    fn new() -> Self {
        let state = LivenessState { outstanding: 0, silent_since: Instant::now() };
        Self { state: Mutex::new(state) }
    }

    fn record_sent(&self, expected: usize) {
        let mut state = self.lock();
        if state.outstanding == 0 {
            state.silent_since = Instant::now();
        }
        state.outstanding += expected;
    }

    fn record_received(&self, replies: usize) {
        let mut state = self.lock();
        state.silent_since = Instant::now();
        state.outstanding = state.outstanding.saturating_sub(replies);
    }

    /// Returns how long the peer has been silent; zero while nothing is outstanding.
    fn silence(&self) -> Duration {
        let state = self.lock();
        if state.outstanding == 0 { Duration::ZERO } else { state.silent_since.elapsed() }
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
    ) -> LinkEndReason {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                received = outgoing.recv_many(&mut batch, FRAME_MESSAGES_MAX) => {
                    if received == 0 {
                        let _ = self.sink.close().await;
                        return LinkEndReason::ClosedLocally;
                    }
                    self.liveness.record_sent(batch.iter().map(&expected).sum());
                    if self.send_batch(&mut batch).await.is_err() {
                        return LinkEndReason::Disconnected;
                    }
                }
                _ = checks.tick() => {
                    let silence = self.liveness.silence();
                    if silence > SILENCE_MAX {
                        return LinkEndReason::Silent;
                    }
                    let ping = Message::Ping(Vec::new().into());
                    if silence > CHECK_INTERVAL && self.sink.send(ping).await.is_err() {
                        return LinkEndReason::Disconnected;
                    }
                }
            }
        }
    }

    async fn send_batch<S: Serialize>(&mut self, batch: &mut Vec<S>) -> Result<(), ()> {
        let frame = encode_frame(batch).map_err(|error| {
            log::error!(
                target: "papaya::link",
                "link: Cannot send {} messages, closing the link: {error}.",
                batch.len()
            );
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
) -> LinkEndReason {
    loop {
        let replies = match stream.next().await {
            Some(Ok(Message::Binary(sealed))) => {
                let opened = opener.open(sealed);
                let Ok(messages) = opened
                    .map_err(|_| ())
                    .and_then(|bytes| decode_frame::<R>(&bytes).map_err(|_| ()))
                else {
                    return LinkEndReason::Malformed;
                };
                messages.into_iter().map(&mut on_receive).sum()
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => 0,
            Some(Ok(Message::Close(_)) | Err(_)) | None => return LinkEndReason::Disconnected,
            Some(Ok(_)) => return LinkEndReason::Malformed,
        };
        liveness.record_received(replies);
    }
}
