//! Callers' submissions: to the VM that owns their bucket, else to this VM's own desk.

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
use crate::outcome::{Custody, Refusal, RefusalReason};
use crate::routing::owner_order;
use crate::submission::{Submission, SubmissionDone, SubmissionKey};

/// The time that a caller waits where it names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(5);
/// The longest time that a caller may wait.
const DEADLINE_MAX: Duration = Duration::from_secs(60);
/// The part of the deadline kept for the way back from the owner.
const RELAY_MARGIN: Duration = Duration::from_millis(20);

/// What a relayed submission came to.
pub(crate) enum RelayEnd {
    /// The owner answered.
    Answered(RelayResult),
    /// The link to the owner broke; the owner may still run the submission.
    PeerLost,
}

/// The relayed submissions that wait for their owners.
#[derive(Default)]
pub(crate) struct Relays {
    next: AtomicU64,
    waiting: Mutex<BTreeMap<RelayId, (VmAddress, oneshot::Sender<RelayEnd>)>>,
}

impl Relays {
    fn register(&self, peer: VmAddress) -> (RelayId, oneshot::Receiver<RelayEnd>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(id, (peer, sender));
        (id, receiver)
    }

    /// Forgets a submission that no longer waits; a later answer is dropped.
    fn forget(&self, id: RelayId) {
        lock(&self.waiting).remove(&id);
    }

    /// Hands an owner's answer to the submission that waits for it.
    pub(crate) fn answered(&self, from: VmAddress, id: RelayId, result: RelayResult) {
        let mut waiting = lock(&self.waiting);
        // An answer from another VM than the one asked is crossed and must not be believed.
        if waiting.get(&id).is_some_and(|(peer, _)| *peer == from)
            && let Some((_, sender)) = waiting.remove(&id)
        {
            let _ = sender.send(RelayEnd::Answered(result));
        }
    }

    /// Ends the wait for a peer that is lost.
    pub(crate) fn peer_lost(&self, peer: VmAddress) {
        let mut waiting = lock(&self.waiting);
        let lost: Vec<RelayId> =
            waiting.iter().filter(|(_, (to, _))| *to == peer).map(|(id, _)| *id).collect();
        for id in lost {
            if let Some((_, sender)) = waiting.remove(&id) {
                let _ = sender.send(RelayEnd::PeerLost);
            }
        }
    }
}

/// Answers one submission; it goes on when the caller has gone.
pub(crate) async fn answer_submission(
    shared: &Arc<Shared>,
    request: SubmissionRequest,
    context: RequestContext,
) -> Result<SubmissionAnswer, RefusalAnswer> {
    let request_id = context.request_id.clone();
    let task = tokio::spawn(run_submission(Arc::clone(shared), request, context));
    let result = task.await.unwrap_or_else(|_| {
        let mut custody = Custody::new();
        custody.handed_to("this VM's desk");
        let detail = "the VM failed while it held the submission; ask again with the same key";
        Err(custody.refuse(RefusalReason::EarlierAttemptUnknown, detail, None))
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
    Err(Custody::new().refuse(RefusalReason::BadRequest, detail, None))
}

/// Returns the peer that should run the submission; `None` where this VM should.
async fn owner_of(shared: &Shared, submission: &Submission) -> Option<VmAddress> {
    let key = SubmissionKey::parse(submission.key.as_deref()?).ok()?;
    let bucket = shared.submissions.bucket_of(key).await?;
    let view = Arc::clone(&shared.members.borrow());
    // Buckets belong to no data centre; an empty name makes all VMs alike.
    let order = owner_order(&format!("ledger-bucket-{bucket}"), "", &view);
    let now = Instant::now();
    let usable = |vm: &&VmAddress| **vm == shared.address || !shared.hub.is_down(vm, now);
    order.iter().find(usable).copied().filter(|owner| *owner != shared.address)
}

/// Hands the submission to its owner; falls back to this VM's desk where the owner is lost.
///
/// The ledger keeps the fallback safe. Only the certainty of a refusal must remember that the
/// owner may still run the submission.
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
        shared.relays.forget(id);
        return shared.submissions.submit(submission, deadline).await;
    }
    let until = tokio::time::Instant::from_std(deadline);
    match tokio::time::timeout_at(until, answer).await {
        Ok(Ok(RelayEnd::Answered(result))) => match result {
            RelayResult::Done { receipt, repeated } => Ok(SubmissionDone { receipt, repeated }),
            RelayResult::Refused(refusal) => Err(refusal),
        },
        Ok(Ok(RelayEnd::PeerLost) | Err(_)) => {
            let result = shared.submissions.submit(submission, deadline).await;
            result.map_err(|refusal| remember_owner(owner, &refusal))
        }
        Err(_) => {
            shared.relays.forget(id);
            let mut custody = Custody::new();
            custody.handed_to(owner.to_string());
            let detail = "the deadline passed while the submission's owner held it; \
                          ask again with the same key";
            Err(custody.refuse(RefusalReason::DeadlineExceeded, detail, None))
        }
    }
}

/// Restates a refusal of this VM's desk so that it does not claim more than is known.
fn remember_owner(owner: VmAddress, refusal: &Refusal) -> Refusal {
    let mut custody = Custody::new();
    custody.handed_to(owner.to_string());
    custody.refuse(refusal.reason(), refusal.detail(), refusal.retry_after())
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
