//! The commands that call the operator API of VMs.

use std::net::SocketAddr;

use papayastack::{LagReason, MemberState, Platform, PlatformError, Rollout, VmStatus};
use papayastack_macros::message;
use papayastack_platform::PlatformStore;
use serde_json::json;

use super::{fail, print_json};
use crate::Exit;
use crate::operator_client::OperatorClient;

/// A failed call to the operator API of a VM.
#[message]
pub(crate) struct OperatorCallFailure {
    pub(crate) operator_address: SocketAddr,
    /// Why the call failed.
    pub(crate) problem: String,
}

/// Returns the statuses of all VMs and the calls that failed.
pub(crate) async fn fetch_statuses(
    client: &OperatorClient,
    operator_addresses: &[SocketAddr],
) -> (Vec<VmStatus>, Vec<OperatorCallFailure>) {
    let mut statuses = Vec::new();
    let mut failures = Vec::new();
    for address in operator_addresses {
        match client.status(*address).await {
            Ok(status) => statuses.push(status),
            Err(problem) => {
                failures.push(OperatorCallFailure { operator_address: *address, problem })
            }
        }
    }
    (statuses, failures)
}

/// Prints the state of VMs, and whether the latest configuration is in force on all of them.
pub(crate) async fn status(
    operator_addresses: Vec<SocketAddr>,
    platform: Vec<SocketAddr>,
    json: bool,
) -> Exit {
    let (statuses, failures) = fetch_statuses(&OperatorClient::open(), &operator_addresses).await;
    let known = statuses.iter().flat_map(|status| {
        let members = status.members.iter().map(|member| member.configuration_version);
        members.chain([status.configuration_version])
    });
    let mut version = known.max().unwrap_or(0);
    let mut listed = Vec::new();
    if !platform.is_empty() {
        let platform = PlatformStore::open(platform);
        match platform.vms().await {
            Ok(vms) => listed = vms,
            Err(error) => eprintln!("papayactl: cannot read the platform's list of VMs: {error}"),
        }
        match platform.read(&papayastack::configuration_object()).await {
            Ok(object) => version = version.max(object.version),
            Err(PlatformError::NotFound) => {}
            Err(error) => eprintln!("papayactl: cannot read the platform's configuration: {error}"),
        }
    }
    let rollout = Rollout::evaluate(version, &statuses, &listed);
    if json {
        print_json(&json!({
            "vms": statuses,
            "silent": failures,
            "rollout": rollout,
            "in_force_everywhere": rollout.is_complete() && version > 0,
        }));
    } else {
        for status in &statuses {
            print_status(status);
        }
        for failure in &failures {
            println!("{}: {}", failure.operator_address, failure.problem);
        }
        print_rollout(&rollout);
    }
    if failures.is_empty() && rollout.is_complete() && version > 0 {
        Exit::Success
    } else {
        Exit::NotEverywhere
    }
}

/// Makes VMs finish their requests and leave.
pub(crate) async fn drain(operator_addresses: Vec<SocketAddr>, json: bool) -> Exit {
    let client = OperatorClient::open();
    let mut failures = Vec::new();
    for address in &operator_addresses {
        match client.drain(*address).await {
            Ok(()) if json => {}
            Ok(()) => println!("{address}: leaving"),
            Err(problem) => {
                failures.push(OperatorCallFailure { operator_address: *address, problem })
            }
        }
    }
    if json {
        print_json(&json!({ "asked": operator_addresses, "failed": failures }));
    }
    let problems: Vec<String> = failures
        .iter()
        .map(|failure| format!("{}: {}", failure.operator_address, failure.problem))
        .collect();
    if problems.is_empty() { Exit::Success } else { fail(&problems.join("; ")) }
}

/// Prints on which VMs a version is in force.
pub(crate) fn print_rollout(rollout: &Rollout) {
    if rollout.version == 0 {
        println!("No configuration is in force anywhere.");
        return;
    }
    if rollout.is_complete() {
        println!(
            "Version {} is in force everywhere, on {} VMs.",
            rollout.version,
            rollout.in_force.len()
        );
        return;
    }
    println!(
        "Version {} is in force on {} VMs, and not known to be in force on {}:",
        rollout.version,
        rollout.in_force.len(),
        rollout.lagging.len()
    );
    for lagging in &rollout.lagging {
        println!("  {}: {}", lagging.address, describe_lag(&lagging.reason));
    }
}

fn print_status(status: &VmStatus) {
    let state = match status.state {
        MemberState::Live => "live",
        MemberState::Leaving => "leaving",
    };
    println!(
        "{} at {} (site {}): {state}, configuration {}, {} members",
        status.identity.address,
        status.data_centre,
        status.site,
        status.configuration_version,
        status.members.len()
    );
    for refused in &status.refused {
        println!("  refused version {} of {}:", refused.version, refused.name.name);
        for fault in &refused.faults {
            println!("    {fault}");
        }
    }
}

fn describe_lag(reason: &LagReason) -> String {
    match reason {
        LagReason::Behind { version: 0 } => "no configuration is in force".to_owned(),
        LagReason::Behind { version } => format!("version {version} is in force"),
        LagReason::Refused { faults } => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            format!("refused the version: {}", faults.join(" | "))
        }
        LagReason::Unknown => "listed by the platform, unknown to the VMs that answered".to_owned(),
    }
}
