//! Choice of the VM that prunes the submission ledger.

use std::sync::Arc;

use super::shared::Shared;
use crate::platform::Platform;
use crate::routing::owner_order;
use crate::settings::SubmissionSettings;
use crate::submission::LedgerPruner;

/// The key for rendezvous hashing; the first VM in the resulting order prunes.
const PRUNER_HASH_KEY: &str = "ledger-pruning";

/// Spawns the pruner, which stays idle unless this VM is chosen.
pub(crate) fn spawn_pruner(platform: Arc<dyn Platform>, shared: Arc<Shared>) -> LedgerPruner {
    LedgerPruner::spawn(platform, move || pruning_settings(&shared))
}

/// Returns the settings for pruning; `None` if another VM prunes.
fn pruning_settings(shared: &Shared) -> Option<SubmissionSettings> {
    let view = Arc::clone(&shared.members.borrow());
    let pruner = owner_order(PRUNER_HASH_KEY, "", &view).first().copied();
    let in_force = shared.in_force.borrow().clone()?;
    (pruner == Some(shared.address)).then(|| in_force.settings.submissions.clone())
}
