//! Retry budget: limits retries to a share of first calls.

/// Budget credited by first calls and debited by retries.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

/// Maximum balance, in retries.
const MAXIMUM_BALANCE: f64 = 10.0;

impl RetryBudget {
    /// Creates a full budget that earns `percent` retries per hundred first calls.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget {
            share: f64::from(percent) / 100.0,
            balance: MAXIMUM_BALANCE,
        }
    }

    /// Credits a first call.
    pub fn credit_call(&mut self) {
        self.balance = (self.balance + self.share).min(MAXIMUM_BALANCE);
    }

    /// Takes one retry; `false` if the budget is exhausted.
    pub fn take_retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
