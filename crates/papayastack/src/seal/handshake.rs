//! The handshake at the start of a link, in which both VMs prove that they hold a system key.
//!
//! | message | sent by | content, followed by a tag |
//! |---|---|---|
//! | hello | client | its identity, the server's address, a nonce |
//! | challenge | server | its identity, a nonce |
//! | proof | client | nothing |
//!
//! Each tag covers all earlier messages. Both sides derive one key for each direction from hello
//! and challenge, so that a frame is never accepted on another link or in the other direction.

use papayastack_macros::message;
use rand::Rng;
use serde::de::DeserializeOwned;

use crate::cbor;
use crate::ids::VmAddress;
use crate::membership::VmIdentity;

use super::keyring::{Key, TAG_BYTES};
use super::{FrameOpener, FrameSealer, Keyring, SealError};

/// The longest handshake message in bytes.
pub const HANDSHAKE_MAX_BYTES: usize = 512;

const HELLO_LABEL: &str = "papayastack link hello 1";
const CHALLENGE_LABEL: &str = "papayastack link challenge 1";
const PROOF_LABEL: &str = "papayastack link proof 1";
const CLIENT_TO_SERVER_LABEL: &str = "papayastack link client to server 1";
const SERVER_TO_CLIENT_LABEL: &str = "papayastack link server to client 1";

/// Random bytes that make the keys of each link unique.
pub type Nonce = [u8; 32];

/// Draws a nonce from a cryptographically secure source such as `rand::rng()`.
pub fn new_nonce(random: &mut impl rand::CryptoRng) -> Nonce {
    random.random()
}

/// The client side of a handshake, which has sent its hello and awaits the challenge.
pub struct ClientHandshake {
    key: Key,
    server: VmAddress,
    hello: Vec<u8>,
}

impl ClientHandshake {
    /// Starts a link to `server` and returns the hello to send.
    pub fn start(
        keyring: &Keyring,
        own: VmIdentity,
        server: VmAddress,
        nonce: Nonce,
    ) -> (Self, Vec<u8>) {
        let key = keyring.signing().clone();
        let content = cbor::encode(&Hello { client: own, server, nonce });
        let hello = append_tag(&key, HELLO_LABEL, &[], content);
        (Self { key, server, hello: hello.clone() }, hello)
    }

    /// Verifies the server's challenge; returns the proof to send and the session.
    ///
    /// # Errors
    /// The challenge is malformed, not authentic, or from another VM than the one addressed.
    pub fn on_challenge(self, challenge: &[u8]) -> Result<(Vec<u8>, LinkSession), SealError> {
        let (content, tag) = split_tag(challenge)?;
        if !self.key.verify(CHALLENGE_LABEL, &[&self.hello, content], tag) {
            return Err(SealError::Unauthenticated);
        }
        let Challenge { server, .. } = decode(content)?;
        if server.address != self.server {
            return Err(SealError::UnexpectedPeer);
        }
        let transcript = [self.hello.as_slice(), challenge];
        let proof = self.key.tag(PROOF_LABEL, &transcript).to_vec();
        let session = LinkSession {
            peer: server,
            sealer: FrameSealer::new(self.key.derive(CLIENT_TO_SERVER_LABEL, &transcript)),
            opener: FrameOpener::new(self.key.derive(SERVER_TO_CLIENT_LABEL, &transcript)),
        };
        Ok((proof, session))
    }
}

/// The server side of a handshake, which has sent its challenge and awaits the proof.
pub struct ServerHandshake {
    key: Key,
    client: VmIdentity,
    hello: Vec<u8>,
    challenge: Vec<u8>,
}

impl ServerHandshake {
    /// Verifies a client's hello and returns the challenge to send.
    ///
    /// # Errors
    /// The hello is malformed, not authentic, or addressed to another VM.
    pub fn on_hello(
        keyring: &Keyring,
        own: VmIdentity,
        hello: &[u8],
        nonce: Nonce,
    ) -> Result<(Self, Vec<u8>), SealError> {
        let (content, tag) = split_tag(hello)?;
        let key =
            keyring.verify(HELLO_LABEL, &[content], tag).ok_or(SealError::Unauthenticated)?.clone();
        let Hello { client, server, .. } = decode(content)?;
        if server != own.address {
            return Err(SealError::UnexpectedPeer);
        }
        let content = cbor::encode(&Challenge { server: own, nonce });
        let challenge = append_tag(&key, CHALLENGE_LABEL, &[hello], content);
        Ok((Self { key, client, hello: hello.to_vec(), challenge: challenge.clone() }, challenge))
    }

    /// Verifies the client's proof and returns the session.
    ///
    /// # Errors
    /// The proof is malformed or not authentic.
    pub fn on_proof(self, proof: &[u8]) -> Result<LinkSession, SealError> {
        if proof.len() != TAG_BYTES {
            return Err(SealError::Malformed);
        }
        let transcript = [self.hello.as_slice(), self.challenge.as_slice()];
        if !self.key.verify(PROOF_LABEL, &transcript, proof) {
            return Err(SealError::Unauthenticated);
        }
        Ok(LinkSession {
            peer: self.client,
            sealer: FrameSealer::new(self.key.derive(SERVER_TO_CLIENT_LABEL, &transcript)),
            opener: FrameOpener::new(self.key.derive(CLIENT_TO_SERVER_LABEL, &transcript)),
        })
    }
}

/// The session of an authenticated link.
#[derive(Debug)]
pub struct LinkSession {
    /// The VM at the other end, which has proved that it holds a system key.
    pub peer: VmIdentity,
    /// Seals the frames that this VM sends.
    pub sealer: FrameSealer,
    /// Opens the frames that this VM receives.
    pub opener: FrameOpener,
}

#[message]
struct Hello {
    client: VmIdentity,
    server: VmAddress,
    nonce: Nonce,
}

#[message]
struct Challenge {
    server: VmIdentity,
    nonce: Nonce,
}

fn decode<T: DeserializeOwned>(content: &[u8]) -> Result<T, SealError> {
    cbor::decode(content).ok_or(SealError::Malformed)
}

/// Appends a tag over `earlier` messages and `content`.
fn append_tag(key: &Key, label: &str, earlier: &[&[u8]], mut content: Vec<u8>) -> Vec<u8> {
    let mut parts = earlier.to_vec();
    parts.push(&content);
    let tag = key.tag(label, &parts);
    content.extend_from_slice(&tag);
    content
}

fn split_tag(message: &[u8]) -> Result<(&[u8], &[u8; TAG_BYTES]), SealError> {
    if message.len() > HANDSHAKE_MAX_BYTES {
        return Err(SealError::Oversize);
    }
    message.split_last_chunk::<TAG_BYTES>().ok_or(SealError::Malformed)
}
