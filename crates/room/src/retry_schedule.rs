//! Schedule of expected retries. Time is an argument.

use std::collections::VecDeque;
use std::time::Duration;

use dappleyard_clock::Instant;

/// Length of one interval of the schedule.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of intervals. Clients retry within some seconds or not at all.
pub const RETRY_INTERVALS: usize = 32;

/// Refused requests of one node by the interval in which their retry is due.
#[derive(Debug, Clone)]
pub struct RetrySchedule {
    /// Start of the first interval.
    start: Instant,
    spans: VecDeque<u32>,
}

impl RetrySchedule {
    /// Creates an empty schedule.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            spans: VecDeque::new(),
        }
    }

    /// Records a retry due after some time; one beyond the schedule counts in its last interval.
    pub fn note(&mut self, after: Duration, now: Instant) {
        self.advance(now);
        let due = now.saturating_duration_since(self.start) + after;
        let span = (due.as_millis() / RETRY_INTERVAL.as_millis()) as usize;
        let span = span.min(RETRY_INTERVALS - 1);
        if self.spans.len() <= span {
            self.spans.resize(span + 1, 0);
        }
        self.spans[span] = self.spans[span].saturating_add(1);
    }

    /// Expected retries by interval from now on.
    pub fn due(&mut self, now: Instant) -> Vec<u32> {
        self.advance(now);
        self.spans.iter().copied().collect()
    }

    /// Drops past intervals.
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.start);
        let over = (age.as_millis() / RETRY_INTERVAL.as_millis()) as u32;
        let dropped = (over as usize).min(self.spans.len());
        self.spans.drain(..dropped);
        self.start += RETRY_INTERVAL * over;
    }
}
