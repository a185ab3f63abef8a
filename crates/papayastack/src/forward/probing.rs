//! Probes of the links to upstreams while they are lost, and notices to other VMs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::links::LinkSign;
use super::registry::UpstreamTarget;
use super::relay::LinksNotice;
use super::state::ForwardState;
use crate::membership::Membership;

/// The mean time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long an upstream may take to accept a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How many upstreams are probed in a round.
const PROBES_PER_ROUND: usize = 2;
/// The time after which other VMs are told again that the links are lost.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// Tells the other VMs whenever the links are lost or regained, and probes them while they are
/// lost, until the task is aborted.
pub(crate) async fn watch_links(state: Arc<ForwardState>, membership: Arc<Membership>) {
    let mut lost = state.links_lost.subscribe();
    loop {
        if lost.wait_for(|lost| *lost).await.is_err() {
            return;
        }
        let mut noticed_at: Option<Instant> = None;
        while *lost.borrow_and_update() {
            if noticed_at.is_none_or(|at| at.elapsed() >= NOTICE_INTERVAL) {
                noticed_at = Some(Instant::now());
                membership.broadcast(LinksNotice { links_lost: true }.encode());
            }
            probe_round(&state).await;
            let pause = PROBE_INTERVAL.mul_f64(rand::rng().random_range(0.7..1.3));
            // Ends early if a reply shows that the links are back.
            let _ = timeout(pause, lost.wait_for(|lost| !*lost)).await;
        }
        membership.broadcast(LinksNotice { links_lost: false }.encode());
        sleep(PROBE_INTERVAL).await;
    }
}

/// Connects to a few random upstreams and closes the connections again.
async fn probe_round(state: &ForwardState) {
    let Some(upstreams) = state.upstreams.borrow().clone() else { return };
    let targets: Vec<Arc<UpstreamTarget>> =
        upstreams.by_index.values().cloned().choose_multiple(&mut rand::rng(), PROBES_PER_ROUND);
    let probe = |target: Arc<UpstreamTarget>| async move {
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(target.address)).await;
        let reached = matches!(connected, Ok(Ok(_)));
        let sign = if reached { LinkSign::Connected } else { LinkSign::NotConnected };
        state.record_link_sign(&target, sign);
    };
    futures_util::future::join_all(targets.into_iter().map(probe)).await;
}
