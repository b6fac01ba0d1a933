//! Token bucket with reserves: each class leaves part of the burst to higher classes.

use super::class::CallClass;

/// A token bucket. The caller passes the time, in milliseconds of a monotonic clock.
#[derive(Debug, Clone)]
pub struct Limiter {
    per_ms: f64,
    burst: f64,
    tokens: f64,
    refilled_at_ms: u64,
}

impl Limiter {
    /// Creates a full bucket.
    pub fn new(calls_per_s: f64, burst: f64, now_ms: u64) -> Limiter {
        Limiter {
            per_ms: (calls_per_s / 1_000.0).max(f64::MIN_POSITIVE),
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            refilled_at_ms: now_ms,
        }
    }

    /// Takes a token, or returns the time to wait in milliseconds.
    pub fn take(&mut self, class: CallClass, now_ms: u64) -> Result<(), u64> {
        self.refill(now_ms);
        let reserve = (self.burst - 1.0) * f64::from(class.reserve_percent()) / 100.0;
        let needed = 1.0 + reserve;
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (needed - self.tokens) / self.per_ms;
        Err(wait_ms.ceil().clamp(1.0, MAXIMUM_WAIT_MS) as u64)
    }

    /// Empties the bucket, so that calls resume without a burst after an outage.
    pub fn drain(&mut self, now_ms: u64) {
        self.refill(now_ms);
        self.tokens = 0.0;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms) as f64;
        self.tokens = (self.tokens + elapsed_ms * self.per_ms).min(self.burst);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
    }
}

/// Upper bound of the returned wait.
const MAXIMUM_WAIT_MS: f64 = 60_000.0;
