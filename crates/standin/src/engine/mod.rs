//! Hollow model engines: they cost time and memory as real ones do, and answer known text.
//!
//! - [`model`]: the state machine of one engine, in virtual time, without threads or sockets
//! - [`memory`], [`meter`], [`probe`], [`record`], [`reports`]: its parts
//! - [`host`]: many engines in one process, driven in real time and served over HTTP

pub mod host;
pub mod memory;
pub mod meter;
pub mod model;
pub mod probe;
pub mod record;
pub mod reports;
pub mod sequence;
pub mod settings;

mod driver;
mod http;
mod slot;

pub use host::{EngineHandle, EngineHost};
pub use meter::{Meter, Sample};
pub use model::{Effect, EngineModel, Output, Refusal, Started};
pub use probe::YieldProbe;
pub use record::RunRecord;
pub use settings::{EngineModelSettings, EngineSpec};
