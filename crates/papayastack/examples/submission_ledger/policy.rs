//! Ways to run submissions at most once, and the VMs that follow them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{
    DeliveryRecord, Refusal, RefusalReason, SendOutcome, Submission, SubmissionCoordinator,
    SubmissionDone, SubmissionKey, SubmissionSender, SubmissionSettings, SubmitRequest, WallClock,
};

use crate::store::{Life, Store, Upstream, UpstreamMemory, VmPlatform, VmSender};

/// A way to run submissions at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The ledger in the platform.
    Ledger,
    /// The entry VM remembers what it ran; another process than the first refuses the key.
    Ticket,
    /// VMs remember nothing; upstreams do, and the one that ran the key stays.
    UpstreamMemory,
    /// VMs remember nothing; upstreams do, and the one that ran the key is replaced too.
    UpstreamReplaced,
}

impl Policy {
    pub(crate) const ALL: [Self; 4] =
        [Self::Ledger, Self::Ticket, Self::UpstreamMemory, Self::UpstreamReplaced];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ledger => "ledger",
            Self::Ticket => "ticket",
            Self::UpstreamMemory => "upstream stays",
            Self::UpstreamReplaced => "upstream goes",
        }
    }

    /// Returns what upstreams remember under this policy.
    pub(crate) fn upstream_memory(self) -> UpstreamMemory {
        match self {
            Self::Ledger | Self::Ticket => UpstreamMemory::None,
            Self::UpstreamMemory => UpstreamMemory::Lasting,
            Self::UpstreamReplaced => UpstreamMemory::UntilReplaced,
        }
    }
}

/// One VM.
pub(crate) struct Vm {
    pub(crate) life: Life,
    policy: Policy,
    coordinator: SubmissionCoordinator,
    sender: Arc<VmSender>,
}

impl Vm {
    pub(crate) fn spawn(
        policy: Policy,
        life: Life,
        store: &Arc<Store>,
        upstream: &Arc<Upstream>,
        clock: &WallClock,
    ) -> Self {
        let platform = VmPlatform { store: Arc::clone(store), life: life.clone() };
        let sender = Arc::new(VmSender { upstream: Arc::clone(upstream), life: life.clone() });
        let coordinator = SubmissionCoordinator::spawn_with_clock(
            Arc::new(platform),
            SubmissionSettings::default(),
            Arc::clone(&sender) as Arc<dyn SubmissionSender>,
            Arc::clone(clock),
        );
        Self { life, policy, coordinator, sender }
    }

    /// Returns the bucket of `key`.
    pub(crate) async fn bucket_of(&self, key: &str) -> u32 {
        let key = SubmissionKey::parse(key).expect("the callers' keys are well formed");
        self.coordinator.bucket_of(key).await.unwrap_or_default()
    }

    /// Runs a submission; `first` says whether its caller sent it to no other VM before.
    pub(crate) async fn submit(
        &self,
        submission: Submission,
        first: bool,
        wait: Duration,
    ) -> Result<SubmissionDone, Refusal> {
        let deadline = tokio::time::Instant::now().into_std() + wait;
        match self.policy {
            Policy::Ledger => self.coordinator.submit(submission, deadline).await,
            Policy::Ticket if !first => Err(other_ticket()),
            Policy::Ticket | Policy::UpstreamMemory | Policy::UpstreamReplaced => {
                self.send(submission, deadline).await
            }
        }
    }

    async fn send(
        &self,
        submission: Submission,
        deadline: Instant,
    ) -> Result<SubmissionDone, Refusal> {
        let left = deadline.saturating_duration_since(tokio::time::Instant::now().into_std());
        let request = SubmitRequest {
            service: submission.service,
            key: submission.key.unwrap_or_default(),
            body: submission.body,
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        match self.sender.send(request).await {
            SendOutcome::Done { receipt } => Ok(SubmissionDone { receipt, repeated: false }),
            SendOutcome::NotRun { reason, detail, retry_after } => {
                Err(DeliveryRecord::new().refuse(reason, detail, retry_after))
            }
            SendOutcome::Unknown { detail } => Err(unknown(&detail)),
        }
    }
}

fn other_ticket() -> Refusal {
    unknown("the ticket belongs to a process that is gone")
}

fn unknown(detail: &str) -> Refusal {
    let mut delivery = DeliveryRecord::new();
    delivery.sent_to("another process");
    delivery.refuse(RefusalReason::EarlierAttemptUnknown, detail, None)
}
