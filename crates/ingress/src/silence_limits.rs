//! Limits on how long a server may send nothing.

use std::time::Duration;

use dappleyard_cluster::Slowdown;

/// Silence limits of one wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    /// The server becomes suspect, but the wait continues.
    pub suspect_after: Duration,
    /// The attempt is abandoned; `None` for never.
    pub abandon_after: Option<Duration>,
}

impl SilenceLimits {
    /// Abandons the attempt and marks the server as suspect at the same time.
    pub fn abandoning_after(silence: Duration) -> Self {
        Self {
            suspect_after: silence,
            abandon_after: Some(silence),
        }
    }

    pub fn suspecting_after(self, silence: Duration) -> Self {
        Self {
            suspect_after: silence,
            ..self
        }
    }

    /// Keeps the attempt unless the request may run again.
    pub fn abandoning_if(self, may_run_again: bool) -> Self {
        Self {
            abandon_after: self.abandon_after.filter(|_| may_run_again),
            ..self
        }
    }

    /// Time until a server with this slowdown becomes suspect: longer for a slow server, up to `most`.
    /// The time until the attempt is abandoned is unaffected, so repeatable requests leave slow
    /// servers as early as others.
    pub fn suspect_time(self, slowdown: Slowdown, most: Duration) -> Duration {
        let stretched = self.suspect_after.mul_f64(slowdown.times().max(1.0));
        stretched.min(most).max(self.suspect_after)
    }

    /// Time until the first check.
    pub(crate) fn first_check(self) -> Duration {
        self.abandon_after
            .map_or(self.suspect_after, |abandon_after| {
                abandon_after.min(self.suspect_after)
            })
    }
}
