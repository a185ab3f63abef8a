//! The handshake at the start of a link, which admits only holders of the system's key.

use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::ids::VmAddress;
use crate::membership::VmIdentity;
use crate::seal::{ClientHandshake, Keyring, LinkSession, ServerHandshake, new_nonce};

/// A WebSocket that carries a link.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Runs the dialling side, in which both VMs prove that they hold a key; `None` on failure.
pub(crate) async fn client_handshake(
    socket: &mut Socket,
    keyring: &Keyring,
    own: &VmIdentity,
    peer: VmAddress,
) -> Option<LinkSession> {
    let nonce = new_nonce(&mut rand::rng());
    let (handshake, hello) = ClientHandshake::start(keyring, own.clone(), peer, nonce);
    send(socket, hello).await?;
    let challenge = receive(socket).await?;
    let (proof, session) = handshake.on_challenge(&challenge).ok()?;
    send(socket, proof).await?;
    Some(session)
}

/// Runs the accepting side, in which both VMs prove that they hold a key; `None` on failure.
pub(crate) async fn server_handshake(
    socket: &mut Socket,
    keyring: &Keyring,
    own: &VmIdentity,
) -> Option<LinkSession> {
    let hello = receive(socket).await?;
    let nonce = new_nonce(&mut rand::rng());
    let (handshake, challenge) =
        ServerHandshake::on_hello(keyring, own.clone(), &hello, nonce).ok()?;
    send(socket, challenge).await?;
    let proof = receive(socket).await?;
    handshake.on_proof(&proof).ok()
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) -> Option<()> {
    socket.send(Message::Binary(bytes.into())).await.ok()
}

async fn receive(socket: &mut Socket) -> Option<Vec<u8>> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Some(bytes.to_vec()),
        _ => None,
    }
}
