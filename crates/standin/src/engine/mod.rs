//! Simulated inference engines: they model the step time and KV memory of real engines and answer
//! with deterministic text.
//!
//! - [`model`]: state machine of one engine in virtual time, without threads or sockets
//! - [`memory`], [`meter`], [`probe`], [`record`], [`reports`]: components of the state machine
//! - [`host`]: runs many engines in one process in real time and serves them over HTTP

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
