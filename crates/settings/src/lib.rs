//! Typed settings of every program, read from TOML.
//!
//! Each part of the system has its section, with a default for each key. [`load`] refuses unknown
//! keys and bad values and names every place at once.

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
    SettingsError, load_node, load_sidecar, parse_node, parse_sidecar, recheck_node,
    recheck_sidecar,
};
pub use node::{LinkBounds, NodeSettings, Place};
pub use online::OnlineSettings;
pub use operate::OperateSettings;
pub use platform::PlatformSettings;
pub use sidecar::SidecarSettings;
