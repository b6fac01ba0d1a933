//! `dappleyard-lab replay`: feeds a recorded trace to the decision logic in virtual time and
//! compares each decision with the one in the trace.
//!
//! A trace holds inputs, deliveries and losses in order, with the decisions on each ([`trace`]).
//! [`state::ReplayState`] holds the state that the decisions depend on. Recorded traces hold the
//! transactions of the table service; [`rows`] finds the decision that explains each changed row.

mod calls;
mod configuration;
mod record;
mod rows;
mod state;
pub mod trace;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::{LabError, report};
use state::ReplayState;
use trace::{Outcome, Trace};

pub use record::{PREFIXES as RECORDED_PREFIXES, write as write_recording};

/// Result of a replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replayed {
    pub steps: usize,
    /// Count of each decision.
    pub outcome: Outcome,
    /// Descriptions of the decisions that differ from the trace.
    pub differences: Vec<String>,
}

pub fn command() -> Command {
    Command::new("replay")
        .about(
            "Feeds recorded traces to the decision logic and compares with their stated outcomes",
        )
        .arg(
            Arg::new("traces")
                .value_name("TRACE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Trace files, JSON lines"),
        )
        .after_help("Example:\n  dappleyard-lab replay traces/*.jsonl")
}

/// Exits with 0 if every outcome matches its trace, 1 if not.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let traces = arguments.get_many::<PathBuf>("traces");
    report(replay_all(traces.into_iter().flatten()))
}

fn replay_all<'a>(paths: impl Iterator<Item = &'a PathBuf>) -> Result<(), LabError> {
    let mut failed = Vec::new();
    for path in paths {
        let replayed = replay_file(path)?;
        println!("{}: {} steps", path.display(), replayed.steps);
        for (decision, count) in &replayed.outcome {
            println!("  {count:>6} {decision}");
        }
        for difference in &replayed.differences {
            println!("  DIFFERS: {difference}");
        }
        if !replayed.differences.is_empty() {
            failed.push(path.display().to_string());
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(LabError::failed(format!(
        "outcome differs from the trace: {}",
        failed.join(", ")
    )))
}

pub fn replay_file(path: &Path) -> Result<Replayed, LabError> {
    let trace = Trace::read(path).map_err(LabError::usage)?;
    Ok(replay(&trace))
}

pub fn replay(trace: &Trace) -> Replayed {
    let mut replay_state = ReplayState::default();
    let mut outcome = Outcome::new();
    let mut differences = Vec::new();
    for (number, step) in (1..).zip(&trace.steps) {
        let decided = replay_state.step(&step.input);
        for decision in &decided {
            *outcome.entry(decision.clone()).or_default() += 1;
        }
        if decided != step.decided {
            differences.push(format!(
                "step {number} at {} ms: decided {decided:?}, stated {:?}",
                step.at_ms, step.decided
            ));
        }
    }
    if outcome != trace.header.outcome {
        differences.push(format!(
            "outcome {outcome:?}, stated {:?}",
            trace.header.outcome
        ));
    }
    Replayed {
        steps: trace.steps.len(),
        outcome,
        differences,
    }
}
