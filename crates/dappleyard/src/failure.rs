//! Errors that end the program, and their exit codes.

use std::process::ExitCode;

use dappleyard_settings::SettingsError;
use derive_more::{Display, Error, From};

/// Exit code for bad usage or bad settings.
const EXIT_USAGE: u8 = 2;

/// An error that ends the program.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// Invalid command line or arguments.
    #[display("{cause}")]
    #[from(skip)]
    Usage {
        /// What is wrong.
        cause: String,
    },
    /// Invalid settings of a node or sidecar.
    #[display("{_0}")]
    Settings(SettingsError),
    /// Invalid settings of the platform.
    #[display("{_0}")]
    Platform(dappleyard_platform::SettingsErrors),
    /// The node failed to start.
    #[display("the node cannot start: {_0}")]
    Node(dappleyard_node::NodeError),
    /// The sidecar failed to start.
    #[display("the sidecar cannot start: {_0}")]
    Sidecar(dappleyard_sidecar::SidecarError),
    /// An I/O error from the operating system.
    #[display("{_0}")]
    System(std::io::Error),
}

impl Failure {
    /// 2 for bad usage or settings, 1 for any other error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Failure::Usage { .. } | Failure::Settings(_) | Failure::Platform(_) => {
                ExitCode::from(EXIT_USAGE)
            }
            Failure::Node(dappleyard_node::NodeError::Setting { .. }) => ExitCode::from(EXIT_USAGE),
            _ => ExitCode::FAILURE,
        }
    }
}
