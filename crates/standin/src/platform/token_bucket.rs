//! Token bucket with the time as an argument.

/// Token bucket; times are microseconds.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    updated_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            per_s,
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            updated_us: 0,
        }
    }

    /// Changes rate and burst; tokens above the new burst are dropped.
    pub(super) fn set(&mut self, per_s: f64, burst: f64) {
        self.per_s = per_s;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes a token, or returns the time until one is available, milliseconds.
    pub(super) fn take(&mut self, now_us: u64) -> Result<(), u32> {
        let passed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        self.updated_us = self.updated_us.max(now_us);
        self.tokens = (self.tokens + passed_s * self.per_s).min(self.burst);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - self.tokens) / self.per_s.max(f64::EPSILON) * 1_000.0;
        Err((wait_ms.ceil() as u32).max(1))
    }
}
