//! The command line of `papayactl`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use papayastack::nearest_name;
use pico_args::Arguments;

use crate::source::Source;

pub(crate) const HELP: &str = "\
Checks, shows and applies the configuration of papayastack, and manages VMs.

Usage: papayactl COMMAND [options]

Commands:
  check [FILES]                     check the base by itself and with every overlay
  check --gateway FILE              check the settings file of a forwarding VM
  explain ID LOG...                 print the events of a request from the decision logs of VMs
  render --site NAME [FILES]        print the settings of one site
  diff [FILES] --site A --site B    print what differs between two sites
  diff PATH PATH [--site NAME]      print what differs between two configurations
  fetch --platform ADDRESS          print the platform's configuration and its version
  apply --platform ADDRESS [FILES]  check every site, then replace the configuration
  status --operator ADDRESS         print the state of VMs; with --platform, compare its VM list
  drain --operator ADDRESS          make a VM finish its requests and leave
  settings                          print the reference of all settings

FILES is one of:
  DIRECTORY                         holds base.json and overlays/SITE.json
  FILE                              holds base and overlays, as printed by fetch
  --base FILE [--overlay SITE=FILE] names each file; --overlay may be repeated

Options:
  --site NAME            a site
  --platform ADDRESS     an address of the platform; may be repeated
  --operator ADDRESS     the operator address of a VM; may be repeated
  --expect-version N     apply only if the platform still has version N; 0 if it must have none.
                         The default is the version in a file printed by fetch, or else the
                         version that apply reads
  --change-id TEXT       the id of an earlier apply whose outcome is unknown
  --wait                 after apply, wait until the configuration is in force everywhere
  --timeout-ms N         the time-out of --wait (default 30000)
  --json                 print JSON for scripts
  --help                 print this text
  --version              print the version

Exit codes:
  0  done
  1  failed; nothing was changed
  2  wrong usage
  3  the files contain faults
  4  another operator changed the configuration first; nothing was changed
  5  a response was lost and the change may take effect; repeat with the printed --change-id
  6  not in force on all VMs, or a VM did not respond
";

const COMMANDS: [&str; 10] =
    ["explain", "check", "render", "diff", "fetch", "apply", "status", "drain", "settings", "help"];
const OPTIONS: [&str; 14] = [
    "--gateway",
    "--base",
    "--overlay",
    "--site",
    "--platform",
    "--operator",
    "--expect-version",
    "--change-id",
    "--wait",
    "--timeout-ms",
    "--json",
    "--help",
    "--version",
    "-h",
];
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

/// The action that the command line selects.
#[derive(Debug)]
pub(crate) enum Action {
    Help,
    Version,
    Run { command: Command, json: bool },
}

/// One command with its options.
#[derive(Debug)]
pub(crate) enum Command {
    Check { source: Source },
    CheckGateway { file: PathBuf },
    Explain { request: String, logs: Vec<PathBuf> },
    Render { source: Source, site: String },
    DiffSites { source: Source, left: String, right: String },
    DiffSources { left: Source, right: Source, site: Option<String> },
    Fetch { platform: Vec<SocketAddr> },
    Apply(ApplyCommand),
    Status { operator_addresses: Vec<SocketAddr>, platform: Vec<SocketAddr> },
    Drain { operator_addresses: Vec<SocketAddr> },
    Settings,
}

#[derive(Debug)]
pub(crate) struct ApplyCommand {
    pub(crate) source: Source,
    pub(crate) platform: Vec<SocketAddr>,
    pub(crate) expected_version: Option<u64>,
    pub(crate) change_id: Option<String>,
    /// How long to wait until the configuration is in force everywhere.
    pub(crate) wait: Option<Duration>,
    pub(crate) operator_addresses: Vec<SocketAddr>,
}

/// All options as parsed, before it is checked which of them the command accepts.
struct Options {
    gateway: Option<PathBuf>,
    base: Option<PathBuf>,
    overlays: Vec<(String, PathBuf)>,
    sites: Vec<String>,
    platform: Vec<SocketAddr>,
    operator_addresses: Vec<SocketAddr>,
    expected_version: Option<u64>,
    change_id: Option<String>,
    wait: bool,
    timeout_ms: Option<u64>,
    paths: Vec<PathBuf>,
}

