//! `dappleyard-lab report`: generates an HTML page from the summaries of runs.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use dappleyard_report::page;

use crate::error::{LabError, report};

/// Default name of the page.
const FILE_NAME: &str = "report.html";

pub fn command() -> Command {
    Command::new("report")
        .about("Generates a self-contained HTML page from the runs in directories and below them")
        .arg(
            Arg::new("runs")
                .value_name("DIR")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Directories of runs; runs of one scenario, length and fault file are put side by side"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Page to write; report.html in the first directory by default"),
        )
        .after_help("Example:\n  dappleyard-lab report out/hooghly out/hooghly-online-only")
}

pub fn run(arguments: &ArgMatches) -> ExitCode {
    report(write(arguments))
}

fn write(arguments: &ArgMatches) -> Result<(), LabError> {
    let directories: Vec<PathBuf> = arguments
        .get_many("runs")
        .map(|runs| runs.cloned().collect())
        .unwrap_or_default();
    let html = page::render_directories(&directories).map_err(LabError::failed)?;
    let out = match arguments.get_one::<PathBuf>("out") {
        Some(out) => out.clone(),
        None => directories[0].join(FILE_NAME),
    };
    std::fs::write(&out, &html).map_err(LabError::failed)?;
    println!("wrote {} ({} kB)", out.display(), html.len() / 1_000);
    Ok(())
}
