//! What VMs tell each other of upstreams: which ones were found silent.
//!
//! With many VMs, each sends few requests to one upstream and would find a silent one by its own
//! requests alone. A notice names upstreams whose attempts had to be hedged; what follows from
//! several of them is decided by [`crate::query::Observations`].

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

/// The shortest time between two notices, in which findings gather; a pause of an upstream lasts
/// longer.
const NOTICE_GAP: Duration = Duration::from_millis(80);
/// The names that one notice carries at most, so that it fits into a datagram.
const NOTICE_IDS_MAX_BYTES: usize = 900;
/// The share of all upstreams above which a VM that finds them silent suspects itself, and tells
/// nothing.
const SELF_DOUBT_SHARE: f64 = 0.15;

/// The upstreams that one VM found silent, by their names in the store.
#[message]
pub(crate) struct SilentUpstreams(pub(crate) Vec<UpstreamId>);

impl SilentUpstreams {
    /// Encodes the notice.
    pub(crate) fn encode(&self) -> Bytes {
        cbor::encode(self).into()
    }

    /// Decodes a notice; `None` where it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        cbor::decode(bytes)
    }
}

/// Tells the other VMs what was found here and takes what they tell, until the task is dropped.
pub(crate) async fn exchange_news(state: Arc<ForwardState>, membership: Arc<Membership>) {
    let Some(mut notices) = membership.notices() else { return };
    loop {
        tokio::select! {
            () = state.silence_found.notified() => {
                sleep(NOTICE_GAP).await;
                tell(&state, &membership);
            }
            notice = notices.recv() => match notice {
                Some(notice) => hear(&state, &notice),
                None => return,
            },
        }
        log_holds(&state);
    }
}

fn tell(state: &ForwardState, membership: &Membership) {
    let silent = state.decisions().take_silent();
    let Some(upstreams) = state.upstreams.borrow().clone() else { return };
    if silent.len() as f64 > upstreams.by_index.len() as f64 * SELF_DOUBT_SHARE {
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

fn hear(state: &ForwardState, notice: &Notice) {
    let Some(SilentUpstreams(ids)) = SilentUpstreams::decode(&notice.body) else {
        log::warn!(
            target: "papaya::forward",
            "forward: Cannot read a notice of {}; does it run another version?", notice.sender
        );
        return;
    };
    let Some(upstreams) = state.upstreams.borrow().clone() else { return };
    let now = Instant::now();
    let mut decisions = state.decisions();
    // An upstream that is not known here is not used here.
    for index in ids.iter().filter_map(|id| upstreams.index_of(id)) {
        decisions.told_silent(index, notice.sender, now);
    }
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
