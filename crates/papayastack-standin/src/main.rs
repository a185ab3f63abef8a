//! Runs the stand-in platform and all stand-in upstreams of one deployment in one process.

mod options;
#[cfg(test)]
mod tests;

use std::process::ExitCode;
use std::sync::Arc;

use papayastack::{ListedState, ListedVm};
use papayastack_platform::PlatformStore;
use papayastack_standin::{ControlStandin, DeploymentOptions, DeploymentStandin, PlatformStandin};
use pico_args::Arguments;
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Mutex;

use self::options::{Command, HELP, Options};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    match Options::from_arguments(Arguments::from_env()) {
        Ok(Command::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("papaya-standin {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Run(options)) => run(options),
        Err(detail) => {
            eprintln!("papaya-standin: {detail}. See --help.");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(options: Options) -> ExitCode {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error.to_string()),
    };
    match runtime.block_on(serve(options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(detail) => report_failure(&detail),
    }
}

fn report_failure(detail: &str) -> ExitCode {
    eprintln!("papaya-standin: {detail}.");
    ExitCode::from(EXIT_FAILED)
}

async fn serve(options: Options) -> Result<(), String> {
    let platform = PlatformStandin::bind_seeded(options.platform, options.seed)
        .await
        .map_err(|error| format!("cannot bind the platform to {}: {error}", options.platform))?;
    let platform = Arc::new(platform);
    let deployment_options = DeploymentOptions {
        seed: options.seed,
        services: options.services.clone(),
        ..DeploymentOptions::default()
    };
    let deployment = DeploymentStandin::bind(options.deployment, deployment_options)
        .await
        .map_err(|error| format!("cannot bind the upstreams: {error}"))?;
    let client = PlatformStore::open(vec![platform.address()]);
    deployment
        .publish(&client)
        .await
        .map_err(|error| format!("cannot publish the configuration of the deployment: {error}"))?;
    platform.set_vms(initial_vm_list(&options, &deployment));
    let upstreams: serde_json::Map<_, _> = deployment
        .upstreams()
        .iter()
        .map(|(id, upstream)| (id.clone(), json!(upstream.address())))
        .collect();
    let deployment = Arc::new(Mutex::new(deployment));
    let control =
        ControlStandin::bind(options.control, Arc::clone(&platform), deployment).await.map_err(
            |error| format!("cannot bind the control interface to {}: {error}", options.control),
        )?;
    let addresses = json!({
        "place": options.deployment.name(),
        "platform": platform.address(),
        "control": control.address(),
        "upstreams": upstreams,
    });
    println!("{addresses:#}");
    wait_for_shutdown(&options).await
}

fn initial_vm_list(options: &Options, deployment: &DeploymentStandin) -> Vec<ListedVm> {
    let upstreams = deployment.upstreams().values().map(|upstream| ListedVm {
        address: upstream.address(),
        data_centre: deployment.data_centre(upstream.id()).unwrap_or_default().to_owned(),
        entry_vm: false,
        state: ListedState::Live,
    });
    options.vms.iter().cloned().chain(upstreams).collect()
}

async fn wait_for_shutdown(options: &Options) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate())
        .map_err(|error| format!("cannot listen for SIGTERM: {error}"))?;
    let run_time_elapsed = async {
        match options.run_time {
            Some(run_time) => tokio::time::sleep(run_time).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
        () = run_time_elapsed => {}
    }
    Ok(())
}
