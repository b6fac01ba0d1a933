//! When refused requests are expected back. Pure: time is an argument.

use std::collections::VecDeque;
use std::time::Duration;

use dappleyard_clock::Instant;

/// Length of one span of the schedule.
pub const SPAN: Duration = Duration::from_millis(100);
/// Spans that the schedule reaches ahead: callers come back within some seconds or not at all.
pub const SPANS: usize = 32;

/// Requests that one node told to come back, by the span in which they are due.
#[derive(Debug, Clone)]
pub struct ReturnSchedule {
    /// Beginning of the first span.
    begins: Instant,
    spans: VecDeque<u32>,
}

impl ReturnSchedule {
    /// Nobody was told to come back yet.
    pub fn new(now: Instant) -> Self {
        Self {
            begins: now,
            spans: VecDeque::new(),
        }
    }

    /// A request was told to come back after some time; one beyond the last span counts there.
    pub fn note(&mut self, after: Duration, now: Instant) {
        self.turn(now);
        let due = now.saturating_duration_since(self.begins) + after;
        let span = (due.as_millis() / SPAN.as_millis()) as usize;
        let span = span.min(SPANS - 1);
        if self.spans.len() <= span {
            self.spans.resize(span + 1, 0);
        }
        self.spans[span] = self.spans[span].saturating_add(1);
    }

    /// Requests expected back, by span from now on.
    pub fn due(&mut self, now: Instant) -> Vec<u32> {
        self.turn(now);
        self.spans.iter().copied().collect()
    }

    /// Drops the spans that are over.
    fn turn(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.begins);
        let over = (age.as_millis() / SPAN.as_millis()) as u32;
        let dropped = (over as usize).min(self.spans.len());
        self.spans.drain(..dropped);
        self.begins += SPAN * over;
    }
}
