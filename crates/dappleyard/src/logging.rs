//! Log setup: text or JSON lines on standard error.

use clap::{Arg, ArgMatches};
use tracing_subscriber::EnvFilter;

use crate::failure::Failure;

pub fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("log")
            .long("log")
            .value_parser(["text", "json"])
            .default_value("text")
            .help("Format of log lines"),
        Arg::new("log-filter")
            .long("log-filter")
            .value_name("FILTER")
            .default_value("info")
            .help("Log filter directives, such as info or dappleyard_batch=debug,warn"),
    ]
}

/// Installs the global log subscriber.
pub fn start(arguments: &ArgMatches) -> Result<(), Failure> {
    let filter = arguments
        .get_one::<String>("log-filter")
        .map_or("info", String::as_str);
    let filter = EnvFilter::try_new(filter).map_err(|error| Failure::Usage {
        cause: format!("--log-filter: {error}"),
    })?;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match arguments.get_one::<String>("log").map(String::as_str) {
        Some("json") => subscriber.json().init(),
        _ => subscriber.init(),
    }
    Ok(())
}
