//! Errors of the experiment tool and their exit codes.

use std::process::ExitCode;

use derive_more::{Display, Error};

/// Exit code if an invariant was violated or the experiment failed.
const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Failure of a subcommand.
#[derive(Debug, Display, Error)]
pub enum LabError {
    /// An argument or a file is invalid.
    #[display("{reason}")]
    Usage {
        /// Location and cause.
        reason: String,
    },
    /// The experiment could not run.
    #[display("{reason}")]
    Failed {
        /// Cause.
        reason: String,
    },
    /// An invariant was violated or never checked.
    #[display("{reason}")]
    Violated {
        /// Failed invariants.
        reason: String,
    },
}

impl LabError {
    /// Creates a [`LabError::Usage`].
    pub fn usage(reason: impl ToString) -> LabError {
        LabError::Usage {
            reason: reason.to_string(),
        }
    }

    /// Creates a [`LabError::Failed`].
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

/// Prints the error, if any, and returns the exit code.
pub fn report(result: Result<(), LabError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dappleyard-lab: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
