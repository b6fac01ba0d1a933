//! One store's share of the gate: limiter, breaker and retry budget, and the loop around a call.

use std::future::Future;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_settings::PlatformSettings;
use parking_lot::Mutex;
use rand::Rng;

use super::breaker::{Admission, Breaker};
use super::budget::RetryBudget;
use super::class::CallClass;
use super::limiter::Limiter;
use super::metrics::GateMetrics;
use crate::StoreError;

/// Most times that a call goes out.
const MAXIMUM_ATTEMPTS: u32 = 4;
/// First wait before a repeated call, milliseconds; doubles with each.
const FIRST_BACKOFF_MS: u64 = 25;
/// Longest wait for the rate limit, as a multiple of the call timeout.
const WAIT_FACTOR: u64 = 4;

/// One store behind the gate, shared by all worker threads.
///
/// The mutex guards plain numbers, is held for a few instructions and never together with another
/// lock, so that it has no rank among the tables' locks.
pub struct Lane {
    store: &'static str,
    started: Instant,
    longest_wait_ms: u64,
    state: Mutex<LaneState>,
    metrics: GateMetrics,
}

struct LaneState {
    limiter: Limiter,
    breaker: Breaker,
    budget: RetryBudget,
}

impl Lane {
    /// A lane for a store.
    pub fn new(store: &'static str, settings: &PlatformSettings, metrics: GateMetrics) -> Lane {
        Lane {
            store,
            started: Instant::now(),
            longest_wait_ms: settings.call_timeout_ms * WAIT_FACTOR,
            state: Mutex::new(LaneState {
                limiter: Limiter::new(settings.calls_per_s, settings.calls_burst, 0),
                breaker: Breaker::new(settings.breaker_failures, settings.breaker_probe_ms),
                budget: RetryBudget::new(settings.retry_budget_percent),
            }),
            metrics,
        }
    }

    /// Whether the breaker is closed.
    pub fn answers(&self) -> bool {
        !self.state.lock().breaker.is_open()
    }

    /// Counts a transaction that goes out inside another one.
    pub fn joined(&self) {
        self.metrics.joined.with_label_values(&[self.store]).inc();
    }

    /// Makes a call. It is repeated while it is certain that it changed nothing, within the budget.
    pub async fn call<T, F: Future<Output = Result<T, StoreError>>>(
        &self,
        class: CallClass,
        mut send: impl FnMut() -> F,
    ) -> Result<T, StoreError> {
        self.state.lock().budget.first();
        let mut attempt = 0;
        loop {
            self.admit(class).await?;
            let result = send().await;
            self.note(class, &result);
            attempt += 1;
            let Some(wait_ms) = result
                .as_ref()
                .err()
                .and_then(|error| self.retry(error, attempt))
            else {
                return result;
            };
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    async fn admit(&self, class: CallClass) -> Result<(), StoreError> {
        let asked_ms = self.now_ms();
        loop {
            let now_ms = self.now_ms();
            let wait_ms = {
                let mut state = self.state.lock();
                if let Admission::No { retry_after_ms } = state.breaker.admit(now_ms, jitter()) {
                    return Err(self.closed_off(retry_after_ms));
                }
                match state.limiter.take(class, now_ms) {
                    Ok(()) => break,
                    Err(wait_ms) => wait_ms,
                }
            };
            if now_ms - asked_ms + wait_ms > self.longest_wait_ms {
                let retry_after_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
                return Err(StoreError::RateLimited { retry_after_ms });
            }
            let spread = wait_ms as f64 * jitter();
            tokio::time::sleep(Duration::from_millis(wait_ms + spread as u64)).await;
        }
        let waited_s = (self.now_ms() - asked_ms) as f64 / 1_000.0;
        let labels = [self.store, class.name()];
        self.metrics
            .waited
            .with_label_values(&labels)
            .observe(waited_s);
        Ok(())
    }

    fn closed_off(&self, retry_after_ms: u64) -> StoreError {
        StoreError::Unavailable {
            reason: format!(
                "the {} store did not answer lately; it is asked again in {retry_after_ms} ms",
                self.store
            ),
        }
    }

    fn note<T>(&self, class: CallClass, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(StoreError::Unavailable { .. }) => "unavailable",
            Err(StoreError::Ambiguous { .. }) => "ambiguous",
            Err(StoreError::Conflict { .. }) => "conflict",
            Err(StoreError::RateLimited { .. }) => "rate_limited",
            Err(StoreError::Invalid { .. }) => "invalid",
        };
        let labels = [self.store, class.name(), outcome];
        self.metrics.calls.with_label_values(&labels).inc();
        let lost = matches!(
            result,
            Err(StoreError::Unavailable { .. } | StoreError::Ambiguous { .. })
        );
        let now_ms = self.now_ms();
        let mut state = self.state.lock();
        let changed = match lost {
            true => state.breaker.failed(now_ms, jitter()),
            false => state.breaker.answered(),
        };
        if changed && !lost {
            state.limiter.empty(now_ms);
        }
        drop(state);
        if changed {
            self.changed(lost);
        }
    }

    fn changed(&self, open: bool) {
        let gauge = self.metrics.open.with_label_values(&[self.store]);
        gauge.set(i64::from(open));
        match open {
            true => tracing::warn!(store = self.store, "the store does not answer"),
            false => tracing::info!(store = self.store, "the store answers again"),
        }
    }

    /// Wait before the call is repeated, milliseconds; `None` when it is not.
    fn retry(&self, error: &StoreError, attempt: u32) -> Option<u64> {
        let asked_ms = match error {
            StoreError::Unavailable { .. } => 0,
            StoreError::RateLimited { retry_after_ms } => u64::from(*retry_after_ms),
            StoreError::Ambiguous { .. }
            | StoreError::Conflict { .. }
            | StoreError::Invalid { .. } => return None,
        };
        if attempt >= MAXIMUM_ATTEMPTS || !self.state.lock().budget.repeat() {
            return None;
        }
        self.metrics.retries.with_label_values(&[self.store]).inc();
        let backoff_ms = (FIRST_BACKOFF_MS << attempt) as f64 * (0.5 + jitter());
        Some(asked_ms + backoff_ms as u64)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

fn jitter() -> f64 {
    rand::rng().random_range(0.0..1.0)
}
