//! Errors on starting a node.

use derive_more::{Display, Error};

#[derive(Debug, Display, Error)]
pub enum NodeError {
    #[display("setting {key}: {cause}")]
    Setting {
        /// Dotted key.
        key: &'static str,
        cause: String,
    },
    #[display("{key} {address} cannot be bound: {cause}")]
    Bind {
        /// Dotted key of the address.
        key: &'static str,
        address: String,
        cause: std::io::Error,
    },
    #[display("the {name} thread ended while it was starting")]
    Thread { name: &'static str },
}
