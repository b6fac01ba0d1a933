//! Composition root of a node: starts the parts on their threads and connects them.
//!
//! | thread | parts |
//! |---|---|
//! | control | membership, configuration, controllers, engine reports, announcements |
//! | batch | chunk runner, concurrency control |
//! | request workers | accept links, run the online filters, answer calls |
//! | admin | metrics, health and the operators' HTTP interface |
//!
//! They share state through the tables of `dappleyard-tables`. This crate makes no decisions itself.

mod admin;
mod announce;
mod calls;
mod control;
mod engine;
mod error;
mod handle;
mod request;
mod start;
mod threads;

pub use error::NodeError;
pub use handle::NodeHandle;
pub use start::start;
