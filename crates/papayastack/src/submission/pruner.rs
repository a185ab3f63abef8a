//! The asynchronous driver of pruning passes.

use std::sync::Arc;
use std::time::Duration;

use super::driver::{WallClock, system_unix_ms};
use super::prune::{PruneAnswer, PruneCall, PrunePass, PruneStep};
use crate::platform::{Platform, PlatformError};
use crate::settings::SubmissionSettings;

/// The pause between two calls, so that pruning takes a small share of the platform's rates.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// Deletes ledger objects that lie before the retention window.
///
/// One VM should prune at a time, for the sake of the platform's rates; several do no harm.
pub struct LedgerPruner {
    platform: Arc<dyn Platform>,
    clock: WallClock,
}

impl LedgerPruner {
    /// Creates a pruner that does nothing until [`LedgerPruner::pass`].
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform, clock: Arc::new(system_unix_ms) }
    }

    /// Makes one pass, 20 calls a second at most; fails where the platform does, and the next
    /// pass takes up what is left.
    pub async fn pass(&self, settings: &SubmissionSettings) -> Result<(), PlatformError> {
        let (mut pass, mut call) = PrunePass::start(settings, (self.clock)());
        loop {
            match pass.answered(self.answer(call).await) {
                PruneStep::Call(next) => call = next,
                PruneStep::Finished => return Ok(()),
                PruneStep::Failed(error) => return Err(error),
            }
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }

    async fn answer(&self, call: PruneCall) -> PruneAnswer {
        match call {
            PruneCall::Read(name) => PruneAnswer::Read(self.platform.read(&name).await),
            PruneCall::ListLayouts(kind) => PruneAnswer::Listed(self.platform.list(kind).await),
            PruneCall::Update(name, precondition, value) => {
                PruneAnswer::Updated(self.platform.update(&name, precondition, value).await)
            }
            PruneCall::Delete(name, version) => {
                PruneAnswer::Deleted(self.platform.delete(&name, version).await)
            }
        }
    }
}
