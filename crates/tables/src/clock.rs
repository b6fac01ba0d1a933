//! Monotonic and wall clock of a node. The monotonic clock follows tokio's virtual time in tests.

use std::time::{SystemTime, UNIX_EPOCH};

use dappleyard_clock::Instant;
use dappleyard_decide::time::Millis;

/// Monotonic clock that counts from its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Monotonic time. Starts at one hour, so that earlier times can be represented.
    pub fn now(&self) -> Millis {
        Millis(3_600_000 + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Wall-clock time in Unix milliseconds, for stored rows and display only.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
