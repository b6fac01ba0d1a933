//! Why the program ended, and its exit code.

use std::process::ExitCode;

use dappleyard_settings::SettingsError;
use derive_more::{Display, Error, From};

/// Exit code of bad usage or bad settings.
const EXIT_USAGE: u8 = 2;

/// Why the program ended.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// Bad usage.
    #[display("{cause}")]
    #[from(skip)]
    Usage {
        /// What is wrong.
        cause: String,
    },
    /// Bad settings.
    #[display("{_0}")]
    Settings(SettingsError),
    /// Bad settings of the platform.
    #[display("{_0}")]
    Platform(dappleyard_platform::SettingsErrors),
    /// The node could not start.
    #[display("the node cannot start: {_0}")]
    Node(dappleyard_node::NodeError),
    /// The sidecar could not start.
    #[display("the sidecar cannot start: {_0}")]
    Sidecar(dappleyard_sidecar::SidecarError),
    /// The operating system refused something.
    #[display("{_0}")]
    System(std::io::Error),
}

impl Failure {
    /// 2 for bad usage or settings, 1 for all else.
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
