//! Retry budget: repeated calls as a share of first calls.

/// A budget that first calls fill and repeated calls use up.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

/// Most repeated calls that are saved up.
const MAXIMUM_SAVED: f64 = 10.0;

impl RetryBudget {
    /// A budget of `percent` repeated calls for each hundred first ones.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            share: f64::from(percent) / 100.0,
            saved: MAXIMUM_SAVED,
        }
    }

    /// Counts a first call.
    pub fn first(&mut self) {
        self.saved = (self.saved + self.share).min(MAXIMUM_SAVED);
    }

    /// Takes a repeated call; `false` when the budget is used up.
    pub fn repeat(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
