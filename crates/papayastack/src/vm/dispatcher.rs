//! Dispatch of sub-requests, from peers and from this VM, to upstreams through dispatch queues.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::pending::PendingQueries;
use super::replies::{outcome_of, outcome_of_error};
use super::shared::lock;
use crate::dispatch::{
    CancelResult, DispatchLimits, DispatchQueue, OfferResult, SubRequest, SubRequestId,
};
use crate::ids::{AttemptId, QueryId, ShardId, VmAddress};
use crate::link::{LinkHub, LinkReply, SearchBatch, SearchItem, SearchResult, SourceId};
use crate::observe::{ActiveSpan, Hop, Metrics, SpanIds, TraceContext, Tracer, attempt_name};
use crate::query::{AttemptOutcome, NotRunReason};
use crate::routing::{Directory, ResolvedUpstream, UpstreamIndex, direct_share};
use crate::settings::{RoutingPolicy, RoutingSettings};
use crate::upstream::{CancelRequest, SearchRequest, UpstreamClient};

/// The source id that stands for this VM's own sub-requests.
pub(crate) const LOCAL_SOURCE: SourceId = 0;
/// How long after the deadline an upstream may take to report that it stopped.
const STOP_GRACE: Duration = Duration::from_millis(50);
/// The longest wait for the acknowledgement of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);
/// How long an upstream that is known to be leaving gets no new work.
const LEAVING_HOLD: Duration = Duration::from_secs(30);

/// Dispatches sub-requests to upstreams; clones share the state.
#[derive(Clone)]
pub(crate) struct UpstreamDispatcher {
    inner: Arc<Inner>,
}

struct Inner {
    client: UpstreamClient,
    hub: LinkHub,
    pending: Arc<PendingQueries>,
    directory: watch::Receiver<Arc<Directory>>,
    metrics: Arc<Metrics>,
    tracer: Arc<Tracer>,
    address: VmAddress,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    queues: BTreeMap<UpstreamIndex, UpstreamQueue>,
    jobs: BTreeMap<SubRequestId, Job>,
}

impl State {
    /// Returns the queue of an upstream, or a new one with `limits` if there is none.
    fn queue(&mut self, upstream: UpstreamIndex, limits: DispatchLimits) -> &mut UpstreamQueue {
        let open = || UpstreamQueue { queue: DispatchQueue::new(limits), closed_until: None };
        self.queues.entry(upstream).or_insert_with(open)
    }
}

struct UpstreamQueue {
    queue: DispatchQueue,
    closed_until: Option<Instant>,
}

struct Job {
    upstream: UpstreamIndex,
    address: SocketAddr,
    slots: u32,
    batch: Arc<TracedBatch>,
    shard: ShardId,
    deadline: Instant,
}

/// A batch with the owner's span, which ends with the last job of the batch.
struct TracedBatch {
    request: SearchBatch,
    span: Option<ActiveSpan>,
}

impl Drop for TracedBatch {
    fn drop(&mut self) {
        if let Some(span) = self.span.take() {
            span.end("done");
        }
    }
}

/// How much work a dispatcher holds at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DispatchCounts {
    /// Sub-requests that wait for a slot.
    pub(crate) waiting: usize,
    /// Sub-requests that hold a slot.
    pub(crate) running: usize,
    /// Slots of all upstreams that have had work, except those without a limit.
    pub(crate) slots: u64,
    /// Open connections to upstreams.
    pub(crate) connections: u64,
}

impl UpstreamDispatcher {
    /// Creates a dispatcher without work.
    pub(crate) fn open(
        client: UpstreamClient,
        hub: LinkHub,
        pending: Arc<PendingQueries>,
        directory: watch::Receiver<Arc<Directory>>,
        metrics: Arc<Metrics>,
        tracer: Arc<Tracer>,
        address: VmAddress,
    ) -> Self {
        let state = Mutex::new(State::default());
        let inner = Inner { client, hub, pending, directory, metrics, tracer, address, state };
        Self { inner: Arc::new(inner) }
    }

    /// Starts, queues or refuses the items of a batch; each gets exactly one result.
    pub(crate) fn search(
        &self,
        source: SourceId,
        batch: SearchBatch,
        routing: &RoutingSettings,
        live_vms: usize,
    ) {
        let directory = Arc::clone(&self.inner.directory.borrow());
        let now = Instant::now();
        let deadline = now + Duration::from_millis(batch.remaining_ms);
        let span = self.owner_span(&batch);
        let batch = Arc::new(TracedBatch { request: batch, span });
        for item in &batch.request.items {
            let Some((upstream, resolved)) = directory.find_upstream(&item.upstream) else {
                self.refuse(
                    source,
                    batch.request.query,
                    item.attempt,
                    NotRunReason::UnknownUpstream,
                    0,
                );
                continue;
            };
            let limits = dispatch_limits(resolved, routing, live_vms);
            let job = new_job(upstream, resolved, &batch, item, deadline);
            self.offer(source, item.attempt, job, limits, now);
        }
    }

