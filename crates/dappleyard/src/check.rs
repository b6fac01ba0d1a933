//! `dappleyard check`: prints the effective settings of a file, or every error in it.

use std::path::Path;
use std::process::ExitCode;

use clap::ArgMatches;
use dappleyard_settings::{load_node, load_sidecar};

use crate::failure::Failure;

pub fn run(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let file = arguments
        .get_one::<String>("file")
        .map_or("", String::as_str);
    let path = Path::new(file);
    if arguments.get_one::<String>("kind").map(String::as_str) == Some("serve") {
        let settings = dappleyard_platform::read_settings(path)?;
        for (key, value) in dappleyard_platform::describe(&settings) {
            println!("{key} = {value}");
        }
        return Ok(ExitCode::SUCCESS);
    }
    let effective = match arguments.get_one::<String>("kind").map(String::as_str) {
        Some("sidecar") => toml::to_string_pretty(&load_sidecar(path)?),
        _ => toml::to_string_pretty(&load_node(path)?),
    };
    let effective = effective.map_err(|error| Failure::Usage {
        cause: error.to_string(),
    })?;
    print!("{effective}");
    Ok(ExitCode::SUCCESS)
}
