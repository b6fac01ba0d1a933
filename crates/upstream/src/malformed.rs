//! What is wrong with the bytes of a peer.

use derive_more::Display;

/// Why bytes are no response, or no longer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Malformed {
    /// They break the protocol.
    #[display("{_0}")]
    Invalid(&'static str),
    /// They are more than any response needs for this part.
    #[display("{_0} too long")]
    TooLong(&'static str),
}

impl Malformed {
    pub(crate) fn exceeds_limit(self) -> bool {
        matches!(self, Malformed::TooLong(_))
    }
}
