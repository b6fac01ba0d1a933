//! `dappleyard-lab standins`: the platform and the engines of a scenario as one plain process.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::{LabError, report};

/// Arguments of `standins`.
pub fn command() -> Command {
    Command::new("standins")
        .about("Runs the platform and the engines of a scenario until it is told to stop")
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_name("PATH")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf))
                .help("Scenario file"),
        )
}

/// Runs the stand-ins.
pub fn run(_arguments: &ArgMatches) -> ExitCode {
    report(Err(LabError::failed("`standins` is not built yet")))
}