    /// Cancels those attempts of a query that came from `source`.
    pub(crate) fn cancel(&self, source: SourceId, query: QueryId, attempts: &[AttemptId]) {
        for attempt in attempts {
            self.cancel_sub_request(SubRequestId { source, query, attempt: *attempt });
        }
    }

    /// Cancels all sub-requests of an accepted link that ended.
    pub(crate) fn source_gone(&self, source: SourceId) {
        let state = lock(&self.inner.state);
        let first = SubRequestId { source, query: QueryId::MIN, attempt: AttemptId::MIN };
        let later = state.jobs.range(first..).map(|(id, _)| *id);
        let ids: Vec<SubRequestId> = later.take_while(|id| id.source == source).collect();
        drop(state);
        for id in ids {
            self.cancel_sub_request(id);
        }
    }

    /// Stops new work to an upstream that is leaving and refuses what waits for it.
    pub(crate) fn close_upstream(&self, upstream: UpstreamIndex, slots: u32) {
        let now = Instant::now();
        let mut state = lock(&self.inner.state);
        let limits = DispatchLimits { slots, queue_max: 0 };
        let entry = state.queue(upstream, limits);
        entry.closed_until = Some(now + LEAVING_HOLD);
        let refused = entry.queue.close();
        for id in &refused {
            state.jobs.remove(id);
        }
        drop(state);
        for id in refused {
            self.refuse(id.source, id.query, id.attempt, NotRunReason::Draining, 0);
        }
    }

    /// Tells whether an upstream is known to be leaving.
    pub(crate) fn is_leaving(&self, upstream: UpstreamIndex) -> bool {
        let state = lock(&self.inner.state);
        let closed_until = state.queues.get(&upstream).and_then(|entry| entry.closed_until);
        closed_until.is_some_and(|until| until > Instant::now())
    }

    pub(crate) fn counts(&self) -> DispatchCounts {
        let state = lock(&self.inner.state);
        let queues = state.queues.values().map(|entry| &entry.queue);
        let mut counts = DispatchCounts {
            waiting: 0,
            running: 0,
            slots: 0,
            connections: self.inner.client.connections(),
        };
        for queue in queues {
            counts.waiting += queue.waiting_len();
            counts.running += queue.running_len();
            if queue.slots() != u32::MAX {
                counts.slots += u64::from(queue.slots());
            }
        }
        counts
    }

    fn offer(
        &self,
        source: SourceId,
        attempt: AttemptId,
        job: Job,
        limits: DispatchLimits,
        now: Instant,
    ) {
        let id = SubRequestId { source, query: job.batch.request.query, attempt };
        let class = job.batch.request.class;
        let mut state = lock(&self.inner.state);
        if state.jobs.contains_key(&id) {
            return;
        }
        let entry = state.queue(job.upstream, limits);
        entry.refresh(limits, now);
        let sub_request = SubRequest { id, class, deadline: job.deadline };
        let result = entry.queue.offer(sub_request, now);
        let queue_len = queue_len(&entry.queue);
        let refusal = match result {
            OfferResult::Start => {
                state.jobs.insert(id, job);
                drop(state);
                self.start(id);
                return;
            }
            OfferResult::Queued => {
                state.jobs.insert(id, job);
                return;
            }
            OfferResult::QueueFull => NotRunReason::QueueFull,
            OfferResult::WouldMissDeadline => NotRunReason::WouldMissDeadline,
            OfferResult::Closed => NotRunReason::Draining,
        };
        drop(state);
        self.refuse(source, id.query, attempt, refusal, queue_len);
    }

    fn start(&self, id: SubRequestId) {
        let dispatcher = self.clone();
        tokio::spawn(async move {
            let span = dispatcher.attempt_span(&id);
            let outcome = dispatcher.run(id).await;
            dispatcher.inner.metrics.attempt_ended(&outcome);
            if let Some(span) = span {
                span.end(attempt_name(&outcome));
            }
            dispatcher.finish_sub_request(id, outcome);
        });
    }

    /// Starts the owner's span; `None` for a trace that is not recorded.
    fn owner_span(&self, batch: &SearchBatch) -> Option<ActiveSpan> {
        let parent = TraceContext::parse(&batch.traceparent).filter(|trace| trace.sampled)?;
        Some(self.inner.tracer.start(Hop::Owner, &parent, || SpanIds {
            vm: Some(self.inner.address),
            service: Some(batch.service.clone()),
            query: Some(batch.query),
            ..SpanIds::default()
        }))
    }

    fn attempt_span(&self, id: &SubRequestId) -> Option<ActiveSpan> {
        let state = lock(&self.inner.state);
        let job = state.jobs.get(id)?;
        let parent = job.batch.span.as_ref()?.context();
        Some(self.inner.tracer.start(Hop::UpstreamAttempt, parent, || SpanIds {
            vm: Some(self.inner.address),
            service: Some(job.batch.request.service.clone()),
            query: Some(id.query),
            attempt: Some(id.attempt),
            shard: Some(job.shard),
            ..SpanIds::default()
        }))
    }

