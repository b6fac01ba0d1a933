//! Token bucket with reserves: each class leaves some of the burst to the classes before it.

use super::class::CallClass;

/// A token bucket. Time is an argument, in milliseconds of one monotonic clock.
#[derive(Debug, Clone)]
pub struct Limiter {
    per_ms: f64,
    burst: f64,
    tokens: f64,
    filled_at_ms: u64,
}

impl Limiter {
    /// A full bucket.
    pub fn new(calls_per_s: f64, burst: f64, now_ms: u64) -> Limiter {
        Limiter {
            per_ms: (calls_per_s / 1_000.0).max(f64::MIN_POSITIVE),
            burst: burst.max(1.0),
            tokens: burst.max(1.0),
            filled_at_ms: now_ms,
        }
    }

    /// Takes a token, or says after how many milliseconds to ask again.
    pub fn take(&mut self, class: CallClass, now_ms: u64) -> Result<(), u64> {
        self.fill(now_ms);
        let reserve = (self.burst - 1.0) * f64::from(class.reserve_percent()) / 100.0;
        let needed = 1.0 + reserve;
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (needed - self.tokens) / self.per_ms;
        Err(wait_ms.ceil().clamp(1.0, MAXIMUM_WAIT_MS) as u64)
    }

    /// Empties the bucket: after an outage calls come back at the steady rate, without a burst.
    pub fn empty(&mut self, now_ms: u64) {
        self.fill(now_ms);
        self.tokens = 0.0;
    }

    fn fill(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.filled_at_ms) as f64;
        self.tokens = (self.tokens + passed * self.per_ms).min(self.burst);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
    }
}

/// Longest wait that is advised at once, milliseconds.
const MAXIMUM_WAIT_MS: f64 = 60_000.0;
