//! HTTP server of a process, and what its callers may use of the machine.
//!
//! A [`ConnectionGate`] knows the connections of a process and bounds their number; each [`CallerConnection`] has an account in
//! the memory budget of the process, from which [`read_body`] pays for what it keeps.

mod answer_body;
mod body;
mod chunk_queue;
mod connection;
mod gate;
mod metrics;
mod server;
mod stream;

pub use body::{BodyError, BodyLimits, REFUSED_BODY_TIME, discard_body, has_body, read_body};
pub use chunk_queue::ChunkQueue;
pub use connection::{CallerConnection, connection_of};
pub use gate::{ConnectionCounters, ConnectionGate};
pub use server::{ServerOptions, listen, serve};
