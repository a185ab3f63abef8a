//! Load generator: runs experiments with open-loop load on loopback.

mod arrivals;
mod check;
mod client;
mod experiment;
mod options;
mod plot;
mod report;
mod resources;
mod run;
mod stream_stats;
mod system;
#[cfg(test)]
mod tests;
mod vm_host;

use std::path::Path;
use std::process::ExitCode;

use pico_args::Arguments;

use self::experiment::Experiment;
use self::options::{HELP, Options, Request};
use self::plot::latency_svg;
use self::report::Report;
use self::run::run_case;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_WRONG_ANSWER: u8 = 3;

/// An error that ends the program, with its exit code.
struct Failure {
    code: u8,
    detail: String,
}

impl Failure {
    fn failed(detail: String) -> Self {
        Self { code: EXIT_FAILED, detail }
    }

    fn usage(detail: String) -> Self {
        Self { code: EXIT_USAGE, detail }
    }
}

fn main() -> ExitCode {
    match Options::from_arguments(Arguments::from_env()) {
        Ok(Request::Help) => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Ok(Request::Version) => {
            println!("papaya-load {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Request::Run(options)) => end_with(load(&options)),
        Err(detail) => end_with(Err(Failure::usage(format!("{detail}; see --help")))),
    }
}

fn end_with(result: Result<u64, Failure>) -> ExitCode {
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(wrong) => {
            eprintln!("papaya-load: {wrong} answers or submission outcomes are wrong.");
            ExitCode::from(EXIT_WRONG_ANSWER)
        }
        Err(failure) => {
            eprintln!("papaya-load: {}.", failure.detail);
            ExitCode::from(failure.code)
        }
    }
}

/// Runs the experiment and returns the number of wrong answers.
fn load(options: &Options) -> Result<u64, Failure> {
    let file = options.experiment.display();
    let text = std::fs::read_to_string(&options.experiment)
        .map_err(|error| Failure::usage(format!("cannot read {file}: {error}")))?;
    let experiment =
        Experiment::parse(&text).map_err(|error| Failure::usage(format!("{file}: {error}")))?;
    if options.check_only {
        return Ok(0);
    }
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|error| Failure::failed(format!("cannot start the Tokio runtime: {error}")))?;
    let report = runtime.block_on(run_all(&experiment)).map_err(Failure::failed)?;
    write_reports(options, &report)?;
    Ok(report.wrong_answers())
}

async fn run_all(experiment: &Experiment) -> Result<Report, String> {
    let mut report = Report::new(experiment);
    for case in &experiment.cases {
        for policy in &experiment.policies {
            let result = run_case(experiment, case, *policy).await?;
            report.add(case, &result);
        }
    }
    Ok(report)
}

fn write_reports(options: &Options, report: &Report) -> Result<(), Failure> {
    let markdown = report.markdown();
    print!("{markdown}");
    if let Some(path) = &options.markdown {
        write(path, &markdown)?;
    }
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(report)
            .map_err(|error| Failure::failed(format!("cannot encode the report: {error}")))?;
        write(path, &json)?;
    }
    if let Some(path) = &options.svg {
        write(path, &latency_svg(report).map_err(Failure::failed)?)?;
    }
    Ok(())
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text)
        .map_err(|error| Failure::failed(format!("cannot write {}: {error}", path.display())))
}
