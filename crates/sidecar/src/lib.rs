//! The process beside each caller: accept, stamp, choose, forward, reassemble, answer.
//!
//! Callers speak the OpenAI HTTP interface to it on loopback; it speaks frames to nodes over links.
//! A generation passes these filters in order:
//!
//! - [`accept`] reads the body within bounds and parses it into a typed request ([`api`]);
//! - [`stamp`] gives it an id, a class, a tenant, a deadline and its canonical [`prompt`];
//! - [`choose`] picks a node among the open links;
//! - [`forward`] sends it, retries and resumes it as long as that is safe, and reassembles the
//!   pieces by offset;
//! - [`answer`] writes the whole answer, or server-sent events, or the error ([`error`]).
//!
//! Files, batches and models are unary [`calls`] to a node. The sidecar never opens the store and
//! keeps nothing that must last.

pub mod accept;
pub mod answer;
pub mod api;
pub mod batches;
pub mod calls;
pub mod choose;
pub mod error;
pub mod files;
pub mod forward;
pub mod generations;
pub mod headers;
pub mod health;
pub(crate) mod known;
pub mod links;
pub mod metrics;
pub mod models;
pub mod prompt;
pub mod server;
pub mod stamp;
pub mod worker;

pub use server::{SidecarError, SidecarHandle, start};
