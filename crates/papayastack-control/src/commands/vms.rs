//! The commands that ask VMs.

use std::net::SocketAddr;

use papayastack::{LagReason, MemberState, Platform, PlatformError, Rollout, VmStatus};
use papayastack_macros::message;
use papayastack_platform::PlatformStore;
use serde_json::json;

use super::{fail, print_json};
use crate::Exit;
use crate::operators::OperatorsClient;

/// A VM that gave no status.
#[message]
pub(crate) struct Silent {
    /// The operators' address that was asked.
    pub(crate) operator_address: SocketAddr,
    /// What went wrong.
    pub(crate) problem: String,
}

/// Asks every VM for its state.
pub(crate) async fn ask_all(
    client: &OperatorsClient,
    operators: &[SocketAddr],
) -> (Vec<VmStatus>, Vec<Silent>) {
    let mut statuses = Vec::new();
    let mut silent = Vec::new();
    for address in operators {
        match client.status(*address).await {
            Ok(status) => statuses.push(status),
            Err(problem) => silent.push(Silent { operator_address: *address, problem }),
        }
    }
    (statuses, silent)
}

/// Prints the state of VMs, and whether the latest configuration is in force on all.
pub(crate) async fn status(
    operators: Vec<SocketAddr>,
    platform: Vec<SocketAddr>,
    json: bool,
) -> Exit {
    let (statuses, silent) = ask_all(&OperatorsClient::open(), &operators).await;
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
            Err(error) => eprintln!("papayactl: the platform's list is missing: {error}"),
        }
        match platform.read(&papayastack::configuration_object()).await {
            Ok(object) => version = version.max(object.version),
            Err(PlatformError::NotFound) => {}
            Err(error) => eprintln!("papayactl: the platform's version is missing: {error}"),
        }
    }
    let rollout = Rollout::evaluate(version, &statuses, &listed);
    if json {
        print_json(&json!({
            "vms": statuses,
            "silent": silent,
            "rollout": rollout,
            "in_force_everywhere": rollout.is_complete() && version > 0,
        }));
    } else {
        for status in &statuses {
            print_status(status);
        }
        for silent in &silent {
            println!("{}: {}", silent.operator_address, silent.problem);
        }
        print_rollout(&rollout);
    }
    if silent.is_empty() && rollout.is_complete() && version > 0 {
        Exit::Success
    } else {
        Exit::NotEverywhere
    }
}

/// Makes VMs leave.
pub(crate) async fn drain(operators: Vec<SocketAddr>, json: bool) -> Exit {
    let client = OperatorsClient::open();
    let mut failures = Vec::new();
    for address in &operators {
        match client.drain(*address).await {
            Ok(()) if json => {}
            Ok(()) => println!("{address}: leaving"),
            Err(problem) => failures.push(Silent { operator_address: *address, problem }),
        }
    }
    if json {
        print_json(&json!({ "asked": operators, "failed": failures }));
    }
    let problems: Vec<String> = failures
        .iter()
        .map(|failure| format!("{}: {}", failure.operator_address, failure.problem))
        .collect();
    if problems.is_empty() { Exit::Success } else { fail(&problems.join("; ")) }
}

/// Prints how far a version has come.
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
        "Version {} is in force on {} VMs, and not known to be on {}:",
        rollout.version,
        rollout.in_force.len(),
        rollout.lagging.len()
    );
    for lagging in &rollout.lagging {
        println!("  {}: {}", lagging.address, explain(&lagging.reason));
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

fn explain(reason: &LagReason) -> String {
    match reason {
        LagReason::Behind { version: 0 } => "nothing is in force".to_owned(),
        LagReason::Behind { version } => format!("version {version} is in force"),
        LagReason::Refused { faults } => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            format!("refused it: {}", faults.join(" | "))
        }
        LagReason::Unknown => "listed by the platform, unknown to the VMs that answered".to_owned(),
    }
}
