//! `dappleyard-lab run`: runs a scenario under a policy, with faults, and checks the invariants.

mod arguments;
mod collect;
mod decisions;
mod process;
mod progress;
mod seed_run;
mod table;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::error::{LabError, report};

pub use arguments::{RunArguments, command};
pub use seed_run::{RunOutcome, run_seed};

/// Runs the scenario once per seed.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    report(RunArguments::read(arguments).and_then(|arguments| run_all(&arguments)))
}

fn run_all(arguments: &RunArguments) -> Result<(), LabError> {
    let mut failures = Vec::new();
    for seed in arguments.seeds() {
        let directory = arguments.directory(seed);
        let outcome = actix_rt::System::new().block_on(run_seed(arguments, seed, &directory))?;
        table::print(&outcome.summary, &directory);
        let found = outcome.failures.into_iter();
        failures.extend(found.map(|failure| format!("seed {seed}: {failure}")));
    }
    if failures.is_empty() {
        return Ok(());
    }
    Err(LabError::Violated {
        reason: failures.join("; "),
    })
}
