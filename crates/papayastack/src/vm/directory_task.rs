//! The task that resolves the directory again when configuration or membership changes.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::configuration::ActiveConfiguration;
use crate::membership::MemberView;
use crate::routing::{Directory, DirectoryResolver};

/// Spawns the task, which ends when the channel of configurations or of members closes.
pub(crate) fn spawn_directory_task(
    mut in_force: watch::Receiver<Option<Arc<ActiveConfiguration>>>,
    mut members: watch::Receiver<Arc<MemberView>>,
) -> (watch::Receiver<Arc<Directory>>, JoinHandle<()>) {
    let (sender, receiver) = watch::channel(Arc::new(Directory::default()));
    let task = tokio::spawn(async move {
        let mut resolver = DirectoryResolver::new();
        if let Some(current) = in_force.borrow_and_update().clone() {
            resolver.set_configuration(&current);
        }
        resolver.set_members(&members.borrow_and_update().clone());
        loop {
            sender.send_replace(Arc::new(resolver.directory()));
            tokio::select! {
                changed = in_force.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    if let Some(current) = in_force.borrow_and_update().clone() {
                        resolver.set_configuration(&current);
                    }
                }
                changed = members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    resolver.set_members(&members.borrow_and_update().clone());
                }
            }
        }
    });
    (receiver, task)
}
