//! `dappleyard-lab tradeoff`: draws batch throughput against online degradation as an SVG file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use dappleyard_report::compare::MEASURES;
use dappleyard_report::tradeoff::{TradeoffSetting, draw_curve};

use crate::error::{LabError, report};

pub fn command() -> Command {
    Command::new("tradeoff")
        .about("Draws batch throughput against online harm from runs under different settings")
        .arg(
            Arg::new("baseline")
                .long("baseline")
                .value_name("DIR")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Runs of the same seeds without batch work"),
        )
        .arg(
            Arg::new("harm")
                .long("harm")
                .value_name("MEASURE")
                .default_value("TTFT p99, ms")
                .value_parser(MEASURES.iter().map(|measure| measure.name).collect::<Vec<_>>())
                .help("Measure of the harm to online work"),
        )
        .arg(
            Arg::new("title")
                .long("title")
                .value_name("TEXT")
                .default_value("Batch throughput against online harm"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("SVG file to write"),
        )
        .arg(
            Arg::new("settings")
                .value_name("LABEL=DIR")
                .num_args(1..)
                .required(true)
                .value_parser(parse_setting)
                .help("A setting and the directory of its runs, in the order of the curve"),
        )
        .after_help(
            "Example:\n  dappleyard-lab tradeoff --baseline out/online-only --out curve.svg 5%=out/s5 \
             20%=out/s20",
        )
}

pub fn run(arguments: &ArgMatches) -> ExitCode {
    report(draw(arguments))
}

fn parse_setting(text: &str) -> Result<(String, PathBuf), String> {
    text.split_once('=')
        .map(|(label, directory)| (label.to_owned(), PathBuf::from(directory)))
        .ok_or_else(|| "write LABEL=DIR, for example 5%=out/s5".to_owned())
}

fn draw(arguments: &ArgMatches) -> Result<(), LabError> {
    let settings: Vec<TradeoffSetting> = arguments
        .get_many::<(String, PathBuf)>("settings")
        .into_iter()
        .flatten()
        .map(|(label, directory)| TradeoffSetting {
            label: label.clone(),
            directory: directory.clone(),
        })
        .collect();
    let path = |name: &str| {
        arguments
            .get_one::<PathBuf>(name)
            .cloned()
            .unwrap_or_default()
    };
    let title = arguments
        .get_one::<String>("title")
        .map_or("", String::as_str);
    let harm = arguments.get_one::<String>("harm");
    let harm = harm
        .and_then(|name| MEASURES.iter().find(|measure| measure.name == name))
        .ok_or_else(|| LabError::usage("unknown measure"))?;
    let svg = draw_curve(title, harm, &path("baseline"), &settings).map_err(LabError::failed)?;
    std::fs::write(path("out"), svg).map_err(LabError::failed)
}
