//! Detects retries after a refusal by their deadline. Time is an argument.
//!
//! A retrying client has used up part of its time, so the deadline of a retry is shorter than the
//! usual one of its route. This needs no state per refused request.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Length of one window. The current and the previous window count.
const WINDOW: Duration = Duration::from_secs(10);
/// Minimum difference from the usual deadline. Slightly less than the shortest retry delay, and
/// more than the error of clock readings.
const MIN_SPENT: Duration = Duration::from_millis(40);
/// Maximum difference, as a fraction of the usual deadline. Shorter deadlines are assumed to be the
/// client's choice.
const MAX_SPENT: f64 = 0.5;

/// Longest recent deadline of a route.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryDetector {
    current: Duration,
    previous: Duration,
    window_start: Option<Instant>,
}

impl RetryDetector {
    /// Records a request's deadline and returns whether the request is a retry.
    pub fn record(&mut self, deadline: Duration, now: Instant) -> bool {
        self.advance(now);
        self.current = self.current.max(deadline);
        let usual = self.current.max(self.previous);
        let spent = usual.saturating_sub(deadline);
        let bounds = MIN_SPENT..usual.mul_f64(MAX_SPENT);
        bounds.contains(&spent)
    }

    fn advance(&mut self, now: Instant) {
        let age = self
            .window_start
            .map(|window_start| now.saturating_duration_since(window_start));
        if age.is_some_and(|age| age < WINDOW) {
            return;
        }
        self.previous = match age {
            Some(age) if age < 2 * WINDOW => self.current,
            _ => Duration::ZERO,
        };
        self.current = Duration::ZERO;
        self.window_start = Some(now);
    }
}
