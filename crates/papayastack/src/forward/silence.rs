//! Notices between VMs about silent upstreams: ones that do not answer in time.
//!
//! With many VMs, each one sends few requests to an upstream, so that it is slow to find a silent
//! upstream by its own requests. A notice names upstreams whose attempts had to be hedged;
//! [`crate::query::Observations`] decides from several reports whether to avoid an upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use papayastack_macros::message;
use serde_json::json;
use tokio::time::sleep;

use super::registry::UpstreamSet;
use super::state::ForwardState;
use crate::cbor;
use crate::ids::UpstreamId;
use crate::membership::{Membership, Notice};
use crate::observe::DecisionEvent;
use crate::query::SilenceHold;

/// The delay before a notice is sent, which batches upstreams; shorter than a typical pause of an
/// upstream.
const NOTICE_BATCH_DELAY: Duration = Duration::from_millis(80);
/// The largest total length of the ids in one notice, so that it fits into a datagram.
const NOTICE_IDS_MAX_BYTES: usize = 900;
/// If more than this share of all upstreams is silent, the fault is attributed to this VM itself
/// and no notice is sent.
const LOCAL_FAULT_SHARE: f64 = 0.15;

/// A notice with the ids of the upstreams that one VM found silent.
#[message]
pub(crate) struct SilentUpstreams(pub(crate) Vec<UpstreamId>);

impl SilentUpstreams {
    /// Encodes the notice.
    pub(crate) fn encode(&self) -> Bytes {
        cbor::encode(self).into()
    }

    /// Decodes a notice; returns `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        cbor::decode(bytes)
    }
}

/// Sends notices about silent upstreams to the other VMs until the task is aborted.
pub(crate) async fn report_silence(state: Arc<ForwardState>, membership: Arc<Membership>) {
    loop {
        state.silence_found.notified().await;
        sleep(NOTICE_BATCH_DELAY).await;
        send_notice(&state, &membership);
        log_holds(&state);
    }
}

fn send_notice(state: &ForwardState, membership: &Membership) {
    let silent = state.decisions().take_unreported_silent();
    let Some(upstreams) = state.upstreams.borrow().clone() else { return };
    if state.links().are_lost() {
        return;
    }
    if silent.len() as f64 > upstreams.by_index.len() as f64 * LOCAL_FAULT_SHARE {
        return;
    }
    let id = |index| upstreams.by_index.get(index).map(|target| target.id.clone());
    let mut bytes = 0;
    let fits = |id: &UpstreamId| {
        bytes += id.len();
        bytes <= NOTICE_IDS_MAX_BYTES
    };
    let ids: Vec<UpstreamId> = silent.iter().filter_map(id).take_while(fits).collect();
    if !ids.is_empty() {
        membership.broadcast(SilentUpstreams(ids).encode());
    }
}

/// Takes another VM's notice about silent upstreams.
pub(crate) fn apply_silence(state: &ForwardState, notice: &Notice, silent: SilentUpstreams) {
    let SilentUpstreams(ids) = silent;
    let Some(upstreams) = state.upstreams.borrow().clone() else { return };
    let now = Instant::now();
    let mut decisions = state.decisions();
    // Upstreams that this VM does not know are skipped, since it does not use them.
    for index in ids.iter().filter_map(|id| upstreams.index_of(id)) {
        decisions.record_silence_report(index, notice.sender, now);
    }
    drop(decisions);
    log_holds(state);
}

fn log_holds(state: &ForwardState) {
    let holds = state.decisions().take_silence_holds();
    let Some(upstreams) = state.upstreams.borrow().clone().filter(|_| !holds.is_empty()) else {
        return;
    };
    for hold in holds {
        log_hold(state, &upstreams, hold);
    }
}

fn log_hold(state: &ForwardState, upstreams: &UpstreamSet, hold: SilenceHold) {
    let id = upstreams.by_index.get(&hold.upstream).map(|target| &target.id);
    state.log.write(
        DecisionEvent::UpstreamSilent,
        || json!({ "upstream": id, "avoided_ms": hold.length.as_millis() as u64 }),
    );
}
