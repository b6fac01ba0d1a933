//! The order in which waiting items are started. Pure functions.

use std::time::Duration;

/// Weight of a new sample in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Initial estimate of the events per item.
const INITIAL_EVENTS: f64 = 200.0;
/// Initial estimate of the time per event.
const INITIAL_EVENT_MS: f64 = 30.0;
/// Lower bound of an item's remaining events, as a fraction of the average.
const MIN_REMAINING_FRACTION: f64 = 0.1;

/// Estimates an item's remaining run time from earlier runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunEstimate {
    events: f64,
    event_ms: f64,
}

impl Default for RunEstimate {
    fn default() -> Self {
        Self {
            events: INITIAL_EVENTS,
            event_ms: INITIAL_EVENT_MS,
        }
    }
}

impl RunEstimate {
    /// Records the number of events of a completed item.
    pub fn record_events(&mut self, events: u64) {
        self.events += SMOOTHING_FACTOR * (events as f64 - self.events);
    }

    /// Records the duration of a run and the events that it produced.
    pub fn record_run(&mut self, events: u64, run_ms: u64) {
        if events > 0 {
            let event_ms = run_ms as f64 / events as f64;
            self.event_ms += SMOOTHING_FACTOR * (event_ms - self.event_ms);
        }
    }

    /// Estimated time to produce so many events.
    pub fn output_duration(&self, events: u64) -> Duration {
        Duration::from_secs_f64(events as f64 * self.event_ms / 1_000.0)
    }

    /// Estimated time in milliseconds to complete an item that has produced so many events.
    pub fn remaining_ms(&self, events: u64) -> u64 {
        let left = (self.events - events as f64).max(self.events * MIN_REMAINING_FRACTION);
        (left * self.event_ms) as u64
    }
}

/// Sort key of an item; the smallest starts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the item will miss its deadline.
    pub late: bool,
    /// Priority of its tenant, or else of its route; 0 is the highest.
    pub priority: u32,
    /// Deadline on the store's clock.
    pub due_ms: u64,
}

/// Ranks an item. Items that can meet their deadline come before those that cannot, whatever their priority, since
/// a late item loses nothing more by waiting; then by priority and by deadline.
pub fn rank(due_ms: u64, needed_ms: u64, now_ms: u64, priority: u32) -> Rank {
    Rank {
        late: now_ms + needed_ms > due_ms,
        priority,
        due_ms,
    }
}
