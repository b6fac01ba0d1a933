//! HTTP server of a process, and what its callers may use of the machine.
//!
//! A [`ConnectionGate`] knows the connections of a process and bounds their number; each [`CallerConnection`] has an account in
//! the memory budget of the process, from which [`read_body`] pays for what it keeps.

mod body;
mod chunk_queue;
mod connection;
mod metrics;
mod server;

pub use body::{BodyError, BodyLimits, REFUSED_BODY_TIME, discard_body, has_body, read_body};
pub use chunk_queue::ChunkQueue;
pub use connection::{CallerConnection, ConnectionCounters, ConnectionGate, connection_of};
pub use server::{ServerOptions, listen, serve};
