//! The command line of `papayaq`.

use std::io::Read;
use std::net::SocketAddr;
use std::str::FromStr;

use papayastack::{QueryClass, Selection, nearest_name};
use papayastack_macros::value;
use pico_args::Arguments;

const ENTRY_VARIABLE: &str = "PAPAYA_ENTRY";
const COMMANDS: [&str; 3] = ["query", "submit", "addresses"];
const OPTIONS: [&str; 17] = [
    "--entry",
    "--data-centre",
    "--class",
    "--term",
    "--key",
    "--hits",
    "--deadline-ms",
    "--new-key",
    "--body",
    "--body-file",
    "--request-id",
    "--trace",
    "--json",
    "--help",
    "-h",
    "--version",
    "-V",
];

pub(crate) const HELP: &str = "\
Sends queries and submissions to a papayastack system as a caller.

Usage: papayaq query SERVICE (--term TEXT... | --key TEXT) [options]
       papayaq submit SERVICE (--key KEY | --new-key) (--body JSON | --body-file FILE) [options]
       papayaq addresses [options]

Query:
  --term TEXT             find documents that contain TEXT; may be repeated, all must match
  --key TEXT              find the document with this key
  --class NAME            sweep, lookup or archive (default: sweep for terms, lookup for a key)
  --hits COUNT            the maximum number of hits to return (default 100)

Submit:
  --key KEY               the key of the submission, <unix milliseconds of issue>-<unique text>;
                          sent again with the same key, a submission runs at most once
  --new-key               generate a key and print it on standard error before anything is sent
  --body JSON             the body of the submission
  --body-file FILE        the same from a file; - reads standard input

All:
  --entry ADDRESS         an address of any VM; may be repeated, or separated by commas in the
                          environment variable PAPAYA_ENTRY
  --data-centre NAME      the data centre of the caller, whose VMs are preferred
  --deadline-ms COUNT     the time-out in milliseconds (default: that of the class)
  --request-id TEXT       the id that logs show for this request
  --trace                 record the spans of this request, and print the trace id on standard
                          error
  --json                  print JSON
  --help                  print this text
  --version               print the version

Exit codes:
  0  complete: documents found, submission done, addresses received
  1  none found: every shard answered and none has a match
  2  wrong command line
  3  partial: documents found, but shards are missing, so there may be more
  4  inconclusive: nothing found, but shards are missing, so there may be some
  5  not run: refused or unreachable, nothing ran
  6  outcome unknown: it may have run; send a submission again with the same key
  7  conflict: the key was used with another body
  8  in progress: another request is running the submission; retry with the same key
  9  no longer known: the key is older than the retained records; ask the service itself
";

/// The action that the command line selects.
#[value]
pub(crate) enum Action {
    Help,
    Version,
    Call(Call),
}

/// A call with the options that all commands share.
#[value]
pub(crate) struct Call {
    pub(crate) command: Command,
    pub(crate) entry_addresses: Vec<SocketAddr>,
    pub(crate) data_centre: Option<String>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) request_id: Option<String>,
    pub(crate) trace: bool,
    pub(crate) json: bool,
}

/// The commands.
#[value]
pub(crate) enum Command {
    Query { service: String, class: QueryClass, selection: Selection, hits_limit: Option<u32> },
    Submit { service: String, key: KeyChoice, body: serde_json::Value },
    Addresses,
}

/// Where a submission's key comes from.
#[value]
pub(crate) enum KeyChoice {
    Given(String),
    New,
}

/// Parses the arguments of a process.
pub(crate) fn parse_arguments(mut arguments: Arguments) -> Result<Action, String> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(Action::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Action::Version);
    }
    let command = arguments.subcommand().map_err(|error| error.to_string())?;
    let command = command.ok_or("no command is given; use query, submit or addresses")?;
    let entry_addresses = entry_addresses(&mut arguments)?;
    let data_centre = optional(&mut arguments, "--data-centre")?;
    let deadline_ms = optional(&mut arguments, "--deadline-ms")?;
    let request_id = optional(&mut arguments, "--request-id")?;
    let trace = arguments.contains("--trace");
    let json = arguments.contains("--json");
    let options = match command.as_str() {
        "query" => Options::Query(QueryOptions::take(&mut arguments)?),
        "submit" => Options::Submit(SubmitOptions::take(&mut arguments)?),
        "addresses" => Options::Addresses,
        unknown => {
            let problem = unknown_name("command", unknown, &COMMANDS);
            return Err(format!("{problem} The commands are {}", COMMANDS.join(", ")));
        }
    };
    // Misspelt options are reported before missing arguments.
    let mut positional = positional_arguments(arguments)?.into_iter();
    let command = match options {
        Options::Query(options) => options.into_command(required_service(positional.next())?)?,
        Options::Submit(options) => options.into_command(required_service(positional.next())?)?,
        Options::Addresses => Command::Addresses,
    };
    if let Some(left) = positional.next() {
        return Err(unknown_name("argument", &left, &OPTIONS));
    }
    if entry_addresses.is_empty() {
        return Err(format!("no VM address is given; use --entry or set {ENTRY_VARIABLE}"));
    }
    Ok(Action::Call(Call {
        command,
        entry_addresses,
        data_centre,
        deadline_ms,
        request_id,
        trace,
        json,
    }))
}

