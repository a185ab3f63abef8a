//! Policies that run a submission at most once, and a VM that implements them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use papayastack::{
    DeliveryRecord, Refusal, RefusalReason, SendOutcome, Submission, SubmissionCoordinator,
    SubmissionDone, SubmissionKey, SubmissionSender, SubmissionSettings, SubmitRequest, WallClock,
};

use crate::store::{KillSignal, Store, Upstream, UpstreamMemory, VmPlatform, VmSender};

/// A policy that runs a submission at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// VMs record each key in a ledger on the platform.
    Ledger,
    /// The VM that got the first attempt remembers the key; every other VM refuses it.
    EntryVmMemory,
    /// Only upstreams remember keys, and the upstream that ran the key keeps running.
    UpstreamKept,
    /// Only upstreams remember keys, and the upstream is replaced when the VM is killed.
    UpstreamReplaced,
}

impl Policy {
    pub(crate) const ALL: [Self; 4] =
        [Self::Ledger, Self::EntryVmMemory, Self::UpstreamKept, Self::UpstreamReplaced];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ledger => "ledger",
            Self::EntryVmMemory => "ticket",
            Self::UpstreamKept => "upstream stays",
            Self::UpstreamReplaced => "upstream goes",
        }
    }

    /// Returns how long upstreams remember keys under this policy.
    pub(crate) fn upstream_memory(self) -> UpstreamMemory {
        match self {
            Self::Ledger | Self::EntryVmMemory => UpstreamMemory::None,
            Self::UpstreamKept => UpstreamMemory::Lasting,
            Self::UpstreamReplaced => UpstreamMemory::UntilReplaced,
        }
    }
}

/// A VM that runs submissions under one policy.
pub(crate) struct Vm {
    pub(crate) kill_signal: KillSignal,
    policy: Policy,
    coordinator: SubmissionCoordinator,
    sender: Arc<VmSender>,
}

impl Vm {
    pub(crate) fn spawn(
        policy: Policy,
        kill_signal: KillSignal,
        store: &Arc<Store>,
        upstream: &Arc<Upstream>,
        clock: &WallClock,
    ) -> Self {
        let platform = VmPlatform { store: Arc::clone(store), kill_signal: kill_signal.clone() };
        let sender =
            Arc::new(VmSender { upstream: Arc::clone(upstream), kill_signal: kill_signal.clone() });
        let coordinator = SubmissionCoordinator::spawn_with_clock(
            Arc::new(platform),
            SubmissionSettings::default(),
            Arc::clone(&sender) as Arc<dyn SubmissionSender>,
            Arc::clone(clock),
        );
        Self { kill_signal, policy, coordinator, sender }
    }

    /// Returns the bucket of `key`, or 0 if the coordinator reports none.
    pub(crate) async fn bucket_of(&self, key: &str) -> u32 {
        let key = SubmissionKey::parse(key).expect("callers send well-formed keys");
        self.coordinator.bucket_of(key).await.unwrap_or_default()
    }

    /// Runs a submission; `first_attempt` is false if the submission was sent to a VM before.
    pub(crate) async fn submit(
        &self,
        submission: Submission,
        first_attempt: bool,
        wait: Duration,
    ) -> Result<SubmissionDone, Refusal> {
        let deadline = tokio::time::Instant::now().into_std() + wait;
        match self.policy {
            Policy::Ledger => self.coordinator.submit(submission, deadline).await,
            Policy::EntryVmMemory if !first_attempt => Err(other_process()),
            Policy::EntryVmMemory | Policy::UpstreamKept | Policy::UpstreamReplaced => {
                self.send(submission, deadline).await
            }
        }
    }

    async fn send(
        &self,
        submission: Submission,
        deadline: Instant,
    ) -> Result<SubmissionDone, Refusal> {
        let remaining = deadline.saturating_duration_since(tokio::time::Instant::now().into_std());
        let request = SubmitRequest {
            service: submission.service,
            key: submission.key.unwrap_or_default(),
            body: submission.body,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        match self.sender.send(request).await {
            SendOutcome::Done { receipt } => Ok(SubmissionDone { receipt, repeated: false }),
            SendOutcome::NotRun { reason, detail, retry_after } => {
                Err(DeliveryRecord::new().refuse(reason, detail, retry_after))
            }
            SendOutcome::Unknown { detail } => Err(outcome_unknown(&detail)),
        }
    }
}

fn other_process() -> Refusal {
    outcome_unknown("the key was first sent to another VM, which may have run it")
}

fn outcome_unknown(detail: &str) -> Refusal {
    let mut delivery = DeliveryRecord::new();
    delivery.sent_to("another process");
    delivery.refuse(RefusalReason::EarlierAttemptUnknown, detail, None)
}
