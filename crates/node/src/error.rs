//! Why a node could not start.

use derive_more::{Display, Error};

/// Why a node could not start.
#[derive(Debug, Display, Error)]
pub enum NodeError {
    /// A setting is not usable.
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
        /// What the system said.
        cause: std::io::Error,
    },
    /// A thread ended while it was starting.
    #[display("the {name} thread ended while it was starting")]
    Thread {
        /// Name of the thread.
        name: &'static str,
    },
}
