//! The callers' command line.

mod exit;
mod options;
mod render;
mod run;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use options::{HELP, Request};

#[tokio::main]
async fn main() -> ExitCode {
    match options::from_arguments(pico_args::Arguments::from_env()) {
        Ok(Request::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Request::Version) => {
            println!("papayaq {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Request::Call(call)) => {
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
