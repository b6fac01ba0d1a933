//! Rate limit for load change messages. Pure: time is an argument.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Shortest interval between two load change messages. A burst of arrivals fills a server within
/// tens of milliseconds; with a longer interval many nodes would pick the same free slot.
const MIN_INTERVAL: Duration = Duration::from_millis(8);

/// Rate-limits messages about changed loads. The first change after an idle period is sent at once;
/// a change stays pending until it is sent.
#[derive(Debug, Clone, Copy)]
pub struct ChangeThrottle {
    sent_at: Instant,
    pending: bool,
}

impl ChangeThrottle {
    /// No change is pending; `now` counts as the time of the last message.
    pub fn new(now: Instant) -> Self {
        Self {
            sent_at: now,
            pending: false,
        }
    }

    /// Marks a change as pending.
    pub fn note_change(&mut self) {
        self.pending = true;
    }

    /// Records that the change was sent.
    pub fn note_sent(&mut self, now: Instant) {
        self.sent_at = now;
        self.pending = false;
    }

    /// Whether a change is pending.
    pub fn is_pending(&self) -> bool {
        self.pending
    }

    /// Earliest time for the next message.
    pub fn next(&self) -> Instant {
        self.sent_at + MIN_INTERVAL
    }
}
