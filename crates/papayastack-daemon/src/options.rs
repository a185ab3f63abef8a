//! The command line of `papayad`.

use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;

use papayastack::{LocalSettings, LogFormat, LogSettings};
use papayastack_platform::settings_path;
use pico_args::Arguments;

/// The exit code for options, or settings read with them, that are invalid.
pub(crate) const USAGE_EXIT: u8 = 2;

pub(crate) const HELP: &str = "\
Runs one entry VM until SIGTERM, Ctrl-C or a drain request, then finishes its requests and exits.

Usage: papayad gateway [--settings FILE]
       papayad --settings FILE [options]
       papayad --site NAME --data-centre NAME --platform ADDRESS --key TEXT [options]

Options:
  --settings FILE         the VM's local settings in JSON; - reads standard input
  --site NAME             the site whose configuration overlay applies
  --data-centre NAME      the data centre that the VM runs in
  --platform ADDRESS      an address of the platform; may be repeated
  --peer ADDRESS          the link address of another VM; may be repeated; lets this VM join while
                          the platform is down
  --key TEXT              a system key; may be repeated, with the signing key first
  --link ADDRESS          the address for links and datagrams between VMs (default 127.0.0.1:0)
  --caller ADDRESS        the address for callers (default 127.0.0.1:0)
  --operator ADDRESS      the address for operators (default 127.0.0.1:0)
  --log-json              write logs as JSON lines instead of text
  --spans                 write the spans of sampled traces as JSON lines
  --help                  print this text
  --version               print the version

`papayad gateway` forwards callers' requests on the users' platform. Its settings file has its own
JSON format; the default file is the one that the platform provides. SIGHUP checks it for changes.

Options given together with --settings override the file.

Exit codes: 0 stopped as requested, 1 failed to start, 2 invalid options or settings.
";

/// The action that the command line selects.
pub(crate) enum Action {
    Help,
    Version,
    Run(Box<LocalSettings>, LogSettings),
    Gateway(PathBuf),
}

/// Parses the arguments of this process.
pub(crate) fn parse_arguments() -> Result<Action, String> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return Ok(Action::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Action::Version);
    }
    if arguments.subcommand().map_err(|error| error.to_string())?.as_deref() == Some("gateway") {
        let file: Option<PathBuf> = optional(&mut arguments, "--settings")?;
        refuse_unknown(arguments)?;
        return Ok(Action::Gateway(file.unwrap_or_else(settings_path)));
    }
    let format = if arguments.contains("--log-json") { LogFormat::Json } else { LogFormat::Text };
    let spans = arguments.contains("--spans");
    let logs = LogSettings { format, spans, ..LogSettings::default() };
    let file: Option<String> = optional(&mut arguments, "--settings")?;
    let mut local = match file {
        Some(file) => read_settings(&file)?,
        None => empty_settings(),
    };
    override_settings(&mut local, &mut arguments)?;
    refuse_unknown(arguments)?;
    check_required(&local)?;
    Ok(Action::Run(Box::new(local), logs))
}

fn refuse_unknown(arguments: Arguments) -> Result<(), String> {
    match arguments.finish().first() {
        Some(unknown) => Err(format!("unknown argument `{}`", unknown.to_string_lossy())),
        None => Ok(()),
    }
}

fn override_settings(local: &mut LocalSettings, arguments: &mut Arguments) -> Result<(), String> {
    replace_if_given(&mut local.site, optional(arguments, "--site")?);
    replace_if_given(&mut local.data_centre, optional(arguments, "--data-centre")?);
    replace_if_given(&mut local.link_address, optional(arguments, "--link")?);
    replace_if_given(&mut local.caller_address, optional(arguments, "--caller")?);
    replace_if_given(&mut local.operator_address, optional(arguments, "--operator")?);
    let platforms = arguments.values_from_str("--platform").map_err(|error| error.to_string())?;
    replace_if_given(
        &mut local.platform_addresses,
        Some(platforms).filter(|list| !list.is_empty()),
    );
    let peers = arguments.values_from_str("--peer").map_err(|error| error.to_string())?;
    replace_if_given(&mut local.peer_addresses, Some(peers).filter(|list| !list.is_empty()));
    let keys = arguments.values_from_str("--key").map_err(|error| error.to_string())?;
    replace_if_given(&mut local.system_keys, Some(keys).filter(|list| !list.is_empty()));
    Ok(())
}

fn check_required(local: &LocalSettings) -> Result<(), String> {
    let required = [
        ("site", local.site.is_empty()),
        ("data_centre", local.data_centre.is_empty()),
        ("platform_addresses", local.platform_addresses.is_empty()),
        ("system_keys", local.system_keys.is_empty()),
    ];
    match required.into_iter().find(|(_, empty)| *empty) {
        Some((name, _)) => Err(format!("`{name}` is missing from the settings")),
        None => Ok(()),
    }
}

fn read_settings(file: &str) -> Result<LocalSettings, String> {
    let text = if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|error| format!("cannot read {file}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| format!("{file}: {error}"))
}

fn empty_settings() -> LocalSettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    LocalSettings {
        site: String::new(),
        data_centre: String::new(),
        link_address: any_port,
        caller_address: any_port,
        operator_address: any_port,
        platform_addresses: Vec::new(),
        peer_addresses: Vec::new(),
        system_keys: Vec::new(),
    }
}

fn optional<T: std::str::FromStr<Err: std::fmt::Display>>(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, String> {
    arguments.opt_value_from_str(name).map_err(|error| error.to_string())
}

fn replace_if_given<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
