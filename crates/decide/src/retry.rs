//! Retry budgets: how many attempts beyond the first there may be, and when.

use dappleyard_wire::{Ran, Repeat};

/// First pause before a retry, milliseconds; doubles with each retry.
pub const FIRST_PAUSE_MS: u32 = 10;

/// Longest pause before a retry, milliseconds.
pub const LONGEST_PAUSE_MS: u32 = 500;

/// Retries that a quiet node may make at once, in whole retries.
pub const BUDGET_BURST: u32 = 20;

/// Thousandths of a retry, the unit in which a budget is counted.
const UNIT: i64 = 1_000;

/// A budget of retries as a share of first attempts. Bounded both ways, so that a long quiet time
/// does not save up for a storm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    units: i64,
    percent: u32,
}

impl RetryBudget {
    /// A full budget that grows by `percent` of a retry with each first attempt.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            units: i64::from(BUDGET_BURST) * UNIT,
            percent,
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        let gain = i64::from(self.percent) * UNIT / 100;
        self.units = (self.units + gain).min(i64::from(BUDGET_BURST) * UNIT);
    }

    /// Takes one retry from the budget; `false` when it is used up.
    pub fn take(&mut self) -> bool {
        let enough = self.units >= UNIT;
        if enough {
            self.units -= UNIT;
        }
        enough
    }
}

/// Whether an attempt may follow one that ended like this. A request that must not be repeated is
/// tried again only when nothing can have run.
pub fn may_follow(ran: Ran, repeat: Repeat) -> bool {
    ran == Ran::No || repeat == Repeat::Allowed
}

/// Pause before retry number `retry` (from 1), milliseconds, with full jitter from `unit` in 0..1;
/// `None` when it would reach the deadline.
pub fn pause_ms(retry: u32, unit: f64, left_ms: u64) -> Option<u64> {
    let doubled = FIRST_PAUSE_MS.saturating_mul(1 << retry.saturating_sub(1).min(10));
    let longest = doubled.min(LONGEST_PAUSE_MS);
    let pause = (f64::from(longest) * unit.clamp(0.0, 1.0)) as u64;
    (pause < left_ms).then_some(pause)
}
