//! The process beside each caller: request_body, prepare, choose, forward, reassemble, answer.
//!
//! Callers speak the OpenAI HTTP interface to it on loopback; it speaks frames to nodes over links.
//! A generation passes these filters in order:
//!
//! - [`request_body`] reads the body within bounds and parses it into a typed request ([`api`]);
//! - [`prepare`] gives it an id, a class, a tenant, a deadline and its canonical [`prompt`];
//! - [`choose`] picks a node among the open links;
//! - [`forward`] sends it, retries and resumes it as long as that is safe, and reassembles the
//!   pieces by offset;
//! - [`answer`] writes the whole answer, or server-sent events, or the error ([`error`]).
//!
//! Files, batches and models are unary [`calls`] to a node. The sidecar never opens the store and
//! keeps nothing that must last.

pub mod api;
pub mod batches;
pub mod calls;
pub mod error;
pub mod files;
pub mod forward;
pub mod generations;
pub mod headers;
pub mod health;
pub mod links;
pub mod metrics;
pub mod models;
pub(crate) mod node_entry;
pub mod node_selection;
pub mod prepare;
pub mod prompt;
pub mod request_body;
pub mod response;
pub mod server;
pub mod worker;

pub use server::{SidecarError, SidecarHandle, start};
