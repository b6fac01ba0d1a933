//! Retry budgets, retry conditions and backoff.

use dappleyard_wire::{Ran, Repeat};

/// Maximum delay before the first retry, in milliseconds; doubles with each retry.
pub const INITIAL_BACKOFF_MS: u32 = 10;

/// Maximum delay before any retry, in milliseconds.
pub const MAX_BACKOFF_MS: u32 = 500;

/// Capacity of a budget: the maximum number of retries in a burst.
pub const BUDGET_BURST: u32 = 20;

/// Budgets are counted in thousandths of a retry.
const UNIT: i64 = 1_000;

/// Retry budget, as a percentage of first attempts. Its capacity is limited to avoid retry storms
/// after idle periods.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    units: i64,
    percent: u32,
}

impl RetryBudget {
    /// Creates a full budget that gains `percent` of a retry with each first attempt.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            units: i64::from(BUDGET_BURST) * UNIT,
            percent,
        }
    }

    pub fn first_attempt(&mut self) {
        let gain = i64::from(self.percent) * UNIT / 100;
        self.units = (self.units + gain).min(i64::from(BUDGET_BURST) * UNIT);
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub fn take(&mut self) -> bool {
        let enough = self.units >= UNIT;
        if enough {
            self.units -= UNIT;
        }
        enough
    }
}

/// Whether a failed attempt may be retried. A non-repeatable request is retried only if it is known
/// not to have run.
pub fn may_retry(ran: Ran, repeat: Repeat) -> bool {
    ran == Ran::No || repeat == Repeat::Allowed
}

/// Exponential backoff with full jitter before retry number `retry`, counted from 1, in
/// milliseconds. `unit` is a random number in 0..1. Returns `None` if the delay would reach the
/// deadline.
pub fn retry_delay_ms(retry: u32, unit: f64, left_ms: u64) -> Option<u64> {
    let doubled = INITIAL_BACKOFF_MS.saturating_mul(1 << retry.saturating_sub(1).min(10));
    let maximum = doubled.min(MAX_BACKOFF_MS);
    let delay = (f64::from(maximum) * unit.clamp(0.0, 1.0)) as u64;
    (delay < left_ms).then_some(delay)
}
