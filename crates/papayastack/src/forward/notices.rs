//! Receipt of the notices that other VMs send.

use std::sync::Arc;
use std::time::Instant;

use super::limits::{LimitReports, apply_reports};
use super::relay::LinksNotice;
use super::silence::{SilentUpstreams, apply_silence};
use super::state::ForwardState;
use crate::membership::{Membership, Notice};

/// Applies the notices of other VMs until the task is aborted.
pub(crate) async fn receive_notices(state: Arc<ForwardState>, membership: Arc<Membership>) {
    let Some(mut notices) = membership.notices() else { return };
    while let Some(notice) = notices.recv().await {
        apply_notice(&state, &notice);
    }
}

fn apply_notice(state: &ForwardState, notice: &Notice) {
    if let Some(silent) = SilentUpstreams::decode(&notice.body) {
        apply_silence(state, notice, silent);
    } else if let Some(reports) = LimitReports::decode(&notice.body) {
        apply_reports(state, notice, reports);
    } else if let Some(LinksNotice { links_lost }) = LinksNotice::decode(&notice.body) {
        state.peers().record_links(notice.sender, links_lost, Instant::now());
    } else {
        log::warn!(
            target: "papaya::forward",
            "forward: Cannot decode a notice from {}; does that VM run another version?",
            notice.sender
        );
    }
}
