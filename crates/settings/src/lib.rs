//! Typed settings of all programs, read from TOML files.
//!
//! Every key has a default. [`load`] rejects unknown keys and invalid values, and reports all
//! errors at once.

pub mod batch;
pub mod fleet;
pub mod load;
pub mod node;
pub mod online;
pub mod operate;
pub mod platform;
pub mod rules;
pub mod sidecar;

pub use batch::{BatchPolicy, BatchSettings};
pub use fleet::FleetSettings;
pub use load::{
    SettingsError, load_node, load_sidecar, parse_node, parse_sidecar, validate_node,
    validate_sidecar,
};
pub use node::{LinkBounds, Location, NodeSettings};
pub use online::OnlineSettings;
pub use operate::OperateSettings;
pub use platform::PlatformSettings;
pub use sidecar::SidecarSettings;
