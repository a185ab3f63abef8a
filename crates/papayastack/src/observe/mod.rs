//! Observation: trace contexts, spans, logs and metrics.

mod trace;

pub use trace::{IdSource, SpanId, TraceContext, TraceId};
