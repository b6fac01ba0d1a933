//! Errors on starting a node.

use derive_more::{Display, Error};

/// An error that prevents a node from starting.
#[derive(Debug, Display, Error)]
pub enum NodeError {
    /// A setting is invalid.
    #[display("setting {key}: {cause}")]
    Setting {
        /// Dotted key.
        key: &'static str,
        /// What is wrong.
        cause: String,
    },
    /// An address could not be bound.
    #[display("{key} {address} cannot be bound: {cause}")]
    Bind {
        /// Dotted key of the address.
        key: &'static str,
        /// The address.
        address: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// A thread ended while it was starting.
    #[display("the {name} thread ended while it was starting")]
    Thread {
        /// Name of the thread.
        name: &'static str,
    },
}
