//! Composition root of a node: starts the parts on their threads and ties them together.
//!
//! | thread | parts |
//! |---|---|
//! | control | membership, configuration, controllers, engine reports, announcements |
//! | batch | chunk runner, width control |
//! | request workers | accept links, run the online filters, answer calls |
//! | admin | metrics, health and the operators' HTTP interface |
//!
//! All of them work on the shared tables of `dappleyard-tables`. No decision is taken here.

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
