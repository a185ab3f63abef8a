//! Four VMs in three data centres with their stand-ins, in one process on loopback.
//!
//! Checks each guarantee of the tier once, prints the observations and exits with 0 only if all
//! guarantees hold.

mod steps;
mod system;

use std::process::ExitCode;

use system::System;

const HELP: &str = "\
Starts four VMs in three data centres with stand-ins for the platform and the upstreams, in one
process on loopback, checks each guarantee of the tier once and exits.

Usage: papaya-quickstart

Options:
  --help      print this text
  --version   print the version

Exit codes: 0 every guarantee holds, 1 one does not or the system did not start, 2 usage error.
";
/// The exit code for an invalid command line.
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
        Err(error) => {
            eprintln!("papaya-quickstart: the system did not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = steps::run_all(&mut system).await;
    system.stop().await;
    match result {
        Ok(()) => {
            println!("Every guarantee holds.");
            ExitCode::SUCCESS
        }
        Err(violation) => {
            eprintln!("papaya-quickstart: guarantee violated: {violation}");
            ExitCode::FAILURE
        }
    }
}
