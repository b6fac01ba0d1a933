//! Which requests are sent again by callers that were refused. Pure: time is an argument.
//!
//! A caller that comes back has spent a part of its time, so its request has a shorter deadline than those of its
//! route have at first. Nothing else tells it, and nothing has to be kept of refused requests.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Deadlines count for one to two spans of this length.
const SPAN: Duration = Duration::from_secs(10);
/// Time that is missing from the usual deadline in a request that comes again, at least: nearly the shortest wait that
/// callers are told, and more than two readings of a clock differ.
const LEAST_SPENT: Duration = Duration::from_millis(40);
/// Part of the usual deadline that is missing at most. A caller that has less time left asks with a deadline of its own.
const MOST_SPENT: f64 = 0.5;

/// Longest deadline of a route lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsualDeadline {
    now: Duration,
    before: Duration,
    began: Option<Instant>,
}

impl UsualDeadline {
    /// Notes a request's deadline; whether the request comes again.
    pub fn note(&mut self, deadline: Duration, now: Instant) -> bool {
        self.turn(now);
        self.now = self.now.max(deadline);
        let usual = self.now.max(self.before);
        let spent = usual.saturating_sub(deadline);
        let bounds = LEAST_SPENT..usual.mul_f64(MOST_SPENT);
        bounds.contains(&spent)
    }

    fn turn(&mut self, now: Instant) {
        let age = self.began.map(|began| now.saturating_duration_since(began));
        if age.is_some_and(|age| age < SPAN) {
            return;
        }
        self.before = match age {
            Some(age) if age < 2 * SPAN => self.now,
            _ => Duration::ZERO,
        };
        self.now = Duration::ZERO;
        self.began = Some(now);
    }
}
