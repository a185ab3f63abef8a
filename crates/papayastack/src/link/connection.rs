//! One link: the loop that writes what is queued, reads what arrives and watches for silence.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use super::codec::{FRAME_MAX_BYTES, decode_frame, encode_frame};

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
    /// The peer closed, or the connection broke.
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
        .max_message_size(Some(FRAME_MAX_BYTES))
        .max_frame_size(Some(FRAME_MAX_BYTES))
}

/// Runs one link until it ends.
///
/// `expected` tells how many replies a sent message calls for, `on_receive` takes each received
/// message and tells how many replies it settles.
pub(crate) async fn run_link<S, R>(
    mut socket: WebSocketStream<TcpStream>,
    mut outgoing: mpsc::Receiver<S>,
    expected: impl Fn(&S) -> usize,
    mut on_receive: impl FnMut(R) -> usize,
) -> LinkEnd
where
    S: Serialize,
    R: DeserializeOwned,
{
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut outstanding = 0_usize;
    let mut heard_at = Instant::now();
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            received = outgoing.recv_many(&mut batch, FRAME_MESSAGES_MAX) => {
                if received == 0 {
                    let _ = socket.close(None).await;
                    return LinkEnd::ClosedHere;
                }
                if outstanding == 0 {
                    heard_at = Instant::now();
                }
                outstanding += batch.iter().map(&expected).sum::<usize>();
                if send_batch(&mut socket, &mut batch).await.is_err() {
                    return LinkEnd::ClosedThere;
                }
            }
            received = socket.next() => {
                heard_at = Instant::now();
                match received {
                    Some(Ok(Message::Binary(bytes))) => match decode_frame::<R>(&bytes) {
                        Ok(messages) => {
                            let settled: usize = messages.into_iter().map(&mut on_receive).sum();
                            outstanding = outstanding.saturating_sub(settled);
                        }
                        Err(_) => return LinkEnd::Malformed,
                    },
                    Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
                    Some(Ok(Message::Close(_)) | Err(_)) | None => return LinkEnd::ClosedThere,
                    Some(Ok(_)) => return LinkEnd::Malformed,
                }
            }
            _ = checks.tick(), if outstanding > 0 => {
                let silence = heard_at.elapsed();
                if silence > SILENCE_MAX {
                    return LinkEnd::Silent;
                }
                let ping = Message::Ping(Vec::new().into());
                if silence > CHECK_INTERVAL && socket.send(ping).await.is_err() {
                    return LinkEnd::ClosedThere;
                }
            }
        }
    }
}

async fn send_batch<S: Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    batch: &mut Vec<S>,
) -> Result<(), ()> {
    let frame = encode_frame(batch).map_err(|error| {
        log::error!(target: "papaya::link", "Cannot send: {error}.");
    })?;
    batch.clear();
    socket.send(Message::Binary(frame.into())).await.map_err(|_| ())
}
