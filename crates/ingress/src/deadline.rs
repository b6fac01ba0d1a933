//! Deadlines of requests, which a stop of the process may bring forward.

use std::time::Duration;

use dappleyard_clock::Instant;

use crate::shutdown::ProcessEnd;

/// Interval for checking whether a stop has brought the deadline forward.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// When a request must have ended.
#[derive(Debug, Clone)]
pub struct Deadline {
    /// The request's own deadline.
    at: Instant,
    process_end: ProcessEnd,
}

impl Deadline {
    pub fn new(at: Instant, process_end: ProcessEnd) -> Self {
        Self { at, process_end }
    }

    /// Time left.
    pub fn remaining(&self) -> Duration {
        let at = self.process_end.limit(self.at);
        at.saturating_duration_since(Instant::now())
    }

    /// Time until the request's own deadline, whether the process stops or not.
    pub fn until_own(&self) -> Duration {
        self.at.saturating_duration_since(Instant::now())
    }

    /// Whether it has passed earlier than asked for, because the process stops.
    pub fn was_ended_by_stop(&self) -> bool {
        self.remaining().is_zero() && Instant::now() < self.at
    }

    /// Waits for a step of the request; `None` if the deadline passes first.
    pub async fn wait<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(step);
        loop {
            let remaining = self.remaining();
            match dappleyard_clock::timeout(remaining.min(CHECK_INTERVAL), &mut step).await {
                Ok(done) => return Some(done),
                Err(_) if remaining <= CHECK_INTERVAL => return None,
                Err(_) => {}
            }
        }
    }
}
