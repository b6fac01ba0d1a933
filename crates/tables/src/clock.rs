//! The node's clocks, the only place where the tables read time.
//! The monotonic one is tokio's, so that tests run in virtual time.

use std::time::{SystemTime, UNIX_EPOCH};

use dappleyard_clock::Instant;
use dappleyard_decide::time::Millis;

/// A monotonic clock that started with the process part it belongs to.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Monotonic time. Starts at one hour, so that "an hour ago" can be written.
    pub fn now(&self) -> Millis {
        Millis(3_600_000 + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Wall-clock time, milliseconds since 1970; for rows and for people only.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
