//! Errors of the experiment tool and the exit codes that they map to.

use std::process::ExitCode;

use derive_more::{Display, Error};

/// Exit code of a run in which an invariant was violated, or that could not be carried out.
const EXIT_FAILED: u8 = 1;
/// Exit code of bad usage or settings.
const EXIT_USAGE: u8 = 2;

/// Why a subcommand did not succeed.
#[derive(Debug, Display, Error)]
pub enum LabError {
    /// An argument or a file is wrong; the text names the place.
    #[display("{reason}")]
    Usage {
        /// Place and cause.
        reason: String,
    },
    /// The experiment could not be carried out.
    #[display("{reason}")]
    Failed {
        /// What was seen.
        reason: String,
    },
    /// An invariant was violated or was not checked at all.
    #[display("{reason}")]
    Violated {
        /// Names of the invariants.
        reason: String,
    },
}

impl LabError {
    /// An error of usage or settings.
    pub fn usage(reason: impl ToString) -> LabError {
        LabError::Usage {
            reason: reason.to_string(),
        }
    }

    /// An experiment that could not be carried out.
    pub fn failed(reason: impl ToString) -> LabError {
        LabError::Failed {
            reason: reason.to_string(),
        }
    }

    fn exit_code(&self) -> u8 {
        match self {
            LabError::Usage { .. } => EXIT_USAGE,
            LabError::Failed { .. } | LabError::Violated { .. } => EXIT_FAILED,
        }
    }
}

/// Prints the error, if there is one, and gives the exit code.
pub fn report(result: Result<(), LabError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dappleyard-lab: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
