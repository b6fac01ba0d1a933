//! Stand-ins of what the platform gives: model engines, tables, objects, weights, machine list.
//!
//! They take the platform's place in experiments and tests. [`engine::EngineHost`] runs many hollow
//! engines in one process, [`platform::PlatformStandIn`] the platform's services; both speak the
//! same HTTP as the real ones and give a handle with faults, and with direct access to what
//! happened for the invariants' checker. [`text`] is the one place that says what an engine answers.

pub mod control;
pub mod engine;
pub mod platform;
pub mod text;

mod server;
