//! The command line of `papaya-load`.

use std::path::PathBuf;

use pico_args::Arguments;

pub(crate) const HELP: &str = "\
Sends seeded, open-loop load on loopback and reports latency, coverage and extra load.

An experiment file lists the routing policies to compare and the cases, each with a place, its load
and timed faults; each case runs under each policy, one after the other. Progress goes to standard
error, the Markdown table to standard output.

Usage: papaya-load EXPERIMENT.json [options]

Options:
  --json FILE      write the whole report as JSON
  --markdown FILE  write the Markdown table to a file as well
  --svg FILE       write the plot of latency by quantile
  --check          only check the experiment file
  --help           print this text
  --version        print the version

Exit codes: 0 ran, no wrong answer; 1 could not run or write; 2 usage error or invalid experiment
file; 3 an answer or the outcome of a submission was wrong.
";

/// The action that the command line selects.
pub(crate) enum Request {
    Help,
    Version,
    Run(Options),
}

/// The options of a run.
pub(crate) struct Options {
    pub(crate) experiment: PathBuf,
    pub(crate) json: Option<PathBuf>,
    pub(crate) markdown: Option<PathBuf>,
    pub(crate) svg: Option<PathBuf>,
    pub(crate) check_only: bool,
}

impl Options {
    /// Parses the command line.
    pub(crate) fn from_arguments(mut arguments: Arguments) -> Result<Request, String> {
        if arguments.contains(["-h", "--help"]) {
            return Ok(Request::Help);
        }
        if arguments.contains(["-V", "--version"]) {
            return Ok(Request::Version);
        }
        let json = path(&mut arguments, "--json")?;
        let markdown = path(&mut arguments, "--markdown")?;
        let svg = path(&mut arguments, "--svg")?;
        let check_only = arguments.contains("--check");
        let mut rest = arguments.finish().into_iter();
        let first = rest.next().ok_or("missing argument: the path of an experiment file")?;
        for argument in std::iter::once(&first).chain(rest.as_slice()) {
            if argument.to_string_lossy().starts_with('-') {
                return Err(format!("unknown option `{}`", argument.to_string_lossy()));
            }
        }
        match rest.next() {
            Some(extra) => Err(format!("unexpected argument `{}`", extra.to_string_lossy())),
            None => Ok(Request::Run(Self {
                experiment: PathBuf::from(first),
                json,
                markdown,
                svg,
                check_only,
            })),
        }
    }
}

fn path(arguments: &mut Arguments, name: &'static str) -> Result<Option<PathBuf>, String> {
    arguments.opt_value_from_str(name).map_err(|error| error.to_string())
}
