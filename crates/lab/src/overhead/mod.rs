//! `dappleyard-lab overhead` and `dappleyard-lab overload`: cost of the request path, and its
//! behavior under overload.
//!
//! Both drive a fleet of separate processes (`scripts/fleet up`), so that CPU time can be read per
//! process. `overhead` alternates the same requests between an engine and a sidecar, then measures
//! tokens per core. `overload` sends an open-loop load at the given rates and reports goodput and
//! refusals.

mod latency;
mod overload;
mod processes;
mod request;
mod throughput;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::{LabError, report};

pub fn overhead_command() -> Command {
    Command::new("overhead")
        .about("Measures the overhead of sidecar and node, and tokens per core")
        .arg(sidecar())
        .arg(
            option(
                "engine",
                "URL",
                "Base URL of one engine, as the machine list names it",
            )
            .required(true),
        )
        .arg(count_option("requests", "400", "Requests each way"))
        .arg(count_option("tokens", "16", "Tokens of each answer"))
        .arg(count_option(
            "streams",
            "200",
            "Streams at once when throughput is measured",
        ))
        .arg(count_option("seconds", "8", "Time for throughput, seconds"))
        .arg(
            Arg::new("processes")
                .long("processes")
                .value_name("FILE")
                .default_value("out/fleet/processes.json")
                .value_parser(value_parser!(PathBuf))
                .help("Processes of scripts/fleet"),
        )
}

pub fn overload_command() -> Command {
    Command::new("overload")
        .about("Measures goodput and refusals at several arrival rates")
        .arg(sidecar())
        .arg(
            option("rates", "A,B,C", "Requests a second, one phase for each")
                .default_value("20,40,80,120"),
        )
        .arg(count_option("seconds", "6", "Time of each phase, seconds"))
        .arg(count_option("tokens", "32", "Tokens of each answer"))
        .arg(count_option(
            "deadline-ms",
            "2000",
            "Deadline of each request, milliseconds",
        ))
        .arg(count_option("seed", "1", "Seed of the arrivals"))
}

fn sidecar() -> Arg {
    option("sidecar", "URL", "Base URL of a sidecar").default_value("http://127.0.0.1:8080")
}

fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn count_option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    option(name, "N", help)
        .default_value(default)
        .value_parser(value_parser!(u32).range(1..))
}

fn u32_argument(arguments: &ArgMatches, name: &str) -> u32 {
    arguments.get_one::<u32>(name).copied().unwrap_or(1)
}

fn string_argument(arguments: &ArgMatches, name: &str) -> String {
    arguments
        .get_one::<String>(name)
        .cloned()
        .unwrap_or_default()
}

pub fn run_overhead(arguments: &ArgMatches) -> ExitCode {
    let sidecar = string_argument(arguments, "sidecar");
    let latency = latency::Plan {
        sidecar: sidecar.clone(),
        engine: string_argument(arguments, "engine"),
        requests: u32_argument(arguments, "requests"),
        tokens: u32_argument(arguments, "tokens"),
    };
    let throughput = throughput::Plan {
        sidecar,
        streams: u32_argument(arguments, "streams"),
        time: seconds(arguments),
        processes: arguments
            .get_one::<PathBuf>("processes")
            .cloned()
            .unwrap_or_default(),
    };
    report(actix_rt::System::new().block_on(async {
        latency::measure(&latency).await?;
        throughput::measure(&throughput).await
    }))
}

pub fn run_overload(arguments: &ArgMatches) -> ExitCode {
    report(plan_overload(arguments).and_then(|plan| {
        let system = actix_rt::System::new();
        system.block_on(overload::measure(&plan))
    }))
}

fn plan_overload(arguments: &ArgMatches) -> Result<overload::Plan, LabError> {
    let rates = string_argument(arguments, "rates");
    let parsed: Result<Vec<f64>, _> = rates.split(',').map(str::parse).collect();
    Ok(overload::Plan {
        sidecar: string_argument(arguments, "sidecar"),
        rates: parsed.map_err(|error| LabError::usage(format!("--rates {rates}: {error}")))?,
        time: seconds(arguments),
        tokens: u32_argument(arguments, "tokens"),
        deadline_ms: u32_argument(arguments, "deadline-ms"),
        seed: u64::from(u32_argument(arguments, "seed")),
    })
}

fn seconds(arguments: &ArgMatches) -> Duration {
    Duration::from_secs(u64::from(u32_argument(arguments, "seconds")))
}

/// Quantile of sorted values; NaN if there are none.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// Converts to milliseconds and sorts, for [`quantile`].
fn sorted_ms(times: impl Iterator<Item = Duration>) -> Vec<f64> {
    let mut list: Vec<f64> = times.map(|time| time.as_secs_f64() * 1_000.0).collect();
    list.sort_by(f64::total_cmp);
    list
}
