//! Emulated platform for tests and experiments.
//!
//! [`EmulatedRows`] keeps the contract of the row store's port and fails on demand or at random,
//! from a seed. [`EmulatedServer`] is a model server on loopback that answers as a script says.

mod rows;
mod server;

pub use rows::{EmulatedRows, RowFault};
pub use server::{EmulatedServer, Reply, Seen, event_text, numbered_events};
