//! The content of a ledger object.

use std::collections::BTreeMap;

use papayastack_macros::message;
use sha2::{Digest, Sha256};

use crate::ids::ServiceName;

/// The id of one attempt to run a submission, drawn at random.
pub(crate) type SubmissionAttempt = u64;

/// The estimated size in bytes above which a ledger object takes no further intents.
pub(crate) const OBJECT_MAX_BYTES: usize = 900_000;
/// The maximum length of a stored receipt in bytes; longer receipts are truncated.
pub const RECEIPT_MAX_BYTES: usize = 1_024;
/// An upper bound in bytes of an entry's JSON without its key and receipt.
const ENTRY_OVERHEAD_BYTES: usize = 192;
/// The maximum number of bytes that JSON uses for one byte of text: `\u001f` for a control
/// character.
const JSON_EXPANSION_MAX: usize = 6;

/// The submissions of one bucket and one period of issue times.
#[message]
#[derive(Default)]
pub(crate) struct LedgerObject {
    /// The latest attempt of each key.
    pub(crate) entries: BTreeMap<String, LedgerEntry>,
}

impl LedgerObject {
    /// Returns an upper bound in bytes of the object's size once every outcome is recorded.
    pub(crate) fn bytes_max(&self) -> usize {
        self.entries.iter().map(|(key, entry)| entry.bytes_max(key)).sum()
    }

    /// Adds the entries of `earlier` that an older copy of the object lacks or holds without their
    /// outcome; returns whether there are any.
    pub(crate) fn restore_entries(&mut self, earlier: Self) -> bool {
        let mut restored = false;
        for (key, entry) in earlier.entries {
            let is_kept = self.entries.get(&key).is_some_and(|copied| copied.supersedes(&entry));
            if !is_kept {
                restored = true;
                self.entries.insert(key, entry);
            }
        }
        restored
    }

    /// Records `outcome` if the entry of `key` still belongs to `attempt` and has no outcome.
    pub(crate) fn record_outcome(
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
    /// The attempt that wrote this entry.
    pub(crate) attempt: SubmissionAttempt,
    /// The digest of the submission's service and body.
    pub(crate) body: BodyDigest,
    /// The attempt's deadline by the clock of its VM, in unix milliseconds.
    pub(crate) until_unix_ms: u64,
    /// How the attempt ended; absent until its VM records it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) outcome: Option<RecordedOutcome>,
}

impl LedgerEntry {
    /// Tells whether this entry, read after the store came back from an older copy, is as new as an
    /// entry that was known before.
    ///
    /// Where both show an attempt that ran or may have run, the one with a receipt says more.
    fn supersedes(&self, known: &Self) -> bool {
        if self.attempt == known.attempt {
            return self.outcome.is_some() || known.outcome.is_none();
        }
        match (&self.outcome, &known.outcome) {
            (Some(RecordedOutcome::NotRun), _) => false,
            (_, Some(RecordedOutcome::NotRun)) | (Some(RecordedOutcome::Done { .. }), _) => true,
            (_, Some(RecordedOutcome::Done { .. })) => false,
            (_, _) => true,
        }
    }

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
    /// The submission provably did not run: another attempt may follow.
    NotRun,
    /// Whether the submission ran is unknown: no attempt may follow.
    Unknown,
}

/// The hexadecimal SHA-256 of service and body.
pub(crate) type BodyDigest = String;

/// Returns the digest of a submission, by which the reuse of its key for another one is detected.
pub(crate) fn body_digest(service: &ServiceName, body: &serde_json::Value) -> BodyDigest {
    let mut hasher = Sha256::new();
    hasher.update(service.as_bytes());
    hasher.update([0]);
    hasher.update(body.to_string().as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Truncates a receipt to [`RECEIPT_MAX_BYTES`] at a character boundary.
pub(crate) fn truncate_receipt(mut receipt: String) -> String {
    let mut end = receipt.len().min(RECEIPT_MAX_BYTES);
    while !receipt.is_char_boundary(end) {
        end -= 1;
    }
    receipt.truncate(end);
    receipt
}
