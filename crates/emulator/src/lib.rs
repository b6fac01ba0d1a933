//! Emulated platform for tests and experiments.
//!
//! [`EmulatedRows`] is an in-memory row store with scripted or seeded random faults. [`EmulatedServer`]
//! is a model server on loopback with scripted answers.

mod rows;
mod server;

pub use rows::{EmulatedRows, RowFault};
pub use server::{
    EmulatedServer, Reply, ServerEvent, event_text, numbered_events, versioned_events,
};
