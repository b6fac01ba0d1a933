//! Simulated platform services: table service, object store, weight store, machine list.
//!
//! - [`tables`], [`objects`], [`machines`], [`weights`]: in-memory state of each service
//! - [`faults`]: fault injection
//! - [`host`]: the HTTP server of all services, and the handle for tests and experiments

pub mod faults;
pub mod host;
pub mod machines;
pub mod objects;
pub mod settings;
pub mod tables;
pub mod weights;

mod http;
mod token_bucket;

pub use faults::{Fault, Service};
pub use host::{PlatformHandle, PlatformStandIn};
pub use settings::PlatformStandInSettings;
pub use tables::{CallCounts, ConfigurationChange, HistoryRow};
