//! Monotonic timestamps, passed as arguments.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Milliseconds on the monotonic clock of a process.
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
    /// Saturating addition of milliseconds.
    #[must_use]
    pub const fn plus(self, milliseconds: u64) -> Millis {
        Millis(self.0.saturating_add(milliseconds))
    }

    /// Milliseconds since `earlier`; 0 if it is later than `self`.
    pub const fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
