//! Spans: one for each hop of a request, written as JSON lines through `log`.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use papayastack_macros::{closed_set, message};

use super::trace::{IdSource, SpanId, TraceContext};
use crate::ids::{AttemptId, QueryId, ServiceName, ShardId, UpstreamId, VmAddress};

/// The `log` target of spans.
pub const SPAN_TARGET: &str = "papaya::span";

const SAMPLING_SCALE: u128 = 1000;
const DROPPED_OUTCOME: &str = "cancelled";

/// The hops of a request.
#[closed_set]
pub enum Hop {
    /// At the VM that the caller connected to.
    Entry,
    /// At the VM that owns the upstreams.
    Owner,
    /// One attempt at one upstream.
    UpstreamAttempt,
}

/// The ids that a span carries besides those of its trace.
#[message]
#[derive(Default)]
pub struct SpanIds {
    /// The VM that records the span.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmAddress>,
    /// The caller's request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// The service that the request names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The query; written in 32 hexadecimal digits.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "hexadecimal")]
    pub query: Option<QueryId>,
    /// The attempt at an upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// The shard that the attempt searches.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<ShardId>,
    /// The upstream that the attempt is sent to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
}

/// A finished span as it is written.
#[message]
pub struct SpanRecord {
    /// The id of the trace, in 32 hexadecimal digits.
    pub trace_id: String,
    /// The id of this span, in 16 hexadecimal digits.
    pub span_id: String,
    /// The id of the span that caused this one, in 16 hexadecimal digits.
    pub parent_span_id: String,
    /// The hop that the span measures.
    pub hop: Hop,
    /// The start by this VM's clock, in microseconds since the Unix epoch.
    pub start_unix_us: u64,
    /// The duration in microseconds.
    pub duration_us: u64,
    /// How the hop ended; `cancelled` if the span was dropped before its end.
    pub outcome: String,
    /// The ids of the VM, the request and the work of the hop, where known.
    #[serde(flatten)]
    pub ids: SpanIds,
}

/// Starts spans and decides which traces are recorded.
#[derive(Debug)]
pub struct Tracer {
    ids: IdSource,
    sampling_permille: u32,
}

impl Tracer {
    /// Opens a tracer that records `sampling_permille` in a thousand traces, besides those that
    /// callers marked as sampled.
    pub fn open(ids: IdSource, sampling_permille: u32) -> Self {
        Self { ids, sampling_permille }
    }

    /// Decides at the entry VM whether a trace is recorded; the choice follows from the trace id,
    /// so that all VMs make the same one.
    pub fn sample(&self, mut trace: TraceContext) -> TraceContext {
        let chosen = trace.trace_id % SAMPLING_SCALE < u128::from(self.sampling_permille);
        trace.sampled |= chosen;
        trace
    }

    /// Starts a span below `parent`; `ids` is called only for a trace that is recorded.
    pub fn start(
        &self,
        hop: Hop,
        parent: &TraceContext,
        ids: impl FnOnce() -> SpanIds,
    ) -> ActiveSpan {
        let recorded = parent.sampled && log::log_enabled!(target: SPAN_TARGET, log::Level::Info);
        if !recorded {
            return ActiveSpan { context: parent.clone(), open: None };
        }
        let open = OpenSpan {
            parent_span_id: parent.span_id,
            hop,
            start: SystemTime::now(),
            started_at: tokio::time::Instant::now().into_std(),
            ids: ids(),
        };
        ActiveSpan { context: parent.child(self.ids.span_id()), open: Some(Box::new(open)) }
    }
}

/// A span that has not ended; dropping it ends it as cancelled.
#[derive(Debug)]
pub struct ActiveSpan {
    context: TraceContext,
    open: Option<Box<OpenSpan>>,
}

#[derive(Debug)]
struct OpenSpan {
    parent_span_id: SpanId,
    hop: Hop,
    start: SystemTime,
    started_at: Instant,
    ids: SpanIds,
}

impl ActiveSpan {
    /// Returns the context to pass to the next hop.
    pub fn context(&self) -> &TraceContext {
        &self.context
    }

    /// Returns whether the span will be written.
    pub fn is_recorded(&self) -> bool {
        self.open.is_some()
    }

    /// Ends the span and writes it.
    pub fn end(mut self, outcome: &str) {
        self.write(outcome);
    }

    /// Ends the span and returns what would be written.
    pub(crate) fn finish(&mut self, outcome: &str) -> Option<SpanRecord> {
        let open = self.open.take()?;
        let now = tokio::time::Instant::now().into_std();
        let since_epoch = open.start.duration_since(UNIX_EPOCH).unwrap_or_default();
        Some(SpanRecord {
            trace_id: format!("{:032x}", self.context.trace_id),
            span_id: format!("{:016x}", self.context.span_id),
            parent_span_id: format!("{:016x}", open.parent_span_id),
            hop: open.hop,
            start_unix_us: microseconds(since_epoch),
            duration_us: microseconds(now.saturating_duration_since(open.started_at)),
            outcome: outcome.to_owned(),
            ids: open.ids,
        })
    }

    fn write(&mut self, outcome: &str) {
        let Some(record) = self.finish(outcome) else { return };
        match serde_json::to_string(&record) {
            Ok(line) => log::info!(target: SPAN_TARGET, "{line}"),
            Err(error) => {
                log::warn!(target: "papaya::observe", "observe: Cannot encode a span: {error}.")
            }
        }
    }
}

impl Drop for ActiveSpan {
    fn drop(&mut self) {
        self.write(DROPPED_OUTCOME);
    }
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

mod hexadecimal {
    //! Query ids as hexadecimal text, because common JSON parsers lose digits of 128-bit numbers.

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::ids::QueryId;

    pub(super) fn serialize<S: Serializer>(
        query: &Option<QueryId>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        query.map(|query| format!("{query:032x}")).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<QueryId>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| QueryId::from_str_radix(&text, 16).map_err(D::Error::custom)).transpose()
    }
}
