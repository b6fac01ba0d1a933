//! `dappleyard-lab compare`: ratios of measures between runs, with their spread over seeds.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use dappleyard_report::{compare, runs};

use crate::error::{LabError, report};

pub fn command() -> Command {
    Command::new("compare")
        .about("Prints ratios of measures between runs and says which differences are noise")
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .value_name("DIR")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Directory of the runs to compare with"),
        )
        .arg(
            Arg::new("runs")
                .value_name("DIR")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Directories of runs"),
        )
}

pub fn run(arguments: &ArgMatches) -> ExitCode {
    report(print(arguments))
}

fn print(arguments: &ArgMatches) -> Result<(), LabError> {
    let baseline: Vec<PathBuf> = arguments
        .get_many("baseline")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let runs: Vec<PathBuf> = arguments
        .get_many("runs")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let baseline = runs::group(runs::read(&baseline).map_err(LabError::failed)?);
    for group in runs::group(runs::read(&runs).map_err(LabError::failed)?) {
        let same = |other: &&runs::Group| {
            other.scenario == group.scenario
                && other.faults == group.faults
                && other.seconds == group.seconds
        };
        let Some(before) = baseline.iter().find(same) else {
            println!("{}: no matching run in the baseline", group.title());
            continue;
        };
        for (policy_before, runs_before) in &before.policies {
            for (policy, runs) in &group.policies {
                println!("{}: {policy} against {policy_before}", group.title());
                println!("{}", compare::table(&compare::compare(runs_before, runs)));
            }
        }
    }
    Ok(())
}
