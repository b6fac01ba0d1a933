//! Ejection of failing servers. Pure: time is an argument.
//!
//! A server that fails every request at once has the lowest load and would attract ever more work.
//! All nodes count outcomes per server and share the counts with their loads. A server at which at
//! least half of the requests fail is ejected for a time that doubles until it succeeds again.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Length of a counting window. Outcomes count for one to two windows.
const WINDOW: Duration = Duration::from_millis(1_000);
/// Failures over all nodes below which a server is not ejected.
const MIN_FAILED: u32 = 3;
/// First ejection time. Longer than two counting windows, so that the same failures do not eject a
/// server twice.
const BASE_EJECTION: Duration = Duration::from_millis(2_500);
/// Longest ejection time; some requests try the server again afterwards.
const MAX_EJECTION: Duration = Duration::from_secs(10);

/// Counts of recent outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutcomeCounts {
    /// Responses with a server error, or connections closed before the response head.
    pub failed: u32,
    /// Successful responses.
    pub served: u32,
}

impl OutcomeCounts {
    /// Sum of two counts.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            failed: self.failed + other.failed,
            served: self.served + other.served,
        }
    }

    fn is_failing(self) -> bool {
        self.failed >= MIN_FAILED && self.failed >= self.served
    }
}

/// Outcomes of one node at one server in the current and the previous window.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcomes {
    current: OutcomeCounts,
    previous: OutcomeCounts,
    window_start: Option<Instant>,
}

impl Outcomes {
    /// Records the outcome of a request.
    pub fn note(&mut self, served: bool, now: Instant) {
        self.rotate(now);
        match served {
            true => self.current.served += 1,
            false => self.current.failed += 1,
        }
    }

    fn rotate(&mut self, now: Instant) {
        let age = self
            .window_start
            .map(|window_start| now.duration_since(window_start));
        if age.is_some_and(|age| age < WINDOW) {
            return;
        }
        self.previous = match age {
            Some(age) if age < 2 * WINDOW => self.current,
            _ => OutcomeCounts::default(),
        };
        self.current = OutcomeCounts::default();
        self.window_start = Some(now);
    }

    /// Counts of both windows.
    pub fn counts(mut self, now: Instant) -> OutcomeCounts {
        self.rotate(now);
        self.current.plus(self.previous)
    }
}

/// Ejection state of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    /// Consecutive ejections.
    consecutive_ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Evaluates the outcomes of all nodes. Returns whether the server is newly ejected.
    pub fn evaluate(&mut self, counts: OutcomeCounts, now: Instant) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        if counts.is_failing() {
            let time = BASE_EJECTION * 2_u32.saturating_pow(self.consecutive_ejections);
            self.until = Some(now + time.min(MAX_EJECTION));
            self.consecutive_ejections = (self.consecutive_ejections + 1).min(8);
            return true;
        }
        if counts.served > counts.failed {
            self.consecutive_ejections = 0;
        }
        false
    }

    /// Whether the server is ejected now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}
