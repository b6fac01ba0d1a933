//! Experiments: load, faults, invariants, capacity and replay.
//!
//! An experiment runs the platform, engines, nodes and sidecars in one process; they communicate
//! over TCP and UDP on loopback. [`commands`] is the command line, with one module per subcommand.

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
