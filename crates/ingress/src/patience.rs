//! How long a server may be silent.

use std::time::Duration;

/// Silence of a server that is borne by what waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Silence after which the server is doubted, while what waits goes on waiting.
    pub notice: Duration,
    /// Silence after which the attempt is given up; `None` never.
    pub leave: Option<Duration>,
}

impl Patience {
    /// Gives the attempt up after some silence, and doubts the server at the same time.
    pub fn leave_after(silence: Duration) -> Self {
        Self {
            notice: silence,
            leave: Some(silence),
        }
    }

    /// Doubts the server after some silence already.
    pub fn notice_after(self, silence: Duration) -> Self {
        Self {
            notice: silence,
            ..self
        }
    }

    /// Never gives the attempt up where it may not run again.
    pub fn leaving_if(self, may_run_again: bool) -> Self {
        Self {
            leave: self.leave.filter(|_| may_run_again),
            ..self
        }
    }

    /// Silence after which the server is looked at first.
    pub(crate) fn first_look(self) -> Duration {
        self.leave
            .map_or(self.notice, |leave| leave.min(self.notice))
    }
}
