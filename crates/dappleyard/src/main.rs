//! The `dappleyard` program: sidecar, node, operator commands and the settings check.

mod check;
mod command;
mod explain;
mod failure;
mod flags;
mod logging;
mod node;
mod serve;
mod sidecar;
mod signals;
mod summary;
mod zones;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::failure::Failure;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match dispatch(&matches) {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit_code()
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<ExitCode, Failure> {
    match matches.subcommand() {
        Some(("serve", arguments)) => serve::run(arguments),
        Some(("node", arguments)) => node::run(arguments),
        Some(("sidecar", arguments)) => sidecar::run(arguments),
        Some(("explain", arguments)) => explain::run(arguments),
        Some(("check", arguments)) => check::run(arguments),
        Some(("zones", arguments)) => zones::run(arguments),
        Some(("ctl", arguments)) => Ok(ExitCode::from(dappleyard_ctl::run(arguments))),
        Some(("completions", arguments)) => Ok(command::print_completions(arguments)),
        _ => Err(Failure::Usage {
            cause: "no subcommand; see --help".to_owned(),
        }),
    }
}
