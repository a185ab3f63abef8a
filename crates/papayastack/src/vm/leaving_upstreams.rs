//! Handling of upstreams that the platform or a peer reports as leaving.
//!
//! Each VM reads the platform's VM list, the less often the more VMs there are: about one read a
//! second is made in total. A VM that finds a leaving upstream in the list notifies the VMs that
//! send work to it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::shared::Shared;
use crate::ids::{UpstreamId, VmAddress};
use crate::link::LinkRequest;
use crate::platform::{ListedState, ListedVm};
use crate::routing::Directory;

/// Members up to which all are notified, not only the owners: any of them may send submissions.
const NOTIFY_ALL_MAX: usize = 64;

/// Spawns the task that checks each new VM list of the platform for leaving upstreams.
pub(crate) fn spawn_leaving_upstreams_task(
    shared: Arc<Shared>,
    mut listed: watch::Receiver<Arc<Vec<ListedVm>>>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        while listed.changed().await.is_ok() {
            let list = Arc::clone(&listed.borrow_and_update());
            on_vm_list(&shared, &list);
        }
    })
}

/// Stops new work from this VM to upstreams that are leaving.
pub(crate) fn close_upstreams(shared: &Shared, upstreams: &[UpstreamId]) {
    let directory = Arc::clone(&shared.directory.borrow());
    for (upstream, resolved) in upstreams.iter().filter_map(|id| directory.find_upstream(id)) {
        shared.decisions().observations.mark_leaving(upstream, Instant::now());
        shared.dispatcher.close_upstream(upstream, resolved.slots);
    }
}

fn on_vm_list(shared: &Shared, listed: &[ListedVm]) {
    let directory = Arc::clone(&shared.directory.borrow());
    let leaving = leaving_upstreams(&directory, listed);
    if leaving.is_empty() {
        return;
    }
    close_upstreams(shared, &leaving);
    for (peer, upstreams) in peers_to_notify(shared, &directory, &leaving) {
        // If the message is lost, the next VM that reads the list notifies the peer again.
        let _ = shared.hub.send(peer, LinkRequest::UpstreamsLeaving(upstreams));
    }
}

fn leaving_upstreams(directory: &Directory, listed: &[ListedVm]) -> Vec<UpstreamId> {
    let leaving: BTreeSet<SocketAddr> = listed
        .iter()
        .filter(|vm| !vm.entry_vm && vm.state == ListedState::Leaving)
        .map(|vm| vm.address)
        .collect();
    if leaving.is_empty() {
        return Vec::new();
    }
    let upstreams = directory.upstreams.by_index.values();
    upstreams
        .filter(|resolved| leaving.contains(&resolved.address))
        .map(|resolved| resolved.id.to_string())
        .collect()
}

fn peers_to_notify(
    shared: &Shared,
    directory: &Directory,
    leaving: &[UpstreamId],
) -> BTreeMap<VmAddress, Vec<UpstreamId>> {
    let view = Arc::clone(&shared.members.borrow());
    let mut notices: BTreeMap<VmAddress, Vec<UpstreamId>> = BTreeMap::new();
    for (id, resolved) in leaving.iter().filter_map(|id| Some((id, directory.find_upstream(id)?.1)))
    {
        let peers: Vec<VmAddress> = if view.members.len() <= NOTIFY_ALL_MAX {
            view.members.keys().copied().collect()
        } else {
            directory.owners_of(resolved).collect()
        };
        for peer in peers.into_iter().filter(|peer| *peer != shared.address) {
            notices.entry(peer).or_default().push(id.clone());
        }
    }
    notices
}
