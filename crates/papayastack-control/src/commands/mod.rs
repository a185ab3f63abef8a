//! Runs the commands of `papayactl`.

mod apply;
mod explain;
mod files;
mod vms;

use serde::Serialize;

use crate::Exit;
use crate::diagnostic::Diagnostic;
use crate::options::Command;

/// Runs a command and prints its result.
pub(crate) async fn run(command: Command, json: bool) -> Exit {
    match command {
        Command::Check { source } => files::check(&source, json),
        Command::CheckGateway { file } => files::check_gateway(&file, json),
        Command::Explain { request, logs } => explain::run(&request, &logs, json),
        Command::Render { source, site } => files::render_site(&source, &site, json),
        Command::DiffSites { source, left, right } => {
            files::diff_sites(&source, &left, &right, json)
        }
        Command::DiffSources { left, right, site } => {
            files::diff_sources(&left, &right, site.as_deref(), json)
        }
        Command::Fetch { platform } => apply::fetch(platform).await,
        Command::Apply(command) => apply::run(command, json).await,
        Command::Status { operator_addresses, platform } => {
            vms::status(operator_addresses, platform, json).await
        }
        Command::Drain { operator_addresses } => vms::drain(operator_addresses, json).await,
        Command::Settings => {
            print!("{}", papayastack::settings_reference());
            Exit::Success
        }
    }
}

fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("results serialise as JSON");
    println!("{text}");
}

fn print_diagnostics(diagnostics: &[Diagnostic], json: bool) -> Exit {
    if json {
        print_json(&serde_json::json!({ "faults": diagnostics }));
    } else {
        for diagnostic in diagnostics {
            eprintln!("{diagnostic}");
        }
        eprintln!("papayactl: {} faults", diagnostics.len());
    }
    Exit::Faults
}

fn fail(problem: &str) -> Exit {
    eprintln!("papayactl: {problem}");
    Exit::Failed
}
