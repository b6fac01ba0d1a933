//! Local proxy that runs next to each client and forwards its requests to nodes.
//!
//! Clients use the OpenAI HTTP API on loopback; nodes are reached over links that carry frames. A
//! generation passes these stages:
//!
//! - `admission` counts it, or refuses it once the process closes;
//! - [`headers`] and [`request_body`] parse the request into a typed one ([`api`]);
//! - [`prepare`] validates it and builds its canonical [`prompt`];
//! - [`node_selection`] selects a node among the open [`links`];
//! - [`forward`] sends it, retries or resumes it when that is safe, and reassembles the pieces by
//!   offset;
//! - [`response`] writes the complete response, server-sent events, or the [`error`].
//!
//! Files, batches and models use unary [`calls`] to a node. The sidecar does not access the store
//! and has no durable state.

mod admission;
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
