//! The daemon on each entry VM: accepts callers' requests, owns upstreams, relays for its peers.

mod gateway;
mod options;

use std::process::ExitCode;
use std::sync::Arc;

use papayastack::{LocalSettings, LogSettings, Vm, open_logs};
use papayastack_platform::PlatformStore;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use options::{Action, HELP, USAGE_EXIT};

fn main() -> ExitCode {
    match options::parse_arguments() {
        Ok(Action::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Action::Version) => {
            println!("papayad {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Action::Run(local, logs)) => {
            block_on(&mut Builder::new_multi_thread(), run(*local, &logs))
        }
        // One thread is enough, since the platform gives a VM a fraction of one core.
        Ok(Action::Gateway(file)) => {
            block_on(&mut Builder::new_current_thread(), gateway::run(file))
        }
        Err(problem) => {
            eprintln!("papayad: {problem}; see --help");
            ExitCode::from(USAGE_EXIT)
        }
    }
}

fn block_on(builder: &mut Builder, work: impl Future<Output = Result<(), String>>) -> ExitCode {
    let outcome = builder
        .enable_all()
        .build()
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(work));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("papayad: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the VM until SIGTERM, Ctrl-C or a drain request, then finishes its requests and leaves.
async fn run(local: LocalSettings, logs: &LogSettings) -> Result<(), String> {
    open_logs(logs).map_err(|report| report.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let platform = Arc::new(PlatformStore::open(local.platform_addresses.clone()));
    let vm = Vm::bind(local, platform).await.map_err(|report| report.to_string())?;
    println!(
        "{}",
        serde_json::json!({
            "caller_address": vm.caller_address(),
            "link_address": vm.link_address(),
            "operator_address": vm.operator_address(),
        })
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = vm.drain_requested() => {}
    }
    vm.leave().await;
    Ok(())
}
