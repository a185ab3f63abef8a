//! Reading and replacing the configuration at the platform.

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
use super::vms::{ask_all, print_rollout};
use super::{fail, print_complaints, print_json};
use crate::Exit;
use crate::operators::OperatorsClient;
use crate::options::ApplyCommand;

/// The largest object that the platform holds, in bytes.
const OBJECT_MAX_BYTES: usize = 1_048_576;
/// The pause between two looks at what is in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Prints the configuration at the platform with its version.
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
        Err(error) => fail(&format!("version {} is no bundle: {error}", object.version)),
    }
}

/// Checks every site, then replaces the configuration by one conditional update.
pub(crate) async fn run(command: ApplyCommand, json: bool) -> Exit {
    let loaded = match command.source.load() {
        Ok(loaded) => loaded,
        Err(complaints) => return print_complaints(&complaints, json),
    };
    let complaints = loaded.check();
    if !complaints.is_empty() {
        return print_complaints(&complaints, json);
    }
    let mut bundle = loaded.bundle;
    bundle.change_id = command.change_id.unwrap_or_else(new_change_id);
    let size_bytes = bundle.content().to_string().len();
    if size_bytes > OBJECT_MAX_BYTES {
        return fail(&format!(
            "base and overlays are {size_bytes} bytes, the platform holds {OBJECT_MAX_BYTES}"
        ));
    }
    let change_id = bundle.change_id.clone();
    let expected_version = command.expected_version.or(loaded.version);
    let platform = PlatformStore::open(command.platform);
    let outcome = apply(&platform, ApplyRequest { bundle, expected_version }).await;
    let exit = exit_of(&outcome);
    let version = version_in_force(&outcome);
    let rollout = match (command.wait, version) {
        (Some(wait), Some(version)) => {
            Some(wait_everywhere(&platform, &command.operators, version, wait).await)
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

fn exit_of(outcome: &ApplyOutcome) -> Exit {
    match outcome {
        ApplyOutcome::Applied { .. } | ApplyOutcome::Replaced { .. } => Exit::Success,
        ApplyOutcome::Raced(_) => Exit::Raced,
        ApplyOutcome::NotApplied { .. } => Exit::Failed,
        ApplyOutcome::Unknown { .. } => Exit::Unknown,
    }
}

/// Returns the version that holds the operator's change.
fn version_in_force(outcome: &ApplyOutcome) -> Option<u64> {
    match outcome {
        ApplyOutcome::Applied { version } | ApplyOutcome::Replaced { version, .. } => {
            Some(*version)
        }
        _ => None,
    }
}

async fn wait_everywhere(
    platform: &dyn Platform,
    operators: &[SocketAddr],
    version: u64,
    wait: Duration,
) -> Rollout {
    let client = OperatorsClient::open();
    let end = Instant::now() + wait;
    loop {
        let (statuses, _) = ask_all(&client, operators).await;
        let listed = platform.vms().await.unwrap_or_default();
        let rollout = Rollout::evaluate(version, &statuses, &listed);
        if rollout.is_complete() || Instant::now() >= end {
            return rollout;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
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
                "Not applied: change {} made version {} first. Fetch it and decide again.",
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
            "Unknown whether it is applied: {problem}. Repeat with --change-id {change_id}; it \
             takes effect once at most."
        ),
    }
    if let Some(rollout) = rollout {
        print_rollout(rollout);
    }
}
