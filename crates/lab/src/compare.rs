//! `dappleyard-lab compare`: ratios of measures between runs, with the spread over seeds.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::{LabError, report};

/// Arguments of `compare`.
pub fn command() -> Command {
    Command::new("compare")
        .about("Prints ratios of measures between runs and says which differences are noise")
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .value_name("DIR")
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf))
                .help("Directory of the runs to compare with"),
        )
        .arg(
            Arg::new("runs")
                .value_name("DIR")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(std::path::PathBuf))
                .help("Directories of runs"),
        )
}

/// Compares the runs.
pub fn run(_arguments: &ArgMatches) -> ExitCode {
    report(Err(LabError::failed("`compare` is not built yet")))
}
