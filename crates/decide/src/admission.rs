//! Tenant rate limits and early rejection of requests.

use crate::time::Millis;

/// Minimum share of a fleet-wide rate limit on one node, in requests per second.
pub const FLOOR_REQUESTS_PER_S: f64 = 1.0;

/// Minimum retry-after hint, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u32 = 50;

/// Maximum retry-after hint, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u32 = 10_000;

/// Limits of a tenant on one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeLimits {
    /// Requests per second; `None` if unlimited.
    pub requests_per_s: Option<f64>,
    /// Burst size, in requests.
    pub burst: f64,
    /// Total tokens of requests in progress; `None` if unlimited.
    pub concurrent_tokens: Option<u64>,
}

/// Equal share of fleet-wide limits for one of `nodes` nodes, but at least one request per second
/// (or the fleet-wide rate, if that is lower) and a burst of one request.
pub fn node_share(
    requests_per_s: f64,
    requests_burst: f64,
    concurrent_tokens: u64,
    nodes: usize,
) -> NodeLimits {
    let nodes_f = nodes.max(1) as f64;
    let limited = requests_per_s > 0.0;
    let rate = (requests_per_s / nodes_f).max(requests_per_s.min(FLOOR_REQUESTS_PER_S));
    let burst = if requests_burst > 0.0 {
        requests_burst
    } else {
        requests_per_s
    };
    NodeLimits {
        requests_per_s: limited.then_some(rate),
        burst: (burst / nodes_f).max(1.0),
        concurrent_tokens: (concurrent_tokens > 0)
            .then(|| concurrent_tokens.div_ceil(nodes.max(1) as u64)),
    }
}

/// A token bucket; starts full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    updated: Millis,
}

impl TokenBucket {
    pub fn full(burst: f64, now: Millis) -> TokenBucket {
        TokenBucket {
            tokens: burst,
            updated: now,
        }
    }

    /// Takes one token, or returns a retry-after hint in milliseconds.
    pub fn take(&mut self, rate: f64, burst: f64, now: Millis) -> Result<(), u32> {
        let refilled = now.since(self.updated) as f64 / 1_000.0 * rate;
        self.tokens = (self.tokens + refilled).min(burst);
        self.updated = self.updated.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_s = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(retry_after(wait_s * 1_000.0))
    }
}

/// Reason why a request is rejected early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Infeasible {
    /// The expected wait reaches the deadline.
    Deadline,
    /// The expected wait exceeds the maximum queueing time.
    Queue,
}

/// Checks whether a request that would wait `wait_ms` can be served. The error contains the reason
/// and a retry-after hint in milliseconds.
pub fn feasible(
    wait_ms: u32,
    budget_ms: u32,
    maximum_queue_ms: u32,
) -> Result<(), (Infeasible, u32)> {
    if wait_ms > maximum_queue_ms {
        let excess = f64::from(wait_ms - maximum_queue_ms);
        return Err((Infeasible::Queue, retry_after(excess)));
    }
    if wait_ms >= budget_ms {
        return Err((Infeasible::Deadline, retry_after(f64::from(wait_ms))));
    }
    Ok(())
}

/// Rounds up a retry-after hint and clamps it to its limits.
pub fn retry_after(milliseconds: f64) -> u32 {
    milliseconds
        .ceil()
        .clamp(f64::from(MIN_RETRY_AFTER_MS), f64::from(MAX_RETRY_AFTER_MS)) as u32
}
