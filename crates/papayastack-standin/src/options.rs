//! The command line of `papaya-standin`.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use papayastack::{ListedState, ListedVm, ServiceName};
use papayastack_standin::Deployment;
use pico_args::Arguments;

pub(crate) const HELP: &str = "\
Runs a stand-in platform and all stand-in upstreams of one deployment on loopback.

Publishes its configuration and catalogues to the platform, prints all addresses as JSON
and runs until SIGTERM, ctrl-c or --run-seconds.

Usage: papaya-standin --place plazo-claro|armor [options]

Options:
  --place NAME            the deployment: plazo-claro or armor
  --platform ADDRESS      address of the platform (default 127.0.0.1:7001; port 0: any)
  --control ADDRESS       address of the control interface for faults (default 127.0.0.1:0)
  --service NAME          start only this service; may be repeated
  --vm ADDRESS@CENTRE     list an entry VM by its link address; may be repeated
  --seed N                the seed of documents and faults (default 1)
  --run-seconds N         end after this time
  --help                  print this text
  --version               print the version

Exit codes: 0 normal end, 1 could not run, 2 invalid arguments.
";

const PLATFORM_PORT: u16 = 7001;
const SEED_DEFAULT: u64 = 1;

/// The command that the arguments select.
pub(crate) enum Command {
    Help,
    Version,
    Run(Options),
}

/// The parsed options with which the stand-ins are started.
pub(crate) struct Options {
    pub(crate) deployment: Deployment,
    pub(crate) platform: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) services: BTreeSet<ServiceName>,
    pub(crate) vms: Vec<ListedVm>,
    pub(crate) seed: u64,
    pub(crate) run_time: Option<Duration>,
}

impl Options {
    /// Parses the arguments.
    pub(crate) fn from_arguments(mut arguments: Arguments) -> Result<Command, String> {
        if arguments.contains(["-h", "--help"]) {
            return Ok(Command::Help);
        }
        if arguments.contains(["-V", "--version"]) {
            return Ok(Command::Version);
        }
        let deployment = arguments
            .value_from_fn("--place", parse_deployment)
            .map_err(|error| error.to_string())?;
        let options = Self {
            deployment,
            platform: loopback_address(&mut arguments, "--platform", PLATFORM_PORT)?,
            control: loopback_address(&mut arguments, "--control", 0)?,
            services: selected_services(&mut arguments, deployment)?,
            vms: arguments.values_from_fn("--vm", parse_vm).map_err(|error| error.to_string())?,
            seed: optional_number(&mut arguments, "--seed")?.unwrap_or(SEED_DEFAULT),
            run_time: optional_number(&mut arguments, "--run-seconds")?.map(Duration::from_secs),
        };
        match arguments.finish().first() {
            Some(unknown) => Err(format!("unknown argument `{}`", unknown.to_string_lossy())),
            None => Ok(Command::Run(options)),
        }
    }
}

fn loopback_address(
    arguments: &mut Arguments,
    name: &'static str,
    port: u16,
) -> Result<SocketAddr, String> {
    let address = arguments
        .opt_value_from_str::<_, SocketAddr>(name)
        .map_err(|error| error.to_string())?
        .unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(format!("`{name}` must be a loopback address, not {address}"))
    }
}

fn selected_services(
    arguments: &mut Arguments,
    deployment: Deployment,
) -> Result<BTreeSet<ServiceName>, String> {
    let services: Vec<ServiceName> =
        arguments.values_from_str("--service").map_err(|error| error.to_string())?;
    let offered: Vec<&str> = deployment.services().iter().map(|shape| shape.name).collect();
    match services.iter().find(|name| !offered.contains(&name.as_str())) {
        Some(name) => Err(format!("no service `{name}`; available: {}", offered.join(", "))),
        None => Ok(services.into_iter().collect()),
    }
}

fn optional_number(arguments: &mut Arguments, name: &'static str) -> Result<Option<u64>, String> {
    arguments.opt_value_from_str(name).map_err(|error| error.to_string())
}

fn parse_deployment(name: &str) -> Result<Deployment, String> {
    Deployment::from_name(name).ok_or_else(|| "use `plazo-claro` or `armor`".to_owned())
}

fn parse_vm(text: &str) -> Result<ListedVm, String> {
    let (address, data_centre) =
        text.split_once('@').ok_or("use ADDRESS@CENTRE, for example 127.0.0.1:7101@centro-a")?;
    Ok(ListedVm {
        address: address.parse().map_err(|_| format!("`{address}` is not an address"))?,
        data_centre: data_centre.to_owned(),
        entry_vm: true,
        state: ListedState::Live,
    })
}
