//! Handling of callers' queries: checks, admission, choice of the snapshot and the fan-out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::query_run::{QueryRun, QueryTask, RunOutcome};
use super::shared::Shared;
use crate::admission::{AdmissionResult, QueryEnd};
use crate::caller::{QueryAnswer, QueryRequest, RefusalAnswer, RequestContext};
use crate::configuration::ActiveConfiguration;
use crate::ids::ServiceName;
use crate::observe::{ActiveSpan, Hop, Metrics, QueryOutcome, SpanIds};
use crate::outcome::{Answer, Coverage, DeliveryRecord, MissingReason, Refusal, RefusalReason};
use crate::query::{FanoutCounts, FanoutSpec};
use crate::routing::Directory;
use crate::settings::{ClassSettings, QueryClass, RoutingPolicy};

#[cfg(test)]
mod tests;

/// The hits returned if the caller sets no limit.
const HITS_LIMIT_DEFAULT: u32 = 100;
/// The least time that must remain before the deadline to start a query.
const DEADLINE_MIN: Duration = Duration::from_millis(2);
/// The part of a query's time that is kept for the way of its answer: one in this many.
const ANSWER_MARGIN_DIVISOR: u32 = 10;
/// The most time that is kept for the way of an answer.
const ANSWER_MARGIN_MAX: Duration = Duration::from_millis(40);
/// How long a refused caller is told to wait if the VM is not ready or every replica is overloaded.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers one query.
pub(crate) async fn answer_query(
    shared: &Shared,
    request: QueryRequest,
    context: RequestContext,
) -> Result<QueryAnswer, RefusalAnswer> {
    let request_id = context.request_id.clone();
    let class = request.class;
    let accepted_at = context.accepted_at;
    let record = QueryRecord { metrics: &shared.metrics, class, accepted_at, ended: false };
    let (span, context) = entry_span(shared, &request, context);
    let result = run_query(shared, request, &context).await;
    let elapsed = accepted_at.elapsed();
    let (outcome, coverage) = match &result {
        Ok(answer) => (QueryOutcome::of_answer(answer), Some(answer.coverage())),
        Err(refusal) => {
            shared.metrics.refused(refusal.reason());
            (QueryOutcome::of_refusal(refusal), None)
        }
    };
    record.end(outcome, elapsed, coverage);
    span.end(outcome.name());
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    match result {
        Ok(answer) => Ok(QueryAnswer { request_id, answer, elapsed_ms }),
        Err(refusal) => Err(RefusalAnswer { request_id, refusal }),
    }
}

/// Counts a query when it ends; one that is dropped before its end counts as cancelled.
struct QueryRecord<'a> {
    metrics: &'a Metrics,
    class: QueryClass,
    accepted_at: Instant,
    ended: bool,
}

impl QueryRecord<'_> {
    fn end(mut self, outcome: QueryOutcome, elapsed: Duration, coverage: Option<&Coverage>) {
        self.ended = true;
        self.metrics.query_ended(self.class, outcome, elapsed, coverage);
    }
}

impl Drop for QueryRecord<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let elapsed = self.accepted_at.elapsed();
            self.metrics.query_ended(self.class, QueryOutcome::Cancelled, elapsed, None);
        }
    }
}

/// Starts the span of the entry VM and returns it with a context that names it as the parent of
/// the next hop's span.
fn entry_span(
    shared: &Shared,
    request: &QueryRequest,
    mut context: RequestContext,
) -> (ActiveSpan, RequestContext) {
    let trace = shared.tracer.sample(context.trace.clone());
    let span = shared.tracer.start(Hop::Entry, &trace, || SpanIds {
        vm: Some(shared.address),
        request_id: Some(context.request_id.clone()),
        service: Some(request.service.clone()),
        ..SpanIds::default()
    });
    context.trace = span.context().clone();
    (span, context)
}

