//! Messages, identifiers and error kinds exchanged between processes.
//!
//! [`messages`] is generated from `proto/*.proto` by the `dappleyard-wire-gen` crate and committed, so
//! that a build needs no code generator. [`error`] defines error kinds and their API answers, [`ids`]
//! the identifiers, [`keys`] row keys and object names, [`hash`] the placement hash, and [`prompt`] the
//! canonical prompt text.

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

/// Version of the link protocol; a peer with another version is rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum frame size on a link, bytes. A setting may lower it.
pub const MAXIMUM_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Intended maximum size of a datagram between nodes, bytes; fits an Ethernet frame.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1400;
