//! The content of a ledger object.

use std::collections::BTreeMap;

use papayastack_macros::message;
use sha2::{Digest, Sha256};

use crate::ids::ServiceName;

/// Identifies one attempt to run a submission; drawn at random.
pub(crate) type SubmissionAttempt = u64;

/// The size at which an object takes no further intents, in bytes.
pub(crate) const OBJECT_MAX_BYTES: usize = 900_000;
/// The longest receipt that is kept, in bytes.
pub const RECEIPT_MAX_BYTES: usize = 1_024;
/// The size of an entry beside its key and receipt, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 192;
/// The most bytes that JSON makes of one, for a control character.
const JSON_EXPANSION_MAX: usize = 6;

/// The submissions of one bucket and span of issue times.
#[message]
#[derive(Default)]
pub(crate) struct LedgerObject {
    /// What is known of each key.
    pub(crate) entries: BTreeMap<String, LedgerEntry>,
}

impl LedgerObject {
    /// Returns an upper bound of the size when every outcome is recorded, in bytes.
    pub(crate) fn bytes_max(&self) -> usize {
        self.entries.iter().map(|(key, entry)| entry.bytes_max(key)).sum()
    }

    /// Records `outcome` if the entry of `key` is still that of `attempt` and has none.
    pub(crate) fn settle(
        &mut self,
        key: &str,
        attempt: SubmissionAttempt,
        outcome: &RecordedOutcome,
    ) {
        let entry = self.entries.get_mut(key).filter(|entry| entry.attempt == attempt);
        if let Some(entry) = entry.filter(|entry| entry.outcome.is_none()) {
            entry.outcome = Some(outcome.clone());
        }
    }
}

/// The latest attempt to run one submission.
#[message]
pub(crate) struct LedgerEntry {
    /// The attempt.
    pub(crate) attempt: SubmissionAttempt,
    /// The digest of service and body.
    pub(crate) body: BodyDigest,
    /// When the attempt's deadline ends by the clock of its VM, in unix milliseconds.
    pub(crate) until_unix_ms: u64,
    /// How the attempt ended; absent while it may still run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) outcome: Option<RecordedOutcome>,
}

impl LedgerEntry {
    /// Returns an upper bound of the entry's size under `key`, in bytes.
    pub(crate) fn bytes_max(&self, key: &str) -> usize {
        let receipt = match &self.outcome {
            Some(RecordedOutcome::Done { receipt }) => receipt.len(),
            Some(RecordedOutcome::NotRun | RecordedOutcome::Unknown) => 0,
            None => RECEIPT_MAX_BYTES,
        };
        ENTRY_OVERHEAD_BYTES + JSON_EXPANSION_MAX * (key.len() + receipt)
    }
}

/// How an attempt ended.
#[message]
#[serde(rename_all = "snake_case")]
pub(crate) enum RecordedOutcome {
    /// The submission ran.
    Done {
        /// The upstream's receipt.
        receipt: String,
    },
    /// Proven not run: another attempt may follow.
    NotRun,
    /// Whether the submission ran is not known: no attempt may follow.
    Unknown,
}

/// The hexadecimal SHA-256 of service and body.
pub(crate) type BodyDigest = String;

/// Digests what a submission asks for, so that a key can't be reused for something else.
pub(crate) fn body_digest(service: &ServiceName, body: &serde_json::Value) -> BodyDigest {
    let mut hasher = Sha256::new();
    hasher.update(service.as_bytes());
    hasher.update([0]);
    hasher.update(body.to_string().as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Shortens a receipt to [`RECEIPT_MAX_BYTES`].
pub(crate) fn bounded_receipt(mut receipt: String) -> String {
    let mut end = receipt.len().min(RECEIPT_MAX_BYTES);
    while !receipt.is_char_boundary(end) {
        end -= 1;
    }
    receipt.truncate(end);
    receipt
}
