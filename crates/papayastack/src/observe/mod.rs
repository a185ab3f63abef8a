//! Observability: trace contexts, spans, logs and metrics.

mod decisions;
mod labels;
mod logs;
mod metrics;
mod span;
#[cfg(test)]
mod tests;
mod trace;

pub use decisions::{DecisionEvent, DecisionLog};
pub(crate) use decisions::{NAMES_PER_LINE_MAX, first_names};
pub(crate) use labels::{ANSWERED, attempt_name, platform_result_name};
pub use labels::{PlatformCall, QueryOutcome, SubmissionOutcome};
pub use logs::{LogError, LogFormat, LogSettings, open_logs};
pub use metrics::{DispatchLevels, Metrics, RequestGuard};
pub use span::{ActiveSpan, Hop, SPAN_TARGET, SpanIds, SpanRecord, Tracer};
pub use trace::{IdSource, SpanId, TraceContext, TraceId};
