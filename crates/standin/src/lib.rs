//! Simulated inference engines and platform services, for tests and experiments.
//!
//! [`engine::EngineHost`] runs many simulated engines in one process; [`platform::PlatformStandIn`]
//! runs the table service, object store, weight store and machine list. Both serve the same HTTP
//! interface as the real services and return a handle for fault injection and for reading their
//! state and records directly. [`text`] generates the text that an engine answers with.

pub mod control;
pub mod engine;
pub mod platform;
pub mod text;

mod server;
