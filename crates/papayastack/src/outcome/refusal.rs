//! Refusals, and the record of recipients that decides whether a refusal may claim "not run".

use std::collections::BTreeSet;
use std::time::Duration;

use papayastack_macros::{closed_set, message};

/// Whether a refused request may have run.
#[closed_set]
pub enum Certainty {
    /// No part of the request ran.
    NotRun,
    /// Some part of the request may have run.
    OutcomeUnknown,
}

/// Says why a request was refused.
#[closed_set]
pub enum RefusalReason {
    /// The request is malformed or breaks a limit.
    BadRequest,
    /// The service is not configured.
    UnknownService,
    /// The VM is at its limit of requests in flight.
    Overloaded,
    /// The deadline leaves too little time.
    DeadlineTooShort,
    /// The VM has no configuration or snapshot yet.
    NotReady,
    /// The VM is leaving.
    Leaving,
    /// The platform's store does not answer.
    StoreUnavailable,
    /// No replica could be reached.
    UpstreamUnavailable,
    /// The deadline passed.
    DeadlineExceeded,
    /// The same submission key came with another body.
    Conflict,
    /// The submission key was issued before the retention window.
    NoLongerKnown,
    /// The submission is still in progress.
    InProgress,
    /// An earlier attempt of the submission has an unknown outcome.
    EarlierAttemptUnknown,
}

/// The reason why a request was refused, whether the request may have run, and when to
/// retry.
#[message]
pub struct Refusal {
    certainty: Certainty,
    reason: RefusalReason,
    detail: String,
    retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Returns whether the request may have run.
    pub fn certainty(&self) -> Certainty {
        self.certainty
    }

    /// Returns why the request was refused.
    pub fn reason(&self) -> RefusalReason {
        self.reason
    }

    /// Returns a human-readable explanation with a remedy.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns how long to wait before a retry; `None` if the same request cannot succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after_ms.map(Duration::from_millis)
    }
}

/// Records who may have received part of a request, so that a refusal claims "not run" only if
/// that is proved.
#[derive(Debug, Default)]
pub struct DeliveryRecord {
    unconfirmed_recipients: BTreeSet<String>,
}

impl DeliveryRecord {
    /// Creates the record of a request that has not been sent yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `recipient`, an upstream or a VM, may have received part of the request.
    pub fn sent_to(&mut self, recipient: impl Into<String>) {
        self.unconfirmed_recipients.insert(recipient.into());
    }

    /// Records that `recipient` confirmed that it did not run its part.
    pub fn confirmed_not_run(&mut self, recipient: &str) {
        self.unconfirmed_recipients.remove(recipient);
    }

    /// Returns the certainty that a refusal may claim now.
    pub fn certainty(&self) -> Certainty {
        if self.unconfirmed_recipients.is_empty() {
            Certainty::NotRun
        } else {
            Certainty::OutcomeUnknown
        }
    }

    /// Ends the request with a refusal whose certainty follows from the recorded recipients.
    pub fn refuse(
        self,
        reason: RefusalReason,
        detail: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Refusal {
        Refusal {
            certainty: self.certainty(),
            reason,
            detail: detail.into(),
            retry_after_ms: retry_after
                .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}