    async fn run(&self, id: SubRequestId) -> AttemptOutcome {
        let Some((address, request, left)) = self.search_request(&id) else {
            return AttemptOutcome::NotRun(NotRunReason::Cancelled);
        };
        if left.is_zero() {
            return AttemptOutcome::NotRun(NotRunReason::WouldMissDeadline);
        }
        let started = Instant::now();
        match self.inner.client.search(address, &request, left + STOP_GRACE).await {
            Ok(reply) => outcome_of(reply, &request),
            Err(error) => outcome_of_error(&error, started.elapsed() >= left),
        }
    }

    fn search_request(&self, id: &SubRequestId) -> Option<(SocketAddr, SearchRequest, Duration)> {
        let state = lock(&self.inner.state);
        let job = state.jobs.get(id)?;
        let left = job.deadline.saturating_duration_since(Instant::now());
        let request = SearchRequest {
            service: job.batch.request.service.clone(),
            query: id.query,
            attempt: id.attempt,
            shard: job.shard,
            snapshot: job.batch.request.snapshot,
            selection: job.batch.request.selection.clone(),
            hits_limit: job.batch.request.hits_limit,
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        Some((job.address, request, left))
    }

    /// Frees the slot of an ended sub-request, starts the next one and reports the outcome.
    fn finish_sub_request(&self, id: SubRequestId, outcome: AttemptOutcome) {
        let now = Instant::now();
        let mut state = lock(&self.inner.state);
        let Some(job) = state.jobs.remove(&id) else {
            return;
        };
        let Some(entry) = state.queues.get_mut(&job.upstream) else {
            return;
        };
        entry.queue.finish(&id, now);
        let expired = entry.queue.expire(now);
        let started = entry.queue.start_next(now);
        let queue_len = queue_len(&entry.queue);
        for id in &expired {
            state.jobs.remove(id);
        }
        drop(state);
        if let Some(next) = started {
            self.start(next);
        }
        for old in expired {
            let reason = NotRunReason::WouldMissDeadline;
            self.refuse(old.source, old.query, old.attempt, reason, queue_len);
        }
        if outcome == AttemptOutcome::NotRun(NotRunReason::Draining) {
            self.close_upstream(job.upstream, job.slots);
        }
        self.report(id.source, id.query, id.attempt, outcome, queue_len);
    }

    fn cancel_sub_request(&self, id: SubRequestId) {
        let mut state = lock(&self.inner.state);
        let Some((upstream, address)) = state.jobs.get(&id).map(|job| (job.upstream, job.address))
        else {
            return;
        };
        let Some(entry) = state.queues.get_mut(&upstream) else {
            return;
        };
        match entry.queue.cancel(&id) {
            CancelResult::Dequeued => {
                state.jobs.remove(&id);
                drop(state);
                let reason = NotRunReason::Cancelled;
                self.refuse(id.source, id.query, id.attempt, reason, 0);
            }
            CancelResult::Running => {
                drop(state);
                self.send_cancel(address, CancelRequest { query: id.query, attempt: id.attempt });
            }
            CancelResult::Unknown => {}
        }
    }

    /// Asks the upstream to stop; the slot is freed only when the search ends.
    fn send_cancel(&self, address: SocketAddr, request: CancelRequest) {
        let client = self.inner.client.clone();
        tokio::spawn(async move {
            // A lost cancellation only lets the search run to its end.
            let _ = client.cancel(address, &request, CANCEL_TIMEOUT).await;
        });
    }

    fn refuse(
        &self,
        source: SourceId,
        query: QueryId,
        attempt: AttemptId,
        reason: NotRunReason,
        queue_len: u32,
    ) {
        self.report(source, query, attempt, AttemptOutcome::NotRun(reason), queue_len);
    }

    fn report(
        &self,
        source: SourceId,
        query: QueryId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        queue_len: u32,
    ) {
        let result = SearchResult { query, attempt, outcome, queue_len };
        if source == LOCAL_SOURCE {
            self.inner.pending.deliver(result);
        } else {
            self.inner.hub.reply(source, LinkReply::Search(result));
        }
    }
}

impl UpstreamQueue {
    fn refresh(&mut self, limits: DispatchLimits, now: Instant) {
        self.queue.set_limits(limits);
        if self.closed_until.is_some_and(|until| until <= now) {
            self.closed_until = None;
            self.queue.reopen();
        }
    }
}

fn new_job(
    upstream: UpstreamIndex,
    resolved: &ResolvedUpstream,
    batch: &Arc<TracedBatch>,
    item: &SearchItem,
    deadline: Instant,
) -> Job {
    Job {
        upstream,
        address: resolved.address,
        slots: resolved.slots,
        batch: Arc::clone(batch),
        shard: item.shard,
        deadline,
    }
}

fn dispatch_limits(
    resolved: &ResolvedUpstream,
    routing: &RoutingSettings,
    live_vms: usize,
) -> DispatchLimits {
    let slots = match routing.policy {
        RoutingPolicy::Owner => resolved.slots,
        RoutingPolicy::Direct => direct_share(resolved.slots, live_vms),
        RoutingPolicy::Naive => u32::MAX,
    };
    DispatchLimits { slots, queue_max: routing.queue_max }
}

fn queue_len(queue: &DispatchQueue) -> u32 {
    u32::try_from(queue.waiting_len()).unwrap_or(u32::MAX)
}
