//! The system's shared keys, and the authentication tags made with them.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The length of an untruncated tag in bytes.
pub(crate) const TAG_BYTES: usize = 32;
/// An untruncated authentication tag (HMAC-SHA-256).
pub(crate) type Tag = [u8; TAG_BYTES];

const KEY_MIN_BYTES: usize = 16;
const KEYS_MAX: usize = 4;

/// The keys of the system: the first one signs, all are accepted.
///
/// A rotation appends the new key after the old one on all VMs, then swaps the two, then removes
/// the old one. At each step every VM accepts what any other signs.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl Keyring {
    /// Creates a keyring from the texts of the setting `system_keys`.
    ///
    /// # Errors
    /// There is no key, there are too many, or one is too short.
    pub fn new(texts: &[String]) -> Result<Self, KeyringError> {
        if texts.is_empty() {
            return Err(KeyringError::Empty);
        }
        if texts.len() > KEYS_MAX {
            return Err(KeyringError::TooMany { count: texts.len() });
        }
        if let Some(index) = texts.iter().position(|text| text.len() < KEY_MIN_BYTES) {
            return Err(KeyringError::TooShort { index, length_bytes: texts[index].len() });
        }
        Ok(Self { keys: texts.iter().map(|text| Key::new(text.as_bytes())).collect() })
    }

    /// Returns the first key, which this VM uses for its datagrams and for the links that it dials.
    pub(crate) fn signing(&self) -> &Key {
        &self.keys[0]
    }

    /// Returns the key that made `tag`, which may be truncated; `None` if no key did.
    pub(crate) fn verify(&self, label: &str, parts: &[&[u8]], tag: &[u8]) -> Option<&Key> {
        self.keys.iter().find(|key| key.verify(label, parts, tag))
    }
}

impl std::fmt::Debug for Keyring {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Keyring({} keys)", self.keys.len())
    }
}

/// One key, as an HMAC state from which tags are made.
#[derive(Clone)]
pub(crate) struct Key {
    mac: Hmac<Sha256>,
}

impl Key {
    /// Creates a key from bytes of any length.
    pub(crate) fn new(bytes: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length");
        Self { mac }
    }

    /// Makes a tag over `parts`; `label` names its purpose and separates it from other tags.
    pub(crate) fn tag(&self, label: &str, parts: &[&[u8]]) -> Tag {
        self.mac_over(label, parts).finalize().into_bytes().into()
    }

    /// Returns whether `tag`, which may be truncated, was made by this key; takes constant time.
    pub(crate) fn verify(&self, label: &str, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.mac_over(label, parts).verify_truncated_left(tag).is_ok()
    }

    /// Derives the key for the purpose that `label` names.
    pub(crate) fn derive(&self, label: &str, parts: &[&[u8]]) -> Self {
        Self::new(&self.tag(label, parts))
    }

    fn mac_over(&self, label: &str, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        update_delimited(&mut mac, label.as_bytes());
        for part in parts {
            update_delimited(&mut mac, part);
        }
        mac
    }
}

/// Adds a part preceded by its length, so that bytes cannot shift from one part to the next.
fn update_delimited(mac: &mut Hmac<Sha256>, part: &[u8]) {
    mac.update(&(part.len() as u64).to_be_bytes());
    mac.update(part);
}

/// Says what is wrong with the setting `system_keys`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyringError {
    /// There is no key.
    Empty,
    /// There are more keys than a rotation needs.
    TooMany {
        /// The number of keys.
        count: usize,
    },
    /// A key is too short to be secure.
    TooShort {
        /// The position of the key, from zero.
        index: usize,
        /// The length of the key in bytes.
        length_bytes: usize,
    },
}

impl std::fmt::Display for KeyringError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Empty => write!(formatter, "system_keys is empty; give at least one key"),
            Self::TooMany { count } => {
                write!(formatter, "system_keys holds {count} keys; at most {KEYS_MAX} are accepted")
            }
            Self::TooShort { index, length_bytes } => write!(
                formatter,
                "system_keys[{index}] has {length_bytes} bytes; use at least {KEY_MIN_BYTES} random \
                 bytes"
            ),
        }
    }
}

impl std::error::Error for KeyringError {}
