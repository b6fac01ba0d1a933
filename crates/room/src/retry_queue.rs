//! Retry delays for tenants over their quota. Time and randomness are arguments.
//!
//! If all refused clients of a tenant got the same delay, they would return together for the quota
//! of a few.

use std::time::Duration;

use dappleyard_clock::Instant;
use rand::Rng;

/// Assigns each refused request of one tenant at one node its own retry time.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryQueue {
    /// Latest retry time assigned, without its random part.
    last: Option<Instant>,
}

impl RetryQueue {
    /// Retry delay of the next refused request: one `step` after the previous one, but not before
    /// `until_credit` has passed, plus a random part of a step; or a random delay of at most `most`
    /// if that is too late. `step` is the time in which quota for one request of this node accrues.
    pub fn next(
        &mut self,
        until_credit: Duration,
        step: Duration,
        most: Duration,
        now: Instant,
        random: &mut impl Rng,
    ) -> Duration {
        let earliest = now + until_credit;
        let behind = self.last.map(|last| last + step);
        let at = behind.map_or(earliest, |behind| behind.max(earliest));
        let after = at.saturating_duration_since(now) + step.mul_f64(random.random::<f64>());
        if after > most {
            return most.mul_f64(random.random_range(0.5..=1.0));
        }
        self.last = Some(at);
        after
    }
}
