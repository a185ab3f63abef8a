//! Tasks that dispatch the events of the links and send configuration messages to peers.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::leaving_upstreams::close_upstreams;
use super::shared::Shared;
use super::submit::run_relayed;
use crate::configuration::ConfigurationMessage;
use crate::ids::VmAddress;
use crate::link::{LinkEvent, LinkHub, LinkReply, LinkRequest, SourceId};

/// Spawns the task that dispatches link events; it ends when the links are closed.
pub(crate) fn spawn_link_task(
    shared: Arc<Shared>,
    mut events: mpsc::UnboundedReceiver<LinkEvent>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            match event {
                LinkEvent::Request { source, from, request } => {
                    on_request(&shared, source, from.address, request);
                }
                LinkEvent::Reply { from, reply } => on_reply(&shared, from, reply),
                LinkEvent::Down { peer } => {
                    shared.pending.peer_lost(peer);
                    shared.relays.peer_lost(peer);
                }
                LinkEvent::SourceGone { source } => shared.dispatcher.source_gone(source),
            }
        }
    })
}

fn on_request(shared: &Arc<Shared>, source: SourceId, from: VmAddress, request: LinkRequest) {
    match request {
        LinkRequest::Search(batch) => {
            let in_force = shared.in_force.borrow().clone();
            let routing = in_force.map(|current| current.settings.routing.clone());
            let live_vms = shared.members.borrow().live().count();
            shared.dispatcher.search(source, batch, &routing.unwrap_or_default(), live_vms);
        }
        LinkRequest::Cancel { query, attempts } => {
            shared.dispatcher.cancel(source, query, &attempts)
        }
        LinkRequest::Submit(relay) => run_relayed(shared, source, relay),
        LinkRequest::UpstreamsLeaving(upstreams) => close_upstreams(shared, &upstreams),
        LinkRequest::Configuration(message) => {
            // A message dropped because the queue is full is recovered by the peer's next digest.
            let _ = shared.configuration_inbound.try_send((from, message));
        }
    }
}

fn on_reply(shared: &Shared, from: VmAddress, reply: LinkReply) {
    match reply {
        LinkReply::Search(result) => shared.pending.deliver(result),
        LinkReply::Submit { id, result } => shared.relays.deliver(from, id, result),
    }
}

/// Spawns the task that sends configuration messages on the links to peers.
pub(crate) fn spawn_configuration_sender(
    hub: LinkHub,
    mut outbound: mpsc::Receiver<(VmAddress, ConfigurationMessage)>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        while let Some((peer, message)) = outbound.recv().await {
            // A message dropped because the queue is full is recovered by the next digest.
            let _ = hub.send(peer, LinkRequest::Configuration(message));
        }
    })
}