enum Options {
    Query(QueryOptions),
    Submit(SubmitOptions),
    Addresses,
}

struct QueryOptions {
    terms: Vec<String>,
    key: Option<String>,
    class: Option<String>,
    hits_limit: Option<u32>,
}

impl QueryOptions {
    fn take(arguments: &mut Arguments) -> Result<Self, String> {
        Ok(Self {
            terms: repeated(arguments, "--term")?,
            key: optional(arguments, "--key")?,
            class: optional(arguments, "--class")?,
            hits_limit: optional(arguments, "--hits")?,
        })
    }

    fn into_command(self, service: String) -> Result<Command, String> {
        let (selection, class_default) = match self.key {
            Some(_) if !self.terms.is_empty() => {
                return Err("give --term or --key, not both".to_owned());
            }
            Some(key) => (Selection::Key(key), QueryClass::Lookup),
            None if self.terms.is_empty() => return Err("give --term or --key".to_owned()),
            None => (Selection::Terms(self.terms), QueryClass::Sweep),
        };
        let class = self.class.as_deref().map(parse_class).transpose()?.unwrap_or(class_default);
        Ok(Command::Query { service, class, selection, hits_limit: self.hits_limit })
    }
}

struct SubmitOptions {
    key: Option<String>,
    new_key: bool,
    body: Option<String>,
    body_file: Option<String>,
}

impl SubmitOptions {
    fn take(arguments: &mut Arguments) -> Result<Self, String> {
        Ok(Self {
            key: optional(arguments, "--key")?,
            new_key: arguments.contains("--new-key"),
            body: optional(arguments, "--body")?,
            body_file: optional(arguments, "--body-file")?,
        })
    }

    fn into_command(self, service: String) -> Result<Command, String> {
        let key = match (self.key, self.new_key) {
            (Some(_), true) => return Err("give --key or --new-key, not both".to_owned()),
            (Some(key), false) => KeyChoice::Given(key),
            (None, true) => KeyChoice::New,
            (None, false) => {
                return Err(
                    "give --key, or --new-key to generate one; a submission without a key \
                            cannot be sent again safely"
                        .to_owned(),
                );
            }
        };
        Ok(Command::Submit { service, key, body: parse_body(self.body, self.body_file)? })
    }
}

fn parse_body(text: Option<String>, file: Option<String>) -> Result<serde_json::Value, String> {
    let (name, text) = match (text, file) {
        (Some(text), None) => ("--body".to_owned(), text),
        (None, Some(file)) => {
            let text = read_file(&file).map_err(|error| format!("cannot read {file}: {error}"))?;
            (file, text)
        }
        (Some(_), Some(_)) => return Err("give --body or --body-file, not both".to_owned()),
        (None, None) => return Err("give --body or --body-file".to_owned()),
    };
    serde_json::from_str(&text).map_err(|error| format!("{name} is not JSON: {error}"))
}

fn read_file(file: &str) -> std::io::Result<String> {
    if file != "-" {
        return std::fs::read_to_string(file);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn positional_arguments(arguments: Arguments) -> Result<Vec<String>, String> {
    let left: Vec<String> =
        arguments.finish().iter().map(|text| text.to_string_lossy().into_owned()).collect();
    match left.iter().find(|text| text.starts_with('-')) {
        Some(option) if OPTIONS.contains(&option.as_str()) => {
            Err(format!("the option `{option}` does not belong to this command"))
        }
        Some(option) => Err(unknown_name("option", option, &OPTIONS)),
        None => Ok(left),
    }
}

fn required_service(name: Option<String>) -> Result<String, String> {
    name.ok_or_else(|| "no service is given".to_owned())
}

fn parse_class(name: &str) -> Result<QueryClass, String> {
    let class = QueryClass::BY_PRIORITY.into_iter().find(|class| class.name() == name);
    class.ok_or_else(|| unknown_name("class", name, &QueryClass::BY_PRIORITY.map(QueryClass::name)))
}

fn entry_addresses(arguments: &mut Arguments) -> Result<Vec<SocketAddr>, String> {
    let given: Vec<SocketAddr> = repeated(arguments, "--entry")?;
    if !given.is_empty() {
        return Ok(given);
    }
    let variable = std::env::var(ENTRY_VARIABLE).unwrap_or_default();
    let parse = |text: &str| {
        text.trim().parse().map_err(|error| format!("{ENTRY_VARIABLE} holds `{text}`: {error}"))
    };
    variable.split(',').filter(|text| !text.trim().is_empty()).map(parse).collect()
}

fn optional<T: FromStr<Err: std::fmt::Display>>(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, String> {
    arguments.opt_value_from_str(name).map_err(|error| format!("{name}: {error}"))
}

fn repeated<T: FromStr<Err: std::fmt::Display>>(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Vec<T>, String> {
    arguments.values_from_str(name).map_err(|error| format!("{name}: {error}"))
}

fn unknown_name(kind: &str, name: &str, known: &[&str]) -> String {
    match nearest_name(name, known.iter().copied()) {
        Some(nearest) => format!("unknown {kind} `{name}`; did you mean `{nearest}`?"),
        None => format!("unknown {kind} `{name}`."),
    }
}
