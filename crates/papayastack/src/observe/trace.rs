//! W3C trace contexts: the trace that a request belongs to and the span that caused it.

use std::sync::{Mutex, PoisonError};

use papayastack_macros::message;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Identifies a trace; never zero.
pub type TraceId = u128;
/// Identifies a span within a trace; never zero.
pub type SpanId = u64;

const TRACE_ID_DIGITS: usize = 32;
const SPAN_ID_DIGITS: usize = 16;
const FLAGS_DIGITS: usize = 2;
const SAMPLED_FLAG: u8 = 1;
const TRACE_STATE_MAX_BYTES: usize = 512;

/// The trace of a request and the span that caused it, as `traceparent` and `tracestate` carry
/// them.
#[message]
pub struct TraceContext {
    /// The id of the trace that the request belongs to.
    pub trace_id: TraceId,
    /// The id of the span that caused the request.
    pub span_id: SpanId,
    /// Whether the spans of the trace are recorded.
    pub sampled: bool,
    /// The vendor-specific `tracestate` value, passed on unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
}

impl TraceContext {
    /// Parses a `traceparent` header value strictly; `None` where it is malformed.
    pub fn parse(traceparent: &str) -> Option<Self> {
        let (version, rest) = traceparent.split_once('-')?;
        let (trace_id, rest) = rest.split_once('-')?;
        let (span_id, rest) = rest.split_once('-')?;
        let version = u8::from_str_radix(hex(version, FLAGS_DIGITS)?, 16).ok()?;
        let flags = parse_flags(version, rest)?;
        let trace_id = u128::from_str_radix(hex(trace_id, TRACE_ID_DIGITS)?, 16).ok()?;
        let span_id = u64::from_str_radix(hex(span_id, SPAN_ID_DIGITS)?, 16).ok()?;
        if trace_id == 0 || span_id == 0 {
            return None;
        }
        Some(Self { trace_id, span_id, sampled: flags & SAMPLED_FLAG != 0, state: None })
    }

    /// Adds a `tracestate` header value; one that is empty or too long is dropped.
    pub fn with_state(mut self, tracestate: &str) -> Self {
        let usable = !tracestate.is_empty() && tracestate.len() <= TRACE_STATE_MAX_BYTES;
        self.state = usable.then(|| tracestate.to_owned());
        self
    }

    /// Returns the context that span `span_id` passes to the next hop.
    pub fn child(&self, span_id: SpanId) -> Self {
        Self { span_id, ..self.clone() }
    }

    /// Formats the `traceparent` header value.
    pub fn traceparent(&self) -> String {
        format!("00-{:032x}-{:016x}-{:02x}", self.trace_id, self.span_id, u8::from(self.sampled))
    }
}

/// Makes trace, span and request ids.
#[derive(Debug)]
pub struct IdSource {
    random: Mutex<SmallRng>,
}

impl IdSource {
    /// Opens a source seeded by the operating system.
    pub fn open() -> Self {
        Self { random: Mutex::new(SmallRng::from_os_rng()) }
    }

    /// Opens a source whose ids follow from `seed`.
    pub fn seeded(seed: u64) -> Self {
        Self { random: Mutex::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Makes an id for a span.
    pub fn span_id(&self) -> SpanId {
        self.with_random(|random| random.random_range(1..=SpanId::MAX))
    }

    /// Makes the context of a new trace, sampled at `sampling_permille` in a thousand.
    pub fn trace_context(&self, sampling_permille: u32) -> TraceContext {
        self.with_random(|random| TraceContext {
            trace_id: random.random_range(1..=TraceId::MAX),
            span_id: random.random_range(1..=SpanId::MAX),
            sampled: random.random_range(0..1000) < sampling_permille,
            state: None,
        })
    }

    /// Makes an id for a request.
    pub fn request_id(&self) -> String {
        self.with_random(|random| format!("{:032x}", random.random::<u128>()))
    }

    fn with_random<T>(&self, make: impl FnOnce(&mut SmallRng) -> T) -> T {
        make(&mut self.random.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn parse_flags(version: u8, rest: &str) -> Option<u8> {
    let flags = match (version, rest.split_once('-')) {
        (u8::MAX, _) | (0, Some(_)) => return None,
        (_, Some((flags, _later_fields))) => flags,
        (_, None) => rest,
    };
    u8::from_str_radix(hex(flags, FLAGS_DIGITS)?, 16).ok()
}

fn hex(text: &str, digits: usize) -> Option<&str> {
    let lower_hex = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    (text.len() == digits && text.bytes().all(lower_hex)).then_some(text)
}
