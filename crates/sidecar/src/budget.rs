//! The budget of retries, shared by all workers of a sidecar.

use std::sync::atomic::{AtomicI64, Ordering};

/// Parts of one retry: a first attempt earns `percent` of them.
const PARTS: i64 = 100;

/// Retries as a share of first attempts: each first attempt earns a part of a retry, each retry
/// spends a whole one. A reserve lets a quiet sidecar retry too. When the budget is used up, a
/// failed attempt is final, so that retries cannot multiply the load of a fleet that is failing.
#[derive(Debug)]
pub struct RetryBudget {
    parts: AtomicI64,
    percent: i64,
    reserve_parts: i64,
}

impl RetryBudget {
    /// A budget of `percent` retries for each 100 first attempts, and a reserve of whole retries.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let reserve_parts = i64::from(reserve) * PARTS;
        Self {
            parts: AtomicI64::new(reserve_parts),
            percent: i64::from(percent),
            reserve_parts,
        }
    }

    /// A first attempt was made.
    pub fn earn(&self) {
        let add = |parts: i64| Some((parts + self.percent).min(self.reserve_parts));
        let _ = self
            .parts
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry; `false` when the budget is used up.
    pub fn spend(&self) -> bool {
        let take = |parts: i64| (parts >= PARTS).then_some(parts - PARTS);
        self.parts
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
