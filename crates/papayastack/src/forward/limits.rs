//! Reports between VMs about upstreams that limit their rate.
//!
//! Each VM reports its demand, so that [`crate::query`] can divide a limit among the VMs, and the
//! limit itself, so that VMs that got no reply lately know of it too.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use papayastack_macros::message;
use rand::Rng;
use tokio::time::{sleep, timeout};

use super::registry::UpstreamSet;
use super::state::ForwardState;
use crate::cbor;
use crate::ids::UpstreamId;
use crate::membership::{Membership, Notice};
use crate::query::{LimitReport, MilliPerSecond};
use crate::routing::UpstreamIndex;

/// The mean time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay of a report that is sent at once, in which further limits are found.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(30);
/// The most upstreams in one notice, so that it fits into a datagram.
const REPORTS_PER_NOTICE: usize = 12;

/// A notice with the limits that one VM knows and its demand.
#[message]
pub(crate) struct LimitReports {
    limits: Vec<UpstreamLimit>,
}

/// The report about one upstream, with short names since it is sent often.
#[message]
struct UpstreamLimit {
    #[serde(rename = "u")]
    upstream: UpstreamId,
    #[serde(rename = "s")]
    started_unix_ms: u64,
    #[serde(rename = "l")]
    limit: Option<MilliPerSecond>,
    #[serde(rename = "a")]
    age_ms: u64,
    #[serde(rename = "d")]
    demand: [MilliPerSecond; 3],
}

impl LimitReports {
    /// Encodes the notice.
    pub(crate) fn encode(&self) -> Bytes {
        cbor::encode(self).into()
    }

    /// Decodes a notice; returns `None` if it is another one or malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        cbor::decode(bytes)
    }
}

/// Reports the limits of upstreams to the other VMs while there are any, until the task is aborted.
pub(crate) async fn report_limits(state: Arc<ForwardState>, membership: Arc<Membership>) {
    loop {
        let found = state.limit_found.notified();
        if state.decisions().limits().has_no_reports(Instant::now()) {
            found.await;
            sleep(REPORT_BATCH_DELAY).await;
        } else {
            let interval = REPORT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
            if timeout(interval, found).await.is_ok() {
                sleep(REPORT_BATCH_DELAY).await;
            }
        }
        let Some(upstreams) = state.upstreams.borrow().clone() else { continue };
        let reports = state.decisions().limits().take_reports(Instant::now());
        for notice in encode_reports(&upstreams, &reports) {
            membership.broadcast(notice);
        }
    }
}

/// Returns the notices that hold the reports about the upstreams in use.
pub(crate) fn encode_reports(
    upstreams: &UpstreamSet,
    reports: &[(UpstreamIndex, LimitReport)],
) -> Vec<Bytes> {
    let limit = |(index, report): &(UpstreamIndex, LimitReport)| {
        let target = upstreams.by_index.get(index)?;
        Some(UpstreamLimit {
            upstream: target.id.clone(),
            started_unix_ms: target.started_unix_ms,
            limit: report.limit,
            age_ms: report.age.as_millis() as u64,
            demand: report.demand,
        })
    };
    let limits: Vec<UpstreamLimit> = reports.iter().filter_map(limit).collect();
    let notices = limits.chunks(REPORTS_PER_NOTICE);
    notices.map(|limits| LimitReports { limits: limits.to_vec() }.encode()).collect()
}

/// Takes another VM's reports. Upstreams that this VM does not know, or knows as another process,
/// are skipped.
pub(crate) fn apply_reports(state: &ForwardState, notice: &Notice, reports: LimitReports) {
    let Some(upstreams) = state.upstreams.borrow().clone() else { return };
    let now = Instant::now();
    let mut decisions = state.decisions();
    for UpstreamLimit { upstream, started_unix_ms, limit, age_ms, demand } in reports.limits {
        let known = upstreams.index_of(&upstream).and_then(|index| upstreams.by_index.get(&index));
        let Some(target) = known.filter(|target| target.started_unix_ms == started_unix_ms) else {
            continue;
        };
        let report = LimitReport { limit, age: Duration::from_millis(age_ms), demand };
        decisions.record_limit_report(target.index, notice.sender, report, now);
    }
}
