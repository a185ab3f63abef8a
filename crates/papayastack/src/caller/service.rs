//! The interface between the callers' HTTP server and the code that answers requests.

use std::time::Instant;

use async_trait::async_trait;
use papayastack_macros::value;

use super::protocol::{
    AddressesAnswer, QueryAnswer, QueryRequest, RefusalAnswer, SubmissionAnswer, SubmissionRequest,
};
use crate::ids::DataCentreName;
use crate::observe::TraceContext;
use crate::settings::LimitSettings;

/// The ids and the time of acceptance of a request.
#[value]
pub struct RequestContext {
    /// The caller's `x-request-id` if it is well-formed, else a new one.
    pub request_id: String,
    /// The caller's trace context if it is well-formed, else a new one.
    pub trace: TraceContext,
    /// When the request was accepted; deadlines count from here.
    pub accepted_at: Instant,
}

/// Answers callers' requests.
///
/// The future of a request is dropped when its caller disconnects: work that it started must then
/// be cancelled, except a submission that may have reached an upstream.
#[async_trait]
pub trait CallerService: Send + Sync + 'static {
    /// Runs a query that is within the limits.
    async fn query(
        &self,
        request: QueryRequest,
        context: RequestContext,
    ) -> Result<QueryAnswer, RefusalAnswer>;

    /// Runs a submission at most once.
    async fn submit(
        &self,
        request: SubmissionRequest,
        context: RequestContext,
    ) -> Result<SubmissionAnswer, RefusalAnswer>;

    /// Returns the addresses that a caller in `data_centre` should use.
    async fn addresses(
        &self,
        data_centre: Option<DataCentreName>,
    ) -> Result<AddressesAnswer, RefusalAnswer>;

    /// Returns the current limits, which are read for each request.
    fn limits(&self) -> LimitSettings;
}
