//! Time as an argument.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Milliseconds on a monotonic clock of one process.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// This time plus some milliseconds.
    #[must_use]
    pub const fn plus(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_add(milliseconds))
    }

    /// Milliseconds since an earlier time; 0 when it is later.
    pub const fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
