//! Tests of the command line of `papaya-standin`.

use std::ffi::OsString;

use papayastack_standin::Deployment;
use pico_args::Arguments;

use super::options::{Command, Options};

fn options(arguments: &[&str]) -> Result<Command, String> {
    let arguments = arguments.iter().map(OsString::from).collect();
    Options::from_arguments(Arguments::from_vec(arguments))
}

#[test]
fn a_full_command_line_is_parsed() {
    let arguments = [
        "--place=armor",
        "--seed=9",
        "--service=batch-ledger",
        "--vm=127.0.0.1:7101@rennes",
        "--run-seconds=3",
    ];

    let Ok(Command::Run(options)) = options(&arguments) else { panic!("the command is not a run") };

    assert_eq!((options.deployment, options.seed), (Deployment::Armor, 9));
    assert!(options.services.contains("batch-ledger"));
    assert_eq!(options.vms[0].data_centre, "rennes");
}

#[test]
fn invalid_arguments_are_named_in_the_error() {
    let cases = [
        (vec!["--place", "armor", "--sed", "9"], "--sed"),
        (vec!["--place", "armr"], "armr"),
        (vec!["--place", "armor", "--service", "deadline-board"], "deadline-board"),
        (vec!["--place", "armor", "--platform", "192.0.2.1:7001"], "--platform"),
        (vec!["--place", "armor", "--vm", "127.0.0.1:7101"], "ADDRESS@CENTRE"),
        (vec![], "--place"),
    ];

    for (arguments, named) in cases {
        let error = options(&arguments).err().unwrap_or_default();

        assert!(error.contains(named), "{arguments:?}: {error}");
    }
}
