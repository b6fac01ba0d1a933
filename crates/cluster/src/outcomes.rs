//! Ejection of failing servers. Pure: time is an argument.
//!
//! A server that fails every request at once has the lowest load and would attract ever more work.
//! All nodes count outcomes per server and share the counts with their loads. A server at which at
//! least half of the requests fail is ejected for a time that doubles until it succeeds again.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Length of a counting window. Outcomes count for one to two windows.
const SPAN: Duration = Duration::from_millis(1_000);
/// Failures over all nodes below which a server is not ejected.
const LEAST_FAILED: u32 = 3;
/// First ejection time. Longer than two counting windows, so that the same failures do not eject a
/// server twice.
const FIRST_TIME: Duration = Duration::from_millis(2_500);
/// Longest ejection time; some requests try the server again afterwards.
const LONGEST_TIME: Duration = Duration::from_secs(10);

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
        self.failed >= LEAST_FAILED && self.failed >= self.served
    }
}

/// Outcomes of one node at one server in the current and the previous window.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcomes {
    now: OutcomeCounts,
    before: OutcomeCounts,
    began: Option<Instant>,
}

impl Outcomes {
    /// Records the outcome of a request.
    pub fn note(&mut self, served: bool, now: Instant) {
        self.turn(now);
        match served {
            true => self.now.served += 1,
            false => self.now.failed += 1,
        }
    }

    fn turn(&mut self, now: Instant) {
        let age = self.began.map(|began| now.duration_since(began));
        if age.is_some_and(|age| age < SPAN) {
            return;
        }
        self.before = match age {
            Some(age) if age < 2 * SPAN => self.now,
            _ => OutcomeCounts::default(),
        };
        self.now = OutcomeCounts::default();
        self.began = Some(now);
    }

    /// Counts of both windows.
    pub fn counts(mut self, now: Instant) -> OutcomeCounts {
        self.turn(now);
        self.now.plus(self.before)
    }
}

/// Ejection state of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    /// Consecutive ejections.
    strikes: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Evaluates the outcomes of all nodes. Returns whether the server is newly ejected.
    pub fn judge(&mut self, counts: OutcomeCounts, now: Instant) -> bool {
        if self.is_out(now) {
            return false;
        }
        if counts.is_failing() {
            let time = FIRST_TIME * 2_u32.saturating_pow(self.strikes);
            self.until = Some(now + time.min(LONGEST_TIME));
            self.strikes = (self.strikes + 1).min(8);
            return true;
        }
        if counts.served > counts.failed {
            self.strikes = 0;
        }
        false
    }

    /// Whether the server is ejected now.
    pub fn is_out(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}