/// Parses the arguments after the program's name.
pub(crate) fn parse_arguments(arguments: Vec<OsString>) -> Result<Action, String> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Action::Help);
    }
    if arguments.contains("--version") {
        return Ok(Action::Version);
    }
    let json = arguments.contains("--json");
    let name = arguments.subcommand().map_err(|error| error.to_string())?;
    let Some(name) = name else {
        let misspelt = arguments.finish();
        return Err(match misspelt.first() {
            Some(option) => unknown_option(&option.to_string_lossy()),
            None => format!("a command is missing; the commands are {}", COMMANDS.join(", ")),
        });
    };
    if name == "help" {
        return Ok(Action::Help);
    }
    if !COMMANDS.contains(&name.as_str()) {
        return Err(unknown_name("command", &name, &COMMANDS));
    }
    let options = Options::read(arguments)?;
    let command = options.into_command(&name)?;
    Ok(Action::Run { command, json })
}

impl Options {
    fn read(mut arguments: Arguments) -> Result<Self, String> {
        let options = Self {
            gateway: with_option_name(
                "--gateway",
                arguments.opt_value_from_os_str("--gateway", to_path),
            )?,
            base: with_option_name("--base", arguments.opt_value_from_os_str("--base", to_path))?,
            overlays: with_option_name(
                "--overlay",
                arguments.values_from_fn("--overlay", to_overlay),
            )?,
            sites: with_option_name("--site", arguments.values_from_str("--site"))?,
            platform: with_option_name("--platform", arguments.values_from_str("--platform"))?,
            operator_addresses: with_option_name(
                "--operator",
                arguments.values_from_str("--operator"),
            )?,
            expected_version: optional(&mut arguments, "--expect-version")?,
            change_id: optional(&mut arguments, "--change-id")?,
            wait: arguments.contains("--wait"),
            timeout_ms: optional(&mut arguments, "--timeout-ms")?,
            paths: Vec::new(),
        };
        let rest = arguments.finish();
        let misspelt = rest.iter().map(|word| word.to_string_lossy());
        if let Some(option) = misspelt.into_iter().find(|word| word.starts_with('-')) {
            return Err(unknown_option(&option));
        }
        Ok(Self { paths: rest.into_iter().map(PathBuf::from).collect(), ..options })
    }

    fn into_command(mut self, name: &str) -> Result<Command, String> {
        self.refuse_unused(name)?;
        match name {
            "check" => match self.gateway.take() {
                Some(file) if self.paths.is_empty() && self.base.is_none() => {
                    Ok(Command::CheckGateway { file })
                }
                Some(_) => Err(
                    "check takes either --gateway FILE or the files of a configuration, not both"
                        .into(),
                ),
                None => Ok(Command::Check { source: self.source()? }),
            },
            "explain" => self.into_explain(),
            "render" => Ok(Command::Render { site: self.site()?, source: self.source()? }),
            "diff" => self.into_diff(),
            "fetch" => Ok(Command::Fetch { platform: self.platform()? }),
            "apply" => Ok(Command::Apply(self.into_apply()?)),
            "status" => Ok(Command::Status {
                operator_addresses: self.operator_addresses()?,
                platform: self.platform,
            }),
            "drain" => Ok(Command::Drain { operator_addresses: self.operator_addresses()? }),
            _ => Ok(Command::Settings),
        }
    }

    fn into_diff(mut self) -> Result<Command, String> {
        if self.paths.len() == 2 && self.base.is_none() {
            if self.sites.len() > 1 {
                return Err("a diff of two configurations takes at most one --site".into());
            }
            let right = Source::Path(self.paths.remove(1));
            let left = Source::Path(self.paths.remove(0));
            return Ok(Command::DiffSources { left, right, site: self.sites.pop() });
        }
        let [left, right] = &self.sites[..] else {
            return Err("diff needs two paths, or one configuration and --site twice".into());
        };
        let (left, right) = (left.clone(), right.clone());
        Ok(Command::DiffSites { source: self.source()?, left, right })
    }

    fn into_explain(mut self) -> Result<Command, String> {
        if self.paths.len() < 2 {
            return Err("explain needs the id of a request and at least one decision log".into());
        }
        let request = self.paths.remove(0).to_string_lossy().into_owned();
        Ok(Command::Explain { request, logs: self.paths })
    }

    fn into_apply(mut self) -> Result<ApplyCommand, String> {
        let source = self.source()?;
        let platform = self.platform()?;
        let wait =
            self.wait.then(|| self.timeout_ms.map_or(TIMEOUT_DEFAULT, Duration::from_millis));
        if self.timeout_ms.is_some() && !self.wait {
            return Err("--timeout-ms needs --wait".into());
        }
        if self.wait && self.operator_addresses.is_empty() {
            return Err("--wait needs --operator ADDRESS to read which version is in force".into());
        }
        Ok(ApplyCommand {
            source,
            platform,
            expected_version: self.expected_version,
            change_id: self.change_id,
            wait,
            operator_addresses: self.operator_addresses,
        })
    }

