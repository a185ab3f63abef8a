//! Routing of callers' submissions to the VM that owns their bucket, or to this VM's coordinator.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::entry::{check_service, in_force};
use super::shared::{Shared, lock};
use crate::caller::{RefusalAnswer, RequestContext, SubmissionAnswer, SubmissionRequest};
use crate::configuration::ActiveConfiguration;
use crate::ids::VmAddress;
use crate::link::{LinkReply, LinkRequest, RelayId, RelayResult, SourceId, SubmissionRelay};
use crate::outcome::{DeliveryRecord, Refusal, RefusalReason};
use crate::routing::owner_order;
use crate::submission::{Submission, SubmissionDone, SubmissionKey};

/// The deadline of a submission whose request sets none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(5);
/// The longest deadline of a submission.
const DEADLINE_MAX: Duration = Duration::from_secs(60);
/// The part of the deadline that is reserved for the owner's reply.
const RELAY_MARGIN: Duration = Duration::from_millis(20);

/// The outcome of a relayed submission.
pub(crate) enum RelayOutcome {
    /// The owner replied.
    Answered(RelayResult),
    /// The link to the owner broke; the owner may still run the submission.
    PeerLost,
}

/// The relayed submissions that wait for their owners' replies.
#[derive(Default)]
pub(crate) struct PendingRelays {
    next: AtomicU64,
    waiting: Mutex<BTreeMap<RelayId, (VmAddress, oneshot::Sender<RelayOutcome>)>>,
}

impl PendingRelays {
    fn register(&self, peer: VmAddress) -> (RelayId, oneshot::Receiver<RelayOutcome>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(id, (peer, sender));
        (id, receiver)
    }

    /// Removes a submission that no longer waits; a later reply is dropped.
    fn unregister(&self, id: RelayId) {
        lock(&self.waiting).remove(&id);
    }

    /// Delivers an owner's reply to the submission that waits for it.
    pub(crate) fn deliver(&self, from: VmAddress, id: RelayId, result: RelayResult) {
        let mut waiting = lock(&self.waiting);
        // A reply from a VM other than the owner that was asked is not trusted.
        if waiting.get(&id).is_some_and(|(peer, _)| *peer == from)
            && let Some((_, sender)) = waiting.remove(&id)
        {
            let _ = sender.send(RelayOutcome::Answered(result));
        }
    }

    /// Reports [`RelayOutcome::PeerLost`] to the submissions that were relayed to a lost peer.
    pub(crate) fn peer_lost(&self, peer: VmAddress) {
        let mut waiting = lock(&self.waiting);
        let lost: Vec<RelayId> =
            waiting.iter().filter(|(_, (to, _))| *to == peer).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some((_, sender)) = waiting.remove(&id) {
                let _ = sender.send(RelayOutcome::PeerLost);
            }
        }
    }
}

/// Answers one submission, which runs to its end even if the caller disconnects.
pub(crate) async fn answer_submission(
    shared: &Arc<Shared>,
    request: SubmissionRequest,
    context: RequestContext,
) -> Result<SubmissionAnswer, RefusalAnswer> {
    let request_id = context.request_id.clone();
    let task = tokio::spawn(run_submission(Arc::clone(shared), request, context));
    let result = task.await.unwrap_or_else(|_| {
        let mut delivery = DeliveryRecord::new();
        delivery.sent_to("this VM's submission coordinator");
        let detail = "the VM failed while it held the submission; ask again with the same key";
        Err(delivery.refuse(RefusalReason::EarlierAttemptUnknown, detail, None))
    });
    match result {
        Ok(done) => {
            Ok(SubmissionAnswer { request_id, receipt: done.receipt, repeated: done.repeated })
        }
        Err(refusal) => Err(RefusalAnswer { request_id, refusal }),
    }
}

async fn run_submission(
    shared: Arc<Shared>,
    request: SubmissionRequest,
    context: RequestContext,
) -> Result<SubmissionDone, Refusal> {
    let in_force = in_force(&shared)?;
    check_submission(&in_force, &request)?;
    let wait = request.deadline_ms.map_or(DEADLINE_DEFAULT, Duration::from_millis);
    let deadline = context.accepted_at + wait.min(DEADLINE_MAX);
    let submission = Submission { service: request.service, key: request.key, body: request.body };
    match owner_of(&shared, &submission).await {
        Some(owner) => relay(&shared, owner, submission, deadline).await,
        None => shared.submissions.submit(submission, deadline).await,
    }
}

