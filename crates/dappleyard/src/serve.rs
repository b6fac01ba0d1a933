//! `dappleyard serve`: runs one node on the users' platform until it is asked to stop.

mod assembly;
mod registration;
mod stopping;

use std::process::ExitCode;

use clap::ArgMatches;
use dappleyard_platform::{read_settings, settings_path};

use crate::failure::Failure;
use crate::signals::Signals;

pub fn run(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let path = arguments
        .get_one::<String>("settings")
        .map_or_else(settings_path, Into::into);
    let mut settings = read_settings(&path)?;
    settings.listen.metrics = arguments
        .get_one::<u16>("metrics-port")
        .map(|port| (settings.ip, *port).into());
    let log = !arguments.get_flag("quiet");
    actix_rt::System::new().block_on(async move {
        let signals = Signals::install()?;
        let running = assembly::start(settings, log).await?;
        stopping::run_until_stopped(running, signals, &path).await;
        Ok(ExitCode::SUCCESS)
    })
}