    /// Rejects options that the command does not accept, rather than ignoring them.
    fn refuse_unused(&self, name: &str) -> Result<(), String> {
        let takes_files = matches!(name, "check" | "render" | "diff" | "apply");
        let takes_platform = matches!(name, "fetch" | "apply" | "status");
        let takes_operator = matches!(name, "apply" | "status" | "drain");
        let given = [
            ("--base", self.base.is_some(), takes_files),
            ("--overlay", !self.overlays.is_empty(), takes_files),
            ("--gateway", self.gateway.is_some(), name == "check"),
            ("a path", !self.paths.is_empty(), takes_files || name == "explain"),
            ("--site", !self.sites.is_empty(), matches!(name, "render" | "diff")),
            ("--platform", !self.platform.is_empty(), takes_platform),
            ("--operator", !self.operator_addresses.is_empty(), takes_operator),
            ("--expect-version", self.expected_version.is_some(), name == "apply"),
            ("--change-id", self.change_id.is_some(), name == "apply"),
            ("--wait", self.wait, name == "apply"),
            ("--timeout-ms", self.timeout_ms.is_some(), name == "apply"),
        ];
        match given.into_iter().find(|(_, given, taken)| *given && !taken) {
            Some((option, ..)) => Err(format!("{name} takes no {option}")),
            None => Ok(()),
        }
    }

    fn source(&mut self) -> Result<Source, String> {
        match (self.base.take(), std::mem::take(&mut self.paths).as_mut_slice()) {
            (Some(base), []) => {
                let overlays = std::mem::take(&mut self.overlays);
                Ok(Source::Files { base, overlays })
            }
            (None, [path]) if self.overlays.is_empty() => Ok(Source::Path(std::mem::take(path))),
            (None, []) if self.overlays.is_empty() => {
                Err("the configuration is missing; give a path or --base FILE".into())
            }
            (None, _) if !self.overlays.is_empty() => Err("--overlay needs --base FILE".into()),
            _ => Err("give the configuration once, as one path or by --base".into()),
        }
    }

    fn site(&mut self) -> Result<String, String> {
        match (self.sites.pop(), self.sites.is_empty()) {
            (Some(site), true) => Ok(site),
            _ => Err("exactly one --site NAME is needed".into()),
        }
    }

    fn platform(&mut self) -> Result<Vec<SocketAddr>, String> {
        match std::mem::take(&mut self.platform) {
            addresses if addresses.is_empty() => Err("--platform ADDRESS is missing".into()),
            addresses => Ok(addresses),
        }
    }

    fn operator_addresses(&mut self) -> Result<Vec<SocketAddr>, String> {
        match std::mem::take(&mut self.operator_addresses) {
            addresses if addresses.is_empty() => Err("--operator ADDRESS is missing".into()),
            addresses => Ok(addresses),
        }
    }
}

fn with_option_name<T>(option: &str, value: Result<T, pico_args::Error>) -> Result<T, String> {
    value.map_err(|error| format!("{option}: {error}"))
}

fn optional<T: std::str::FromStr<Err: std::fmt::Display>>(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<T>, String> {
    with_option_name(option, arguments.opt_value_from_str(option))
}

fn to_path(text: &std::ffi::OsStr) -> Result<PathBuf, String> {
    Ok(PathBuf::from(text))
}

fn to_overlay(text: &str) -> Result<(String, PathBuf), String> {
    match text.split_once('=') {
        Some((site, file)) if !site.is_empty() && !file.is_empty() => {
            Ok((site.to_owned(), PathBuf::from(file)))
        }
        _ => Err("write --overlay SITE=FILE".to_owned()),
    }
}

fn unknown_option(option: &str) -> String {
    let name = option.split('=').next().unwrap_or(option);
    unknown_name("option", name, &OPTIONS)
}

fn unknown_name(what: &str, name: &str, known: &[&str]) -> String {
    match nearest_name(name, known.iter().copied()) {
        Some(nearest) => format!("unknown {what} `{name}`; did you mean `{nearest}`?"),
        None => format!("unknown {what} `{name}`; expected one of {}", known.join(", ")),
    }
}