async fn run_query(
    shared: &Shared,
    request: QueryRequest,
    context: &RequestContext,
) -> Result<Answer, Refusal> {
    let in_force = in_force(shared)?;
    check_service(&in_force, &request.service)?;
    let class = class_settings(&in_force, request.class);
    let deadline = deadline_of(&request, &class, &in_force, context)?;
    let permit = AdmissionPermit::acquire(shared, &in_force, &request, &class)?;
    let query = Query { shared, in_force, request, class, deadline, context };
    let (answer, counts) = query.run().await?;
    shared.metrics.sub_requests(query.request.class, &counts);
    if let Some(permit) = permit {
        permit.finish(&answer);
    }
    refuse_if_all_overloaded(answer, &counts)
}

/// A query that was admitted and checked.
struct Query<'a> {
    shared: &'a Shared,
    in_force: Arc<ActiveConfiguration>,
    request: QueryRequest,
    class: ClassSettings,
    deadline: Instant,
    context: &'a RequestContext,
}

impl Query<'_> {
    /// Runs the fan-out, and once more on a newer snapshot if the pinned one is retired during the
    /// first run.
    async fn run(&self) -> Result<(Answer, FanoutCounts), Refusal> {
        let directory = Arc::clone(&self.shared.directory.borrow());
        let spec = self.spec(&directory)?;
        let first = QueryRun::start(self.shared, self.task(), spec, directory);
        let end = first.run(true).await;
        let (answer, counts) = match end {
            RunOutcome::Finished { answer, counts } => (answer, counts),
            RunOutcome::SnapshotGone => self.run_on_newer_snapshot().await?,
        };
        let answer = answer.ok_or_else(|| not_ready("the newest snapshot has no shards"))?;
        Ok((answer, counts))
    }

    async fn run_on_newer_snapshot(&self) -> Result<(Option<Answer>, FanoutCounts), Refusal> {
        let directory = Arc::clone(&self.shared.directory.borrow());
        let spec = self.spec(&directory)?;
        let second = QueryRun::start(self.shared, self.task(), spec, directory);
        match second.run(false).await {
            RunOutcome::Finished { answer, counts } => Ok((answer, counts)),
            RunOutcome::SnapshotGone => {
                Err(not_ready("the snapshot was retired in both runs of the query"))
            }
        }
    }

    fn task(&self) -> QueryTask {
        QueryTask {
            query: self.shared.decisions().random.random(),
            class: self.request.class,
            selection: self.request.selection.clone(),
            trace: self.context.trace.clone(),
        }
    }

    fn spec(&self, directory: &Directory) -> Result<FanoutSpec, Refusal> {
        let newest = directory.upstreams.newest.get(&self.request.service);
        let (snapshot, shards) =
            newest.ok_or_else(|| not_ready("no snapshot of the service is known yet"))?;
        let hits_limit = self.request.hits_limit.unwrap_or(HITS_LIMIT_DEFAULT);
        Ok(FanoutSpec {
            service: self.request.service.clone(),
            snapshot: *snapshot,
            shards: Arc::clone(shards),
            hits_limit: hits_limit as usize,
            deadline: self.deadline,
            class: self.class.clone(),
            routing: self.in_force.settings.routing.clone(),
        })
    }
}

/// Counts an admitted query against the in-flight limit of its service until dropped.
struct AdmissionPermit<'a> {
    shared: &'a Shared,
    service: ServiceName,
    class: QueryClass,
    started: Instant,
    end: QueryEnd,
}

impl<'a> AdmissionPermit<'a> {
    fn acquire(
        shared: &'a Shared,
        in_force: &ActiveConfiguration,
        request: &QueryRequest,
        settings: &ClassSettings,
    ) -> Result<Option<Self>, Refusal> {
        // The naive policy is the baseline of measurements and admits every query.
        if in_force.settings.routing.policy == RoutingPolicy::Naive {
            return Ok(None);
        }
        let (service, class) = (&request.service, request.class);
        let result = shared.decisions().admission.admit(service, class, settings.in_flight_max);
        match result {
            AdmissionResult::Admitted => Ok(Some(Self {
                shared,
                service: service.clone(),
                class,
                started: Instant::now(),
                end: QueryEnd::Served,
            })),
            AdmissionResult::Refused { retry_after } => Err(DeliveryRecord::new().refuse(
                RefusalReason::Overloaded,
                "the service has as many queries in flight as its upstreams can take",
                Some(retry_after),
            )),
        }
    }

