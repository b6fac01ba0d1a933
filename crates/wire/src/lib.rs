//! Messages, identifiers and error kinds that the processes of the system exchange.
//!
//! [`messages`] is generated from `proto/*.proto` by the `dappleyard-wire-gen` crate and committed,
//! so that a build needs no generator. [`error`] holds the one closed list of error kinds with the
//! table from kind to answer; [`ids`] the identifiers; [`hash`] the one hash used for placement.

pub mod error;
pub mod hash;
pub mod ids;
pub mod keys;
pub mod prompt;

/// Generated message types. See the `.proto` files for the meaning of each field.
#[allow(clippy::all, clippy::pedantic)]
pub mod messages {
    include!("generated/dappleyard.v1.rs");
}

pub use error::{Answer, ErrorKind, Failure};
pub use messages::{Class, Ran, Repeat};

/// Version of the protocol between processes; a link with another version is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Largest frame accepted on a link, bytes. A setting may lower it.
pub const MAXIMUM_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Largest datagram sent between nodes, bytes; fits an Ethernet frame.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1400;
