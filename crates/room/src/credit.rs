//! When callers that are over their quota come back. Pure: time and randomness are arguments.
//!
//! The load: one tenant asks for many times its quota. Told the same time, all its callers would come back together,
//! for the credit of a few.

use std::time::Duration;

use dappleyard_clock::Instant;
use rand::Rng;

/// When credit comes for the callers of one tenant that were refused at one node: each is told its own time.
#[derive(Debug, Clone, Copy, Default)]
pub struct CreditQueue {
    last: Option<Instant>,
}

impl CreditQueue {
    /// Time after which the next refused caller comes back: behind those before it, one for each `step` in which
    /// credit for one more of this node's callers arrives, or by chance where that is later than `most`.
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
