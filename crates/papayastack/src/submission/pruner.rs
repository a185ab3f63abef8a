//! The asynchronous driver of pruning passes.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::driver::{WallClock, bounded, system_unix_ms};
use super::prune::{PruneAnswer, PruneCall, PrunePass, PruneStep};
use crate::platform::{Platform, PlatformError};
use crate::settings::SubmissionSettings;

/// The pause between two passes.
const PASS_INTERVAL: Duration = Duration::from_secs(300);
/// The pause between two calls, so that pruning takes a small share of the platform's rates.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// The running pruner of a VM, which deletes ledger objects from before the retention window.
///
/// One VM should prune at a time, for the sake of the platform's rates; several do no harm. The
/// pruner stops when its handle is dropped; the next pass takes up what is left.
pub struct LedgerPruner {
    task: JoinHandle<()>,
}

impl LedgerPruner {
    /// Spawns the pruner, which asks `duty` before each pass and skips it on `None`.
    pub fn spawn(
        platform: Arc<dyn Platform>,
        duty: impl Fn() -> Option<SubmissionSettings> + Send + Sync + 'static,
    ) -> Self {
        Self::spawn_with_clock(platform, duty, Arc::new(system_unix_ms))
    }

    /// Spawns the pruner with another clock than the system's, for virtual time.
    pub fn spawn_with_clock(
        platform: Arc<dyn Platform>,
        duty: impl Fn() -> Option<SubmissionSettings> + Send + Sync + 'static,
        clock: WallClock,
    ) -> Self {
        Self { task: tokio::spawn(prune(platform, duty, clock)) }
    }
}

impl Drop for LedgerPruner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn prune(
    platform: Arc<dyn Platform>,
    duty: impl Fn() -> Option<SubmissionSettings> + Send + Sync,
    clock: WallClock,
) {
    loop {
        tokio::time::sleep(PASS_INTERVAL).await;
        if let Some(settings) = duty()
            && let Err(error) = run_pass(platform.as_ref(), &settings, clock()).await
        {
            log::info!(target: "papaya::submission", "submission: Pruning stopped: {error}.");
        }
    }
}

async fn run_pass(
    platform: &dyn Platform,
    settings: &SubmissionSettings,
    unix_ms: u64,
) -> Result<(), PlatformError> {
    let (mut pass, mut call) = PrunePass::start(settings, unix_ms);
    loop {
        match pass.answered(answer(platform, call).await) {
            PruneStep::Call(next) => call = next,
            PruneStep::Finished => return Ok(()),
            PruneStep::Failed(error) => return Err(error),
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

async fn answer(platform: &dyn Platform, call: PruneCall) -> PruneAnswer {
    match call {
        PruneCall::Read(name) => PruneAnswer::Read(bounded(platform.read(&name)).await),
        PruneCall::ListLayouts(kind) => PruneAnswer::Listed(bounded(platform.list(kind)).await),
        PruneCall::Update(name, precondition, value) => {
            PruneAnswer::Updated(bounded(platform.update(&name, precondition, value)).await)
        }
        PruneCall::Delete(name, version) => {
            PruneAnswer::Deleted(bounded(platform.delete(&name, version)).await)
        }
    }
}
