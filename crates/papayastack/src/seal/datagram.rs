//! Sealed datagrams: a header, a body, and a tag that also covers the receiver's address.

use std::sync::Arc;

use papayastack_macros::message;

use crate::ids::{Incarnation, VmAddress};
use crate::membership::VmIdentity;

use super::replay::ReplayGuard;
use super::{Keyring, SealCounts, SealError};

/// The longest datagram in bytes, which fits into one packet on common networks.
pub const DATAGRAM_MAX_BYTES: usize = 1_400;

const DATAGRAM_TAG_BYTES: usize = 16;
const DATAGRAM_LABEL: &str = "papayastack datagram 1";

/// Seals the datagrams of one VM.
#[derive(Debug)]
pub struct DatagramSealer {
    keyring: Arc<Keyring>,
    sender: VmIdentity,
    sequence: u64,
}

impl DatagramSealer {
    /// Creates the sealer of the VM `sender`. A process must create only one, because receivers
    /// drop datagrams whose sequence number they have seen.
    pub fn new(keyring: Arc<Keyring>, sender: VmIdentity) -> Self {
        Self { keyring, sender, sequence: 0 }
    }

    /// Seals `body` for the VM at `receiver`; `incarnation` names the receiving process if known.
    ///
    /// # Errors
    /// The datagram would be longer than [`DATAGRAM_MAX_BYTES`].
    pub fn seal(
        &mut self,
        receiver: VmAddress,
        incarnation: Option<Incarnation>,
        body: &[u8],
    ) -> Result<Vec<u8>, SealError> {
        self.sequence += 1;
        let header = Header(self.sender.clone().into(), self.sequence, incarnation);
        let mut datagram = Vec::with_capacity(DATAGRAM_MAX_BYTES);
        ciborium::into_writer(&header, &mut datagram).map_err(|_| SealError::Malformed)?;
        datagram.extend_from_slice(body);
        if datagram.len() + DATAGRAM_TAG_BYTES > DATAGRAM_MAX_BYTES {
            return Err(SealError::Oversize);
        }
        let receiver = receiver.to_string();
        let parts = [receiver.as_bytes(), &datagram];
        let tag = self.keyring.signing().tag(DATAGRAM_LABEL, &parts);
        datagram.extend_from_slice(&tag[..DATAGRAM_TAG_BYTES]);
        Ok(datagram)
    }
}

/// Opens the datagrams that reach one VM.
#[derive(Debug)]
pub struct DatagramOpener {
    keyring: Arc<Keyring>,
    receiver_text: String,
    replays: ReplayGuard,
    dropped: SealCounts,
}

impl DatagramOpener {
    /// Creates the opener of the VM at `receiver`.
    pub fn new(keyring: Arc<Keyring>, receiver: VmAddress) -> Self {
        Self {
            keyring,
            receiver_text: receiver.to_string(),
            replays: ReplayGuard::default(),
            dropped: SealCounts::default(),
        }
    }

    /// Verifies and opens `datagram`; one that must be dropped is counted.
    ///
    /// # Errors
    /// The datagram is too long, malformed, not authentic, for another VM, replayed, or from a
    /// process that has been replaced.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, SealError> {
        let opened = self.open_uncounted(datagram);
        if let Err(reason) = &opened {
            self.dropped.add(*reason);
        }
        opened
    }

    /// Counts an opened datagram whose body could not be decoded.
    pub fn count_malformed(&mut self) {
        self.dropped.add(SealError::Malformed);
    }

    /// Returns the counts of dropped datagrams.
    pub fn dropped(&self) -> &SealCounts {
        &self.dropped
    }

    fn open_uncounted<'a>(&mut self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, SealError> {
        if datagram.len() > DATAGRAM_MAX_BYTES {
            return Err(SealError::Oversize);
        }
        let (content, tag) =
            datagram.split_last_chunk::<DATAGRAM_TAG_BYTES>().ok_or(SealError::Malformed)?;
        self.keyring
            .verify(DATAGRAM_LABEL, &[self.receiver_text.as_bytes(), content], tag)
            .ok_or(SealError::Unauthenticated)?;
        let mut body = content;
        let Header(sender, sequence, incarnation) =
            ciborium::from_reader(&mut body).map_err(|_| SealError::Malformed)?;
        let sender = VmIdentity::from(sender);
        self.replays.admit(sender.clone(), sequence)?;
        Ok(OpenedDatagram { sender, receiver_incarnation: incarnation, body })
    }
}

/// An authentic datagram that arrived for the first time.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The VM that sent it.
    pub sender: VmIdentity,
    /// The incarnation of the process that it was sent to, if the sender knew it.
    pub receiver_incarnation: Option<Incarnation>,
    /// The bytes that the sender sealed, not yet decoded.
    pub body: &'a [u8],
}

/// The part of a datagram before its body: sender, sequence number, the receiver's incarnation.
#[message]
struct Header(SenderFields, u64, Option<Incarnation>);

/// The sender's identity, encoded without field names to shorten the header.
#[message]
struct SenderFields(VmAddress, Incarnation);

impl From<VmIdentity> for SenderFields {
    fn from(identity: VmIdentity) -> Self {
        Self(identity.address, identity.incarnation)
    }
}

impl From<SenderFields> for VmIdentity {
    fn from(SenderFields(address, incarnation): SenderFields) -> Self {
        Self { address, incarnation }
    }
}
