//! Runs a VM that forwards callers' requests on the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use papayastack::{DecisionEvent, DecisionLog, Gateway, GatewaySettings};
use papayastack_platform::{PlatformIngress, PlatformStore};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often the settings file is read without a SIGHUP; a change takes effect at the next start.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Runs the VM until SIGTERM, Ctrl-C or a drain request, then finishes its requests and leaves.
pub(crate) async fn run(file: PathBuf) -> Result<(), String> {
    let install = |kind| signal(kind).map_err(|error| error.to_string());
    let mut terminate = install(SignalKind::terminate())?;
    let hangup = install(SignalKind::hangup())?;
    let settings = read_settings(&file)?;
    let log = DecisionLog::open(&settings.vm);
    let store = Arc::new(PlatformStore::open(vec![settings.store_address]));
    let format = Arc::new(PlatformIngress::new());
    let gateway = Gateway::bind(settings.clone(), store, format, Arc::clone(&log))
        .await
        .map_err(|report| report.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = gateway.drain_requested() => {}
        () = log_settings_changes(hangup, &file, settings, &log) => {}
    }
    gateway.leave().await;
    Ok(())
}

/// Reads the settings at each SIGHUP and every [`SETTINGS_POLL_INTERVAL`], and logs the fields that
/// changed. The running VM keeps the settings that it started with.
async fn log_settings_changes(
    mut hangup: Signal,
    file: &Path,
    mut current: GatewaySettings,
    log: &DecisionLog,
) {
    let mut reported_problem = None;
    loop {
        let reload_requested = tokio::select! {
            received = hangup.recv() => received.is_some(),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        match read_settings(file) {
            Ok(settings) => {
                reported_problem = None;
                let changed = changed_fields(&current, &settings);
                if reload_requested || !changed.is_empty() {
                    log.write(DecisionEvent::Reloaded, || json!({ "changed": changed }));
                }
                current = settings;
            }
            // A problem that persists is logged once, and again at each SIGHUP.
            Err(problem) if reload_requested || reported_problem.as_ref() != Some(&problem) => {
                log.write(
                    DecisionEvent::Reloaded,
                    || json!({ "changed": [], "problem": problem, "kept": "the earlier settings" }),
                );
                reported_problem = Some(problem);
            }
            Err(_) => {}
        }
    }
}

/// Returns the names of the fields that differ.
fn changed_fields(before: &GatewaySettings, after: &GatewaySettings) -> Vec<String> {
    let fields = |settings| match serde_json::to_value(settings) {
        Ok(serde_json::Value::Object(fields)) => fields,
        Ok(_) | Err(_) => serde_json::Map::new(),
    };
    let (before, after): (_, serde_json::Map<_, _>) = (fields(before), fields(after));
    after
        .into_iter()
        .filter(|(name, value)| before.get(name) != Some(value))
        .map(|it| it.0)
        .collect()
}

fn read_settings(file: &Path) -> Result<GatewaySettings, String> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("cannot read {}: {error}", file.display()))?;
    GatewaySettings::parse(&text).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        format!("{}: {}", file.display(), faults.join(" | "))
    })
}
