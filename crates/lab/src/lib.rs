//! Experiments: load, faults, invariants, capacity, replay.
//!
//! An experiment holds the platform, the engines, the nodes and the sidecars in one process; they
//! speak real TCP and UDP on loopback. [`commands`] is the command line, with one module for each
//! subcommand.

pub mod capacity;
pub mod commands;
pub mod compare;
pub mod error;
pub mod faults;
pub mod fleet;
pub mod invariants;
pub mod load;
pub mod measures;
pub mod model;
pub mod network;
pub mod recorder;
pub mod replay;
pub mod report;
pub mod run;
pub mod scenario;
pub mod standins;
pub mod tradeoff;

pub mod overhead;
