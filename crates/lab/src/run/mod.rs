//! `dappleyard-lab run`: one scenario, under one policy, with faults, judged by the invariants.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::{LabError, report};

/// Arguments of `run`.
pub fn command() -> Command {
    Command::new("run")
        .about("Runs a scenario and checks the invariants; exits 1 on a violation, 2 on bad usage")
        .after_help(
            "Example:\n  dappleyard-lab run --scenario scenarios/hooghly.toml --seconds 20 --out out/hooghly",
        )
        .arg(path("scenario", "Scenario file").required(true))
        .arg(path("faults", "Fault file; none by default"))
        .arg(path("out", "Directory for summary.json").required(true))
        .arg(path("record", "Writes a trace for `replay` to this file"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Seed of arrivals and engines; the scenario's by default"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("A..B")
                .conflicts_with("seed")
                .help("Runs seeds A to B, inclusive, into DIR/seed-N"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .help("Length of the load; the scenario's by default"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAME")
                .value_parser(["online-only", "shared-queue", "static-split", "preempt"])
                .help("How batch work is run beside online work; preempt by default"),
        )
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("PATH")
        .value_parser(value_parser!(std::path::PathBuf))
        .help(help)
}

/// Runs the scenario.
pub fn run(_arguments: &ArgMatches) -> ExitCode {
    report(Err(LabError::failed("`run` is not built yet")))
}
