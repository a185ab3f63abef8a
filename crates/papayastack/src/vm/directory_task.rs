//! The task that resolves the directory again when configuration or membership changes.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::configuration::InForce;
use crate::membership::MemberView;
use crate::routing::{Directory, UpstreamRegistry};

/// Spawns the task; it ends with its sources.
pub(crate) fn spawn_directory_task(
    mut in_force: watch::Receiver<Option<Arc<InForce>>>,
    mut members: watch::Receiver<Arc<MemberView>>,
) -> (watch::Receiver<Arc<Directory>>, JoinHandle<()>) {
    let (sender, receiver) = watch::channel(Arc::new(Directory::default()));
    let task = tokio::spawn(async move {
        let mut registry = UpstreamRegistry::default();
        loop {
            let current = in_force.borrow_and_update().clone();
            let view = Arc::clone(&members.borrow_and_update());
            if let Some(current) = current {
                let directory = Directory::resolve(&current, &view, &mut registry);
                sender.send_replace(Arc::new(directory));
            }
            tokio::select! {
                changed = in_force.changed() => if changed.is_err() { return },
                changed = members.changed() => if changed.is_err() { return },
            }
        }
    });
    (receiver, task)
}
