//! Submissions, which run at most once across retries, VMs and outages of the platform's store.
//!
//! A ledger of objects in the platform holds each key's latest attempt: its intent is written
//! before the submission is sent to an upstream, and its outcome afterwards.

mod coordinator;
mod driver;
mod key;
mod layout;
mod prune_pass;
mod pruner;
mod record;
mod refusals;
mod request;
mod sender;
#[cfg(test)]
mod tests;
mod writer;

pub use driver::{SubmissionCoordinator, WallClock};
pub use key::{SUBMISSION_KEY_MAX_BYTES, SubmissionKey, SubmissionKeyError};
pub use pruner::LedgerPruner;
pub use record::RECEIPT_MAX_BYTES;
pub use sender::{SendOutcome, Submission, SubmissionDone, SubmissionSender};
