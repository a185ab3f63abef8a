//! The task that takes what arrives on the links to where it belongs.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::shared::Shared;
use crate::link::{LinkEvent, LinkReply, LinkRequest, SourceId};

/// Spawns the task; it ends with the links.
pub(crate) fn spawn_link_task(
    shared: Arc<Shared>,
    mut events: mpsc::UnboundedReceiver<LinkEvent>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            match event {
                LinkEvent::Request { source, request } => on_request(&shared, source, request),
                LinkEvent::Reply { reply: LinkReply::Search(result), .. } => {
                    shared.pending.deliver(result);
                }
                LinkEvent::Down { peer } => shared.pending.peer_lost(peer),
                LinkEvent::SourceGone { source } => shared.desk.source_gone(source),
            }
        }
    })
}

fn on_request(shared: &Shared, source: SourceId, request: LinkRequest) {
    match request {
        LinkRequest::Search(batch) => {
            let in_force = shared.in_force.borrow().clone();
            let routing = in_force.map(|current| current.settings.routing.clone());
            let live_vms = shared.members.borrow().live().count();
            shared.desk.search(source, batch, &routing.unwrap_or_default(), live_vms);
        }
        LinkRequest::Cancel { query, attempts } => shared.desk.cancel(source, query, &attempts),
    }
}