fn check_submission(
    in_force: &ActiveConfiguration,
    request: &SubmissionRequest,
) -> Result<(), Refusal> {
    check_service(in_force, &request.service)?;
    let accepts = in_force
        .settings
        .services
        .get(&request.service)
        .is_some_and(|service| service.accepts_submissions);
    if accepts {
        return Ok(());
    }
    let detail = format!(
        "service `{}` takes no submissions; its setting `accepts_submissions` is off",
        request.service
    );
    Err(DeliveryRecord::new().refuse(RefusalReason::BadRequest, detail, None))
}

/// Returns the peer that should run the submission; `None` if this VM should.
async fn owner_of(shared: &Shared, submission: &Submission) -> Option<VmAddress> {
    let key = SubmissionKey::parse(submission.key.as_deref()?).ok()?;
    let bucket = shared.submissions.bucket_of(key).await?;
    let view = Arc::clone(&shared.members.borrow());
    // Buckets belong to no data centre; with an empty name, no VM is preferred by location.
    let order = owner_order(&format!("ledger-bucket-{bucket}"), "", &view);
    let now = Instant::now();
    let usable = |vm: &&VmAddress| **vm == shared.address || !shared.hub.is_down(vm, now);
    order.iter().find(usable).copied().filter(|owner| *owner != shared.address)
}

/// Relays the submission to its owner; falls back to this VM's coordinator if the owner is lost.
///
/// The ledger prevents a second run by the fallback, but the certainty of a refusal must still
/// reflect that the owner may run the submission.
async fn relay(
    shared: &Arc<Shared>,
    owner: VmAddress,
    submission: Submission,
    deadline: Instant,
) -> Result<SubmissionDone, Refusal> {
    let (id, answer) = shared.relays.register(owner);
    let left = deadline.saturating_duration_since(Instant::now()).saturating_sub(RELAY_MARGIN);
    let relay = SubmissionRelay {
        id,
        service: submission.service.clone(),
        key: submission.key.clone(),
        body: submission.body.clone(),
        remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    };
    if !shared.hub.send(owner, LinkRequest::Submit(relay)) {
        shared.relays.unregister(id);
        return shared.submissions.submit(submission, deadline).await;
    }
    let until = tokio::time::Instant::from_std(deadline);
    match tokio::time::timeout_at(until, answer).await {
        Ok(Ok(RelayOutcome::Answered(result))) => match result {
            RelayResult::Done { receipt, repeated } => Ok(SubmissionDone { receipt, repeated }),
            RelayResult::Refused(refusal) => Err(refusal),
        },
        Ok(Ok(RelayOutcome::PeerLost) | Err(_)) => {
            let result = shared.submissions.submit(submission, deadline).await;
            result.map_err(|refusal| refusal_after_owner_loss(owner, &refusal))
        }
        Err(_) => {
            shared.relays.unregister(id);
            let mut delivery = DeliveryRecord::new();
            delivery.sent_to(owner.to_string());
            let detail = "the deadline passed while the submission's owner held it; \
                          ask again with the same key";
            Err(delivery.refuse(RefusalReason::DeadlineExceeded, detail, None))
        }
    }
}

/// Rebuilds a refusal of this VM's coordinator so that it does not claim that nothing ran: the lost
/// owner may still run the submission.
fn refusal_after_owner_loss(owner: VmAddress, refusal: &Refusal) -> Refusal {
    let mut delivery = DeliveryRecord::new();
    delivery.sent_to(owner.to_string());
    delivery.refuse(refusal.reason(), refusal.detail(), refusal.retry_after())
}

/// Runs a submission that a peer relayed and replies on the peer's link.
pub(crate) fn run_relayed(shared: &Arc<Shared>, source: SourceId, relay: SubmissionRelay) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let deadline = Instant::now() + Duration::from_millis(relay.remaining_ms);
        let submission = Submission { service: relay.service, key: relay.key, body: relay.body };
        let result = match shared.submissions.submit(submission, deadline).await {
            Ok(done) => RelayResult::Done { receipt: done.receipt, repeated: done.repeated },
            Err(refusal) => RelayResult::Refused(refusal),
        };
        shared.hub.reply(source, LinkReply::Submit { id: relay.id, result });
    });
}
