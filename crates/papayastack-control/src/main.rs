//! `papayactl`, the command line for operators.

mod commands;
mod diagnostic;
mod json;
mod operator_client;
mod options;
mod source;

use std::process::ExitCode;

use options::Action;

/// The exit codes, which the help text documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    Success = 0,
    Failed = 1,
    WrongUse = 2,
    Faults = 3,
    Raced = 4,
    Unknown = 5,
    NotEverywhere = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let exit = match options::parse_arguments(std::env::args_os().skip(1).collect()) {
        Ok(Action::Help) => {
            print!("{}", options::HELP);
            Exit::Success
        }
        Ok(Action::Version) => {
            println!("papayactl {}", env!("CARGO_PKG_VERSION"));
            Exit::Success
        }
        Ok(Action::Run { command, json }) => commands::run(command, json).await,
        Err(problem) => {
            eprintln!("papayactl: {problem}; see --help");
            Exit::WrongUse
        }
    };
    exit.into()
}
