//! Command-line client of the admin API: `dappleyard ctl`.
//!
//! [`command`] defines the command line; [`run`] executes it and returns the exit code: 0 for
//! success, 1 for failure, 2 for invalid usage. The output is a table, or JSON with `--output
//! json`.

mod client;
mod command;
mod intents;
mod run;
pub mod tables;
pub mod time;
mod watch;

pub use client::{Client, CtlError};
pub use command::command;
pub use intents::intent;
pub use run::run;
