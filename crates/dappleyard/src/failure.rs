//! Errors that end the program, and their exit codes.

use std::process::ExitCode;

use dappleyard_settings::SettingsError;
use derive_more::{Display, Error, From};

const EXIT_USAGE: u8 = 2;

#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// Invalid command line or arguments.
    #[display("{cause}")]
    #[from(skip)]
    Usage { cause: String },
    /// Invalid settings of a node or sidecar.
    #[display("{_0}")]
    Settings(SettingsError),
    /// Invalid settings of the platform.
    #[display("{_0}")]
    Platform(dappleyard_platform::SettingsErrors),
    #[display("the node cannot start: {_0}")]
    Node(dappleyard_node::NodeError),
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
