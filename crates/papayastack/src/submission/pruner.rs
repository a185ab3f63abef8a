//! The asynchronous task that runs pruning passes.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::driver::{WallClock, system_unix_ms, with_call_timeout};
use super::prune_pass::{PruneAnswer, PruneCall, PrunePass, PruneStep};
use crate::platform::{Platform, PlatformError};
use crate::settings::SubmissionSettings;

/// The pause between two passes.
const PASS_INTERVAL: Duration = Duration::from_secs(300);
/// The pause between two calls, so that pruning uses a small share of the platform's rate limits.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// The pruner of a VM, a background task that deletes ledger objects older than the retention
/// window.
///
/// Only one VM should prune at a time, to save calls under the platform's rate limits; several at
/// once are safe. Dropping the handle stops the pruner; the next pass of any VM deletes the rest.
pub struct LedgerPruner {
    task: JoinHandle<()>,
}

impl LedgerPruner {
    /// Spawns the pruner, which calls `pass_settings` before each pass and skips the pass on
    /// `None`.
    pub fn spawn(
        platform: Arc<dyn Platform>,
        pass_settings: impl Fn() -> Option<SubmissionSettings> + Send + Sync + 'static,
    ) -> Self {
        Self::spawn_with_clock(platform, pass_settings, Arc::new(system_unix_ms))
    }

    /// Spawns the pruner with a custom clock, for virtual time.
    pub fn spawn_with_clock(
        platform: Arc<dyn Platform>,
        pass_settings: impl Fn() -> Option<SubmissionSettings> + Send + Sync + 'static,
        clock: WallClock,
    ) -> Self {
        Self { task: tokio::spawn(prune(platform, pass_settings, clock)) }
    }
}

impl Drop for LedgerPruner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn prune(
    platform: Arc<dyn Platform>,
    pass_settings: impl Fn() -> Option<SubmissionSettings> + Send + Sync,
    clock: WallClock,
) {
    loop {
        tokio::time::sleep(PASS_INTERVAL).await;
        if let Some(settings) = pass_settings()
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
        PruneCall::Read(name) => PruneAnswer::Read(with_call_timeout(platform.read(&name)).await),
        PruneCall::ListLayouts(kind) => {
            PruneAnswer::Listed(with_call_timeout(platform.list(kind)).await)
        }
        PruneCall::Update(name, precondition, value) => PruneAnswer::Updated(
            with_call_timeout(platform.update(&name, precondition, value)).await,
        ),
        PruneCall::Delete(name, version) => {
            PruneAnswer::Deleted(with_call_timeout(platform.delete(&name, version)).await)
        }
    }
}
