//! Options of the `run` subcommand: scenario, fault file, seeds, length, policy and output paths.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::LabError;
use crate::faults::FaultFile;
use crate::scenario::{Policy, Scenario};

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
                .value_parser(parse_seeds)
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
                .default_value("preempt")
                .value_parser(Policy::ALL.map(Policy::name))
                .help("How batch work runs alongside online work"),
        )
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("PATH")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

/// Parses `A..B`, both inclusive.
pub fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let wrong = || format!("{text:?}: expected A..B with A <= B");
    let (from, to) = text.split_once("..").ok_or_else(wrong)?;
    let from: u64 = from.parse().map_err(|_| wrong())?;
    let to: u64 = to.parse().map_err(|_| wrong())?;
    if from > to {
        return Err(wrong());
    }
    Ok(from..=to)
}

/// Validated arguments of `run`.
#[derive(Debug, Clone)]
pub struct RunArguments {
    pub scenario: Scenario,
    pub faults: FaultFile,
    /// File stem of the fault file; empty if none is given.
    pub fault_name: String,
    pub length: Duration,
    pub policy: Policy,
    /// Trace file to write.
    pub record: Option<PathBuf>,
    out: PathBuf,
    seed: u64,
    seeds: Option<RangeInclusive<u64>>,
}

impl RunArguments {
    /// Reads the arguments and the files they name.
    pub fn read(arguments: &ArgMatches) -> Result<RunArguments, LabError> {
        let file = |name: &str| arguments.get_one::<PathBuf>(name);
        let required =
            |name: &str| file(name).ok_or_else(|| LabError::usage(format!("--{name} is required")));
        let scenario = Scenario::load(required("scenario")?)?;
        let faults = file("faults")
            .map(|path| FaultFile::load(path))
            .transpose()?;
        let seconds = arguments
            .get_one("seconds")
            .copied()
            .unwrap_or(scenario.seconds);
        let policy_name: &String = arguments
            .get_one("policy")
            .ok_or_else(|| LabError::usage("--policy is required"))?;
        let policy = Policy::from_name(policy_name);
        Ok(RunArguments {
            faults: faults.unwrap_or_default(),
            fault_name: file("faults").map(|path| stem(path)).unwrap_or_default(),
            length: Duration::from_secs(seconds),
            policy: policy.unwrap_or(Policy::Preempt),
            record: file("record").cloned(),
            out: required("out")?.clone(),
            seed: arguments.get_one("seed").copied().unwrap_or(scenario.seed),
            seeds: arguments.get_one("seeds").cloned(),
            scenario,
        })
    }

    pub fn seeds(&self) -> RangeInclusive<u64> {
        self.seeds.clone().unwrap_or(self.seed..=self.seed)
    }

    /// Output directory of a seed.
    pub fn directory(&self, seed: u64) -> PathBuf {
        match self.seeds {
            Some(_) => self.out.join(format!("seed-{seed}")),
            None => self.out.clone(),
        }
    }
}

fn stem(path: &Path) -> String {
    path.file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned()
}
