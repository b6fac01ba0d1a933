//! Limits on how long a server may send nothing.

use std::time::Duration;

use dappleyard_cluster::Pace;

/// Silence limits of one wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// The server becomes suspect, but the wait continues.
    pub notice: Duration,
    /// The attempt is abandoned; `None` for never.
    pub leave: Option<Duration>,
}

impl Patience {
    /// Abandons the attempt and marks the server as suspect at the same time.
    pub fn leave_after(silence: Duration) -> Self {
        Self {
            notice: silence,
            leave: Some(silence),
        }
    }

    pub fn notice_after(self, silence: Duration) -> Self {
        Self {
            notice: silence,
            ..self
        }
    }

    /// Keeps the attempt unless the request may run again.
    pub fn leaving_if(self, may_run_again: bool) -> Self {
        Self {
            leave: self.leave.filter(|_| may_run_again),
            ..self
        }
    }

    /// Time until a server of this pace becomes suspect: longer for a slow server, up to `most`.
    /// The time until the attempt is abandoned is unaffected, so repeatable requests leave slow
    /// servers as early as others.
    pub fn notice_at(self, pace: Pace, most: Duration) -> Duration {
        let stretched = self.notice.mul_f64(pace.times().max(1.0));
        stretched.min(most).max(self.notice)
    }

    /// Time until the first check.
    pub(crate) fn first_look(self) -> Duration {
        self.leave
            .map_or(self.notice, |leave| leave.min(self.notice))
    }
}
