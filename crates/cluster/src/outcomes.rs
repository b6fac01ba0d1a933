//! Servers that answer, and answer with failures. Pure: time is an argument.
//!
//! A server that fails everything at once has the least work of all, so placement by load alone sends it ever
//! more. All nodes count how their requests end at each server and tell the counts with the loads; a server at
//! which at least half of them fail gets no work for a time, which doubles until it serves again. The figures below
//! are chosen, not derived.

use std::time::Duration;

use dappleyard_clock::Instant;

/// Outcomes count for one to two spans of this length.
const SPAN: Duration = Duration::from_millis(1_000);
/// Failures over all nodes below which a server is not judged.
const LEAST_FAILED: u32 = 3;
/// First time without work: longer than outcomes count, so that the same failures are not judged twice.
const FIRST_TIME: Duration = Duration::from_millis(2_500);
/// Longest time without work. Afterwards some requests try the server again.
const LONGEST_TIME: Duration = Duration::from_secs(10);

/// How requests ended lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutcomeCounts {
    /// The server answered with an error of its own, or broke off before the head of its answer.
    pub failed: u32,
    /// The server answered with success.
    pub served: u32,
}

impl OutcomeCounts {
    /// Both together.
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

/// Outcomes of one node at one server, of the last one to two spans.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcomes {
    now: OutcomeCounts,
    before: OutcomeCounts,
    began: Option<Instant>,
}

impl Outcomes {
    /// Notes how a request ended.
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

    /// What counts now.
    pub fn counts(mut self, now: Instant) -> OutcomeCounts {
        self.turn(now);
        self.now.plus(self.before)
    }
}

/// Whether a server is kept without work for its failures.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ejection {
    /// Times in a row that it was.
    strikes: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Takes the outcomes over all nodes; whether the server is newly kept without work.
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

    /// Whether the server gets no work now.
    pub fn is_out(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| until > now)
    }
}
