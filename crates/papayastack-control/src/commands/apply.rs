//! The commands that read and replace the platform's configuration.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use papayastack::{
    ApplyOutcome, ApplyRequest, Bundle, Platform, PlatformError, Rollout, apply,
    configuration_object,
};
use papayastack_platform::PlatformStore;
use rand::Rng;
use serde_json::json;

use super::files::print_changes;
use super::vms::{fetch_statuses, print_rollout};
use super::{fail, print_diagnostics, print_json};
use crate::Exit;
use crate::operator_client::OperatorClient;
use crate::options::ApplyCommand;

/// The largest object that the platform accepts, in bytes.
const OBJECT_MAX_BYTES: usize = 1_048_576;
/// The interval between two checks of which version is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Prints the platform's configuration and its version.
pub(crate) async fn fetch(platform: Vec<SocketAddr>) -> Exit {
    let platform = PlatformStore::open(platform);
    let object = match platform.read(&configuration_object()).await {
        Ok(object) => object,
        Err(PlatformError::NotFound) => return fail("the platform holds no configuration"),
        Err(error) => return fail(&format!("cannot read the configuration: {error}")),
    };
    match serde_json::from_value::<Bundle>(object.value) {
        Ok(bundle) => {
            print_json(&json!({
                "version": object.version,
                "change_id": bundle.change_id,
                "base": bundle.base,
                "overlays": bundle.overlays,
            }));
            Exit::Success
        }
        Err(error) => fail(&format!(
            "version {} cannot be decoded as a configuration: {error}",
            object.version
        )),
    }
}

/// Checks every site, then replaces the configuration by one conditional update.
pub(crate) async fn run(command: ApplyCommand, json: bool) -> Exit {
    let loaded = match command.source.load() {
        Ok(loaded) => loaded,
        Err(diagnostics) => return print_diagnostics(&diagnostics, json),
    };
    let diagnostics = loaded.check();
    if !diagnostics.is_empty() {
        return print_diagnostics(&diagnostics, json);
    }
    let mut bundle = loaded.bundle;
    bundle.change_id = command.change_id.unwrap_or_else(new_change_id);
    let size_bytes = bundle.content().to_string().len();
    if size_bytes > OBJECT_MAX_BYTES {
        return fail(&format!(
            "base and overlays take {size_bytes} bytes; the platform accepts {OBJECT_MAX_BYTES}"
        ));
    }
    let change_id = bundle.change_id.clone();
    let expected_version = command.expected_version.or(loaded.version);
    let platform = PlatformStore::open(command.platform);
    let outcome = apply(&platform, ApplyRequest { bundle, expected_version }).await;
    let exit = exit_for_outcome(&outcome);
    let version = applied_version(&outcome);
    let rollout = match (command.wait, version) {
        (Some(wait), Some(version)) => {
            Some(wait_for_rollout(&platform, &command.operator_addresses, version, wait).await)
        }
        _ => None,
    };
    print_outcome(&outcome, &change_id, rollout.as_ref(), json);
    match rollout {
        Some(rollout) if !rollout.is_complete() => Exit::NotEverywhere,
        _ => exit,
    }
}

fn new_change_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

fn exit_for_outcome(outcome: &ApplyOutcome) -> Exit {
    match outcome {
        ApplyOutcome::Applied { .. } | ApplyOutcome::Replaced { .. } => Exit::Success,
        ApplyOutcome::Raced(_) => Exit::Raced,
        ApplyOutcome::NotApplied { .. } => Exit::Failed,
        ApplyOutcome::Unknown { .. } => Exit::Unknown,
    }
}

/// Returns the version whose rollout is to be awaited, if the change was applied.
fn applied_version(outcome: &ApplyOutcome) -> Option<u64> {
    match outcome {
        ApplyOutcome::Applied { version } | ApplyOutcome::Replaced { version, .. } => {
            Some(*version)
        }
        _ => None,
    }
}

async fn wait_for_rollout(
    platform: &dyn Platform,
    operator_addresses: &[SocketAddr],
    version: u64,
    wait: Duration,
) -> Rollout {
    let client = OperatorClient::open();
    let end = Instant::now() + wait;
    loop {
        let (statuses, _) = fetch_statuses(&client, operator_addresses).await;
        let listed = platform.vms().await.unwrap_or_default();
        let rollout = Rollout::evaluate(version, &statuses, &listed);
        if rollout.is_complete() || Instant::now() >= end {
            return rollout;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_outcome(outcome: &ApplyOutcome, change_id: &str, rollout: Option<&Rollout>, json: bool) {
    if json {
        let everywhere = rollout.map(Rollout::is_complete);
        print_json(&json!({
            "outcome": outcome,
            "change_id": change_id,
            "rollout": rollout,
            "in_force_everywhere": everywhere,
        }));
        return;
    }
    match outcome {
        ApplyOutcome::Applied { version } => {
            println!("Applied as version {version} (change {change_id}).");
        }
        ApplyOutcome::Replaced { version, change_id: other } => println!(
            "Change {change_id} was applied, and change {other} has replaced it by version \
             {version}."
        ),
        ApplyOutcome::Raced(race) => {
            println!(
                "Not applied: change {} made version {} first. Fetch it before you apply again.",
                race.change_id, race.version
            );
            if let Some(theirs) = &race.their_difference {
                println!("What that change did:");
                print_changes(theirs, None);
            }
            println!("What this apply would change now:");
            print_changes(&race.own_difference, None);
        }
        ApplyOutcome::NotApplied { problem } => println!("Not applied: {problem}."),
        ApplyOutcome::Unknown { problem } => println!(
            "Unknown whether it is applied: {problem}. Repeat with --change-id {change_id}; the \
             change takes effect at most once."
        ),
    }
    if let Some(rollout) = rollout {
        print_rollout(rollout);
    }
}
