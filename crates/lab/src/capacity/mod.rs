//! `dappleyard-lab capacity`: control-plane cost of a node at growing fleet sizes.
//!
//! Hollow nodes run the real fleet protocol over UDP on loopback with an in-memory platform,
//! many on each thread. They hold the full server directory and see load, configuration changes
//! and restarts, but serve no requests. `docs/CAPACITY.md` shows the tables written here.

mod changes;
mod detection;
mod hollow;
mod measure;
mod movement;
mod report;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::{LabError, report as report_error};

/// Parameters of one measurement.
#[derive(Debug, Clone)]
pub struct Options {
    pub nodes: usize,
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Servers in the directory.
    pub servers: usize,
    /// Zones, assigned to the regions round robin.
    pub zones: usize,
    pub regions: usize,
    /// Threads that run the hollow nodes.
    pub threads: usize,
    /// Length of the measured window.
    pub window: Duration,
    /// Configuration changes per second.
    pub changes_per_s: f64,
    /// Time between two node restarts in the fleet.
    pub restart_every: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

pub fn command() -> Command {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("capacity")
        .about("Measures the control cost of a node at growing fleet sizes")
        .arg(
            option("nodes", "10,50,100,200,390", "Fleet sizes")
                .value_delimiter(',')
                .value_parser(value_parser!(usize)),
        )
        .arg(
            option("loss", "0", "Shares of datagrams lost")
                .value_delimiter(',')
                .value_parser(value_parser!(f64)),
        )
        .arg(option("servers", "7900", "Servers").value_parser(value_parser!(usize)))
        .arg(option("zones", "7", "Zones").value_parser(value_parser!(usize)))
        .arg(option("regions", "2", "Regions").value_parser(value_parser!(usize)))
        .arg(option("threads", "4", "Threads").value_parser(value_parser!(usize)))
        .arg(option("seconds", "30", "Measured window").value_parser(value_parser!(u64)))
        .arg(option("changes", "0.26", "Changes a second").value_parser(value_parser!(f64)))
        .arg(option("restart-every", "120", "Seconds").value_parser(value_parser!(u64)))
        .arg(option("seed", "1", "Seed").value_parser(value_parser!(u64)))
        .arg(
            Arg::new("out")
                .long("out")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Directory for capacity.json and capacity.md"),
        )
}

/// Runs the measurements and writes the result files.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    report_error(measure_all(arguments))
}

fn measure_all(arguments: &ArgMatches) -> Result<(), LabError> {
    let one = |name: &str| {
        arguments
            .get_one::<usize>(name)
            .copied()
            .unwrap_or(1)
            .max(1)
    };
    let seconds = |name: &str| {
        let seconds = arguments.get_one::<u64>(name).copied().unwrap_or(30);
        Duration::from_secs(seconds.max(1))
    };
    let out = arguments
        .get_one::<PathBuf>("out")
        .ok_or_else(|| LabError::usage("--out is missing"))?;
    std::fs::create_dir_all(out).map_err(LabError::failed)?;
    let mut results = Vec::new();
    for nodes in arguments.get_many::<usize>("nodes").into_iter().flatten() {
        for loss in arguments.get_many::<f64>("loss").into_iter().flatten() {
            let options = Options {
                nodes: (*nodes).max(1),
                loss: loss.clamp(0.0, 0.9),
                servers: one("servers"),
                zones: one("zones"),
                regions: one("regions"),
                threads: one("threads"),
                window: seconds("seconds"),
                changes_per_s: arguments.get_one("changes").copied().unwrap_or(0.26),
                restart_every: seconds("restart-every"),
                seed: arguments.get_one("seed").copied().unwrap_or(1),
            };
            let result = actix_rt::System::new().block_on(measure::measure(&options))?;
            eprintln!("{}", report::summary_line(&result));
            results.push(result);
            report::write(out, &results)?;
        }
    }
    println!("{}", report::markdown(&results));
    Ok(())
}
