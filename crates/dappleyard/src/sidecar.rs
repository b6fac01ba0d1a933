//! `dappleyard sidecar`: runs a sidecar until SIGTERM or SIGINT.

use std::process::ExitCode;
use std::sync::Arc;

use clap::ArgMatches;
use dappleyard_transport::DirectPolicy;

use crate::failure::Failure;
use crate::signals::Signals;
use crate::{flags, logging};

pub fn run(arguments: &ArgMatches) -> Result<ExitCode, Failure> {
    let settings = flags::sidecar_settings(arguments)?;
    logging::start(arguments)?;
    actix_rt::System::new().block_on(async move {
        let mut signals = Signals::install()?;
        let sidecar = dappleyard_sidecar::start(settings, Arc::new(DirectPolicy))?;
        signals.stop_requested().await;
        let finished = sidecar.stop().await;
        tracing::info!(finished, "planned stop ended");
        Ok(if finished {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    })
}
