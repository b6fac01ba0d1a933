//! `dappleyard-lab standins`: runs the platform and engines of a scenario as a separate process.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Arg, ArgMatches, Command, value_parser};

use dappleyard_standin::control;

use crate::error::{LabError, report};
use crate::fleet::{server_machines, start_engines, start_platform};
use crate::scenario::{Policy, Scenario};

pub fn command() -> Command {
    Command::new("standins")
        .about("Runs the platform and the engines of a scenario until SIGINT or SIGTERM")
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_name("PATH")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Scenario file"),
        )
        .arg(address(
            "platform",
            "127.0.0.1:7600",
            "Listening address of the platform",
        ))
        .arg(address(
            "engines",
            "127.0.0.1:7601",
            "Listening address of the engines",
        ))
        .arg(address(
            "control",
            "127.0.0.1:0",
            "Listening address of the control interface, by which a script sets faults",
        ))
}

fn address(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .default_value(default)
        .help(help)
}

/// Runs the stand-ins until SIGINT or SIGTERM.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    report(serve(arguments))
}

fn serve(arguments: &ArgMatches) -> Result<(), LabError> {
    let path = arguments
        .get_one::<PathBuf>("scenario")
        .ok_or_else(|| LabError::usage("--scenario is required"))?;
    let listen = |name: &str| {
        let address = arguments.get_one::<String>(name);
        address
            .cloned()
            .ok_or_else(|| LabError::usage(format!("--{name} is required")))
    };
    let mut scenario = Scenario::load(path)?;
    scenario.platform.listen = listen("platform")?;
    let policy = Policy::Preempt;
    let platform = start_platform(&scenario, policy, scenario.seed)?;
    let engines = start_engines(
        &scenario,
        policy,
        &platform,
        scenario.seed,
        &listen("engines")?,
    )?;
    platform.set_initial_machines(server_machines(&scenario, policy, &engines));
    let engines = Arc::new(engines);
    let control = control::start(&listen("control")?, engines.clone(), platform.clone()).map_err(
        |error| LabError::failed(format!("starting the control interface failed: {error}")),
    )?;
    println!(
        "platform on {}, engines on {}, control on {}",
        platform.address(),
        engines.address(),
        control.address()
    );
    actix_rt::System::new().block_on(stop_signal())?;
    control.stop();
    engines.stop();
    platform.stop();
    Ok(())
}

async fn stop_signal() -> Result<(), LabError> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).map_err(LabError::failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(LabError::failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
