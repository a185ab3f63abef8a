//! Which VM prunes the ledger of submissions.

use std::sync::Arc;

use super::shared::Shared;
use crate::platform::Platform;
use crate::routing::owner_order;
use crate::settings::SubmissionSettings;
use crate::submission::LedgerPruner;

/// What rendezvous hashing is asked for; its first VM prunes.
const PRUNING_DUTY: &str = "ledger-pruning";

/// Spawns the pruner, which stays idle unless this VM has the duty.
pub(crate) fn spawn_pruner(platform: Arc<dyn Platform>, shared: Arc<Shared>) -> LedgerPruner {
    LedgerPruner::spawn(platform, move || pruning_duty(&shared))
}

/// Returns the settings to prune by; `None` where another VM prunes.
fn pruning_duty(shared: &Shared) -> Option<SubmissionSettings> {
    let view = Arc::clone(&shared.members.borrow());
    let pruning = owner_order(PRUNING_DUTY, "", &view).first().copied();
    let in_force = shared.in_force.borrow().clone()?;
    (pruning == Some(shared.address)).then(|| in_force.settings.submissions.clone())
}
