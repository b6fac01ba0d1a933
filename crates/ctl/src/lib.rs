//! Client of the operators' interface: `dappleyard ctl`.
//!
//! [`command`] describes the command line; [`run`] carries out what was asked and gives the exit code:
//! 0 done, 1 refused or failed, 2 wrong usage. Tables are for people, `--output json` for programs.

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
