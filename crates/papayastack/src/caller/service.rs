//! The edge between the callers' HTTP interface and what answers it.

use std::time::Instant;

use async_trait::async_trait;
use papayastack_macros::value;

use super::protocol::{
    AddressesAnswer, QueryAnswer, QueryRequest, RefusalAnswer, SubmissionAnswer, SubmissionRequest,
};
use crate::ids::DataCentreName;
use crate::observe::TraceContext;
use crate::settings::LimitSettings;

/// What is known about a request besides its body.
#[value]
pub struct RequestContext {
    /// The caller's `x-request-id` where it is well-formed, else a new one.
    pub request_id: String,
    /// The caller's trace context where it is well-formed, else a new one.
    pub trace: TraceContext,
    /// When the request was accepted; deadlines count from here.
    pub accepted_at: Instant,
}

/// Answers callers' requests.
///
/// A future that is dropped was given up by its caller: whatever it started must be cancelled,
/// except a submission that may have reached an upstream.
#[async_trait]
pub trait CallerService: Send + Sync + 'static {
    /// Runs a query whose sizes are within the limits.
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

    /// Tells which addresses a caller in `data_centre` should use.
    async fn addresses(
        &self,
        data_centre: Option<DataCentreName>,
    ) -> Result<AddressesAnswer, RefusalAnswer>;

    /// Returns the limits in force; read for each request.
    fn limits(&self) -> LimitSettings;
}