    fn finish(mut self, answer: &Answer) {
        let missing = answer.coverage().missing();
        if missing.values().any(|reason| *reason == MissingReason::Overloaded) {
            self.end = QueryEnd::Overloaded;
        }
    }
}

impl Drop for AdmissionPermit<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.started);
        let mut decisions = self.shared.decisions();
        decisions.admission.release(&self.service, self.class, self.end, elapsed, now);
    }
}

/// Returns the configuration in force, or a refusal if the VM has none yet.
pub(crate) fn in_force(shared: &Shared) -> Result<Arc<ActiveConfiguration>, Refusal> {
    let current = shared.in_force.borrow().clone();
    current.ok_or_else(|| not_ready("the VM has no configuration yet"))
}

/// Refuses a service that is not configured.
pub(crate) fn check_service(
    in_force: &ActiveConfiguration,
    service: &ServiceName,
) -> Result<(), Refusal> {
    if in_force.settings.services.contains_key(service) {
        return Ok(());
    }
    let known: Vec<&str> = in_force.settings.services.keys().map(String::as_str).collect();
    let detail = format!("unknown service `{service}`; the services are {}", known.join(", "));
    Err(DeliveryRecord::new().refuse(RefusalReason::UnknownService, detail, None))
}

fn class_settings(in_force: &ActiveConfiguration, class: QueryClass) -> ClassSettings {
    let configured = in_force.settings.classes.get(&class).cloned();
    configured.unwrap_or_else(|| ClassSettings::default_of(class))
}

fn deadline_of(
    request: &QueryRequest,
    class: &ClassSettings,
    in_force: &ActiveConfiguration,
    context: &RequestContext,
) -> Result<Instant, Refusal> {
    let requested_ms = request.deadline_ms.unwrap_or(class.deadline_default_ms);
    if requested_ms > class.deadline_max_ms {
        let detail = format!(
            "`deadline_ms` is {requested_ms}; class {} allows at most {}",
            request.class.name(),
            class.deadline_max_ms
        );
        return Err(DeliveryRecord::new().refuse(RefusalReason::BadRequest, detail, None));
    }
    let hop_margin = Duration::from_millis(in_force.settings.routing.hop_margin_ms);
    let requested = Duration::from_millis(requested_ms);
    let answer_by = context.accepted_at + answer_time(requested, hop_margin);
    if answer_by < Instant::now() + DEADLINE_MIN {
        let detail =
            format!("`deadline_ms` {requested_ms} leaves no time to answer; use a longer deadline");
        return Err(DeliveryRecord::new().refuse(RefusalReason::DeadlineTooShort, detail, None));
    }
    Ok(answer_by)
}

/// Returns the time in which a query must be answered so that its answer reaches the caller within
/// the `requested` time.
fn answer_time(requested: Duration, hop_margin: Duration) -> Duration {
    let margin = (requested / ANSWER_MARGIN_DIVISOR).min(ANSWER_MARGIN_MAX).max(hop_margin);
    requested.saturating_sub(margin)
}

/// Turns an answer without any shard into a refusal if overload is the only cause.
fn refuse_if_all_overloaded(answer: Answer, counts: &FanoutCounts) -> Result<Answer, Refusal> {
    let coverage = answer.coverage();
    let overloaded = !coverage.missing().is_empty()
        && coverage.missing().values().all(|reason| *reason == MissingReason::Overloaded);
    if !coverage.answered().is_empty() || !overloaded {
        return Ok(answer);
    }
    let mut delivery = DeliveryRecord::new();
    if counts.unresolved > 0 {
        delivery.sent_to("upstreams");
    }
    let detail = "every replica of every shard is overloaded";
    Err(delivery.refuse(RefusalReason::Overloaded, detail, Some(RETRY_AFTER)))
}

fn not_ready(detail: &str) -> Refusal {
    DeliveryRecord::new().refuse(RefusalReason::NotReady, detail, Some(RETRY_AFTER))
}
