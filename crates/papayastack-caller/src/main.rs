//! `papayaq`, the command line for callers.

mod exit;
mod options;
mod render;
mod run;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use options::{Action, HELP};

#[tokio::main]
async fn main() -> ExitCode {
    match options::parse_arguments(pico_args::Arguments::from_env()) {
        Ok(Action::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Action::Version) => {
            println!("papayaq {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Action::Call(call)) => {
            let report = run::run(call).await;
            println!("{}", report.text);
            report.exit.into()
        }
        Err(problem) => {
            eprintln!("papayaq: {problem} (see --help)");
            exit::Exit::Usage.into()
        }
    }
}
