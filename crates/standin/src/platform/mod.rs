//! Stand-in of the platform's services: tables, objects, weights, machine list.
//!
//! - [`tables`], [`objects`], [`machines`], [`weights`]: their states, without sockets
//! - [`faults`]: what can be made to go wrong
//! - [`host`]: one HTTP server for all of them, and the handle for experiments

pub mod faults;
pub mod host;
pub mod machines;
pub mod objects;
pub mod settings;
pub mod tables;
pub mod weights;

mod http;
mod limiter;

pub use faults::{Fault, Service};
pub use host::{PlatformHandle, PlatformStandIn};
pub use settings::PlatformStandInSettings;
pub use tables::{CallCounts, HistoryRow, RevisionRecord};
