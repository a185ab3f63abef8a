//! Running a VM that forwards on the users' platform.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use papayastack::{DecisionEvent, DecisionLog, Gateway, GatewaySettings};
use papayastack_platform::{PlatformIngress, PlatformStore};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often the settings are looked at without a SIGHUP; a change takes effect at the next start.
const SETTINGS_LOOK: Duration = Duration::from_secs(10);

/// Runs the VM until SIGTERM or ctrl-c, then leaves without cutting a request.
pub(crate) async fn run(file: PathBuf) -> Result<(), String> {
    let listen = |kind| signal(kind).map_err(|error| error.to_string());
    let mut terminate = listen(SignalKind::terminate())?;
    let hangup = listen(SignalKind::hangup())?;
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
        () = follow_settings(hangup, &file, settings, &log) => {}
    }
    gateway.leave().await;
    Ok(())
}

/// Reads the settings again at each SIGHUP, and now and then since they may change without one, and
/// says what changed. What is bound at the start stays until the process starts anew.
async fn follow_settings(
    mut hangup: Signal,
    file: &Path,
    mut current: GatewaySettings,
    log: &DecisionLog,
) {
    let mut refused = None;
    loop {
        let asked = tokio::select! {
            received = hangup.recv() => received.is_some(),
            () = tokio::time::sleep(SETTINGS_LOOK) => false,
        };
        match read_settings(file) {
            Ok(settings) => {
                refused = None;
                let changed = changed_fields(&current, &settings);
                if asked || !changed.is_empty() {
                    log.write(DecisionEvent::Reloaded, || json!({ "changed": changed }));
                }
                current = settings;
            }
            // A file that stays broken is told once.
            Err(problem) if asked || refused.as_ref() != Some(&problem) => {
                log.write(
                    DecisionEvent::Reloaded,
                    || json!({ "changed": [], "problem": problem, "kept": "the earlier settings" }),
                );
                refused = Some(problem);
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
