//! Sending of submissions to upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::sync::watch;

use super::dispatcher::UpstreamDispatcher;
use crate::outcome::RefusalReason;
use crate::routing::Directory;
use crate::submission::{SendOutcome, SubmissionSender};
use crate::upstream::{SubmitReply, SubmitRequest, UpstreamClient};

/// The most upstreams tried for one submission; another is tried only if the previous one provably
/// did not run it.
const UPSTREAMS_TRIED_MAX: usize = 4;
/// How long a refused caller is told to wait if no upstream could run the submission.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sends submissions to the upstreams of their service.
pub(crate) struct UpstreamSender {
    client: UpstreamClient,
    dispatcher: UpstreamDispatcher,
    directory: watch::Receiver<Arc<Directory>>,
}

impl UpstreamSender {
    /// Creates a sender that uses `client` and the upstreams in `directory`.
    ///
    /// Upstreams that `dispatcher` knows to be leaving are skipped.
    pub(crate) fn new(
        client: UpstreamClient,
        dispatcher: UpstreamDispatcher,
        directory: watch::Receiver<Arc<Directory>>,
    ) -> Self {
        Self { client, dispatcher, directory }
    }

    fn candidates(&self, service: &str) -> Vec<SocketAddr> {
        let directory = Arc::clone(&self.directory.borrow());
        let upstreams = directory.upstreams.by_index.iter();
        let of_service = upstreams.filter(|(_, resolved)| *resolved.service == *service);
        let staying = of_service.filter(|(upstream, _)| !self.dispatcher.is_leaving(**upstream));
        let mut addresses: Vec<SocketAddr> =
            staying.map(|(_, resolved)| resolved.address).collect();
        addresses.shuffle(&mut StdRng::from_os_rng());
        addresses.truncate(UPSTREAMS_TRIED_MAX);
        addresses
    }
}

#[async_trait]
impl SubmissionSender for UpstreamSender {
    async fn send(&self, request: SubmitRequest) -> SendOutcome {
        let mut last = not_run(RefusalReason::UpstreamUnavailable, "the service has no upstream");
        let limit = Duration::from_millis(request.remaining_ms);
        for address in self.candidates(&request.service) {
            let outcome = self.client.submit(address, &request, limit).await;
            last = match outcome {
                Ok(SubmitReply::Done { receipt }) => return SendOutcome::Done { receipt },
                Ok(SubmitReply::Rejected { detail }) => {
                    return SendOutcome::NotRun {
                        reason: RefusalReason::BadRequest,
                        detail,
                        retry_after: None,
                    };
                }
                Ok(SubmitReply::Shed { .. }) => {
                    not_run(RefusalReason::Overloaded, "the upstreams asked are overloaded")
                }
                Ok(SubmitReply::Draining) => {
                    not_run(RefusalReason::UpstreamUnavailable, "the upstreams asked are leaving")
                }
                Err(error) if error.proves_not_run() => {
                    not_run(RefusalReason::UpstreamUnavailable, "no upstream could be reached")
                }
                Err(error) => return SendOutcome::Unknown { detail: error.to_string() },
            };
        }
        last
    }
}

fn not_run(reason: RefusalReason, detail: &str) -> SendOutcome {
    SendOutcome::NotRun { reason, detail: detail.to_owned(), retry_after: Some(RETRY_AFTER) }
}
