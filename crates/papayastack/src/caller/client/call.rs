//! A call before it is sent: its body, its ids and its deadline.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use papayastack_macros::value;

use super::retry::CallKind;
use crate::caller::protocol::{QueryRequest, SubmissionRequest};
use crate::caller::server::{QUERY_PATH, SUBMISSIONS_PATH};
use crate::observe::{IdSource, TraceContext};
use crate::settings::ClassSettings;

/// The most time subtracted from the deadline sent to the VM, so that its response still arrives
/// in time.
const RETURN_MARGIN_MAX: Duration = Duration::from_millis(5);
/// How long a submission may take if the caller sets no deadline.
const SUBMISSION_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);

/// The ids that a caller can attach to a call.
#[value]
#[derive(Default)]
pub struct CallContext {
    /// The request's id; generated if absent.
    pub request_id: Option<String>,
    /// The trace context to send with the call; if absent, the VM starts a new trace.
    pub trace: Option<TraceContext>,
}

/// Returns a new submission key made of the time of issue and a unique text.
pub fn new_submission_key(issued_at: SystemTime, ids: &IdSource) -> String {
    let since_epoch = issued_at.duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-{}", since_epoch.as_millis(), ids.request_id())
}

/// A call that is ready to be sent, once for each attempt.
#[derive(Debug)]
pub(crate) struct PreparedCall {
    message: Message,
    request_id: String,
    trace: Option<TraceContext>,
}

#[derive(Debug)]
enum Message {
    Query(QueryRequest),
    Submission(SubmissionRequest),
}

impl PreparedCall {
    pub(crate) fn query(request: QueryRequest, context: CallContext, ids: &IdSource) -> Self {
        Self::new(Message::Query(request), context, ids)
    }

    pub(crate) fn submission(
        request: SubmissionRequest,
        context: CallContext,
        ids: &IdSource,
    ) -> Self {
        Self::new(Message::Submission(request), context, ids)
    }

    fn new(message: Message, context: CallContext, ids: &IdSource) -> Self {
        let request_id = context.request_id.unwrap_or_else(|| ids.request_id());
        Self { message, request_id, trace: context.trace }
    }

    pub(crate) fn kind(&self) -> CallKind {
        match &self.message {
            Message::Query(_) => CallKind::Query,
            Message::Submission(request) if request.key.is_some() => CallKind::KeyedSubmission,
            Message::Submission(_) => CallKind::UnkeyedSubmission,
        }
    }

    /// Returns how long the call may take. For a query without a deadline this is the longest
    /// deadline that its class allows by default, because the VM then applies its own default.
    pub(crate) fn timeout(&self) -> Duration {
        let deadline_ms = match &self.message {
            Message::Query(request) => request.deadline_ms,
            Message::Submission(request) => request.deadline_ms,
        };
        match (deadline_ms, &self.message) {
            (Some(deadline_ms), _) => Duration::from_millis(deadline_ms),
            (None, Message::Query(request)) => {
                Duration::from_millis(ClassSettings::default_of(request.class).deadline_max_ms)
            }
            (None, Message::Submission(_)) => SUBMISSION_TIMEOUT_DEFAULT,
        }
    }

    pub(crate) fn path(&self) -> &'static str {
        match &self.message {
            Message::Query(_) => QUERY_PATH,
            Message::Submission(_) => SUBMISSIONS_PATH,
        }
    }

    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    pub(crate) fn trace(&self) -> Option<&TraceContext> {
        self.trace.as_ref()
    }

    /// Returns the body for an attempt that starts with `remaining` time left.
    pub(crate) fn body(&self, remaining: Duration) -> Bytes {
        let margin = RETURN_MARGIN_MAX.min(remaining / 10);
        let left_ms = u64::try_from((remaining - margin).as_millis()).unwrap_or(u64::MAX).max(1);
        let encoded = match &self.message {
            Message::Query(request) => {
                let deadline_ms = request.deadline_ms.map(|_| left_ms);
                serde_json::to_vec(&QueryRequest { deadline_ms, ..request.clone() })
            }
            Message::Submission(request) => {
                let deadline_ms = request.deadline_ms.map(|_| left_ms);
                serde_json::to_vec(&SubmissionRequest { deadline_ms, ..request.clone() })
            }
        };
        Bytes::from(encoded.expect("the protocol's messages have string keys"))
    }
}
