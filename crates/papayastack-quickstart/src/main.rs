//! Four VMs in three data centres with their stand-ins, in one process on loopback.
//!
//! Runs each promise once, prints what was seen and ends with 0 only if all were kept.

mod steps;
mod system;

use std::process::ExitCode;

use system::System;

const HELP: &str = "\
Starts four VMs in three data centres with stand-ins for the platform and the upstreams, in one
process on loopback, shows each promise once and ends by itself.

Usage: papaya-quickstart

Options:
  --help      print this text
  --version   print the version

Exit codes: 0 every promise was kept, 1 one was not or the system did not start, 2 wrong use.
";
/// The exit code after a wrong command line.
const USAGE_EXIT: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        None => run().await,
        Some("--help" | "-h") => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Some("--version" | "-V") => {
            println!("papaya-quickstart {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Some(unknown) => {
            eprintln!("papaya-quickstart: unknown argument `{unknown}`; see --help");
            ExitCode::from(USAGE_EXIT)
        }
    }
}

async fn run() -> ExitCode {
    let mut system = match System::start().await {
        Ok(system) => system,
        Err(problem) => {
            eprintln!("papaya-quickstart: {problem}");
            return ExitCode::FAILURE;
        }
    };
    let result = steps::run_all(&mut system).await;
    system.stop().await;
    match result {
        Ok(()) => {
            println!("Every promise was kept.");
            ExitCode::SUCCESS
        }
        Err(broken) => {
            eprintln!("papaya-quickstart: broken promise: {broken}");
            ExitCode::FAILURE
        }
    }
}
