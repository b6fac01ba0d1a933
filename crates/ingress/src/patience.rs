//! How long a server may be silent.

use std::time::Duration;

use dappleyard_cluster::Pace;

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

    /// Silence after which a server is doubted at which work takes long: so much longer, up to some silence. The
    /// attempt is given up no later for it, so that what may run again leaves such a server.
    pub fn notice_at(self, pace: Pace, most: Duration) -> Duration {
        let stretched = self.notice.mul_f64(pace.times().max(1.0));
        stretched.min(most).max(self.notice)
    }

    /// Silence after which the server is looked at first.
    pub(crate) fn first_look(self) -> Duration {
        self.leave
            .map_or(self.notice, |leave| leave.min(self.notice))
    }
}
