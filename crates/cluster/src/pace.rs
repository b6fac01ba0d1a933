//! When a node tells the others that its work at servers has changed. Pure.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Shortest time between two heartbeats that tell of changed work. In a wave of arrivals a server
/// fills within some tens of milliseconds; loads told less often would send many requests to the
/// same free slot.
const SHORTEST_GAP: Duration = Duration::from_millis(8);

/// Paces the news of changed work: at once after a rest, and not more often than a set gap. A change
/// stays pending until it is told, whatever else happens in between.
#[derive(Debug, Clone, Copy)]
pub struct ChangePace {
    told_at: Instant,
    pending: bool,
}

impl ChangePace {
    /// Nothing has changed yet; `now` counts as the time of the last news.
    pub fn new(now: Instant) -> Self {
        Self {
            told_at: now,
            pending: false,
        }
    }

    /// The work has changed.
    pub fn note_change(&mut self) {
        self.pending = true;
    }

    /// The others were told.
    pub fn note_told(&mut self, now: Instant) {
        self.told_at = now;
        self.pending = false;
    }

    /// Whether a change waits to be told.
    pub fn is_pending(&self) -> bool {
        self.pending
    }

    /// The earliest moment for the next news.
    pub fn next(&self) -> Instant {
        self.told_at + SHORTEST_GAP
    }
}
