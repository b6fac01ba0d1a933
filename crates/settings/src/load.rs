//! Reading and checking of settings files: every error at once, each with its place.

use std::path::Path;

use derive_more::{Display, Error};

use crate::node::NodeSettings;
use crate::sidecar::SidecarSettings;

/// What is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}", problems.join("\n"))]
pub struct SettingsError {
    /// One line for each problem, with file, line or key, and cause.
    pub problems: Vec<String>,
}

/// Reads the settings of a node.
pub fn load_node(path: &Path) -> Result<NodeSettings, SettingsError> {
    read(path)
}

/// Reads the settings of a sidecar.
pub fn load_sidecar(path: &Path) -> Result<SidecarSettings, SettingsError> {
    read(path)
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let failed = |cause: String| SettingsError {
        problems: vec![format!("{}: {cause}", path.display())],
    };
    let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    toml::from_str(&text).map_err(|error| failed(error.to_string()))
}
