//! Calls to one store with rate limit, circuit breaker and retries.

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

/// Maximum number of times that a call is sent.
const MAXIMUM_ATTEMPTS: u32 = 4;
/// Base of the exponential backoff, milliseconds; jitter applies.
const BASE_BACKOFF_MS: u64 = 25;
/// Maximum wait for the rate limit, as a multiple of the call timeout.
const MAXIMUM_WAIT_FACTOR: u64 = 4;

/// Gated access to one store, shared by all worker threads.
///
/// The mutex is never held together with another lock, so it needs no lock rank.
pub struct StoreCaller {
    store: &'static str,
    started: Instant,
    maximum_wait_ms: u64,
    state: Mutex<CallerState>,
    metrics: GateMetrics,
}

struct CallerState {
    limiter: Limiter,
    breaker: Breaker,
    budget: RetryBudget,
}

impl StoreCaller {
    pub fn new(
        store: &'static str,
        settings: &PlatformSettings,
        metrics: GateMetrics,
    ) -> StoreCaller {
        StoreCaller {
            store,
            started: Instant::now(),
            maximum_wait_ms: settings.call_timeout_ms * MAXIMUM_WAIT_FACTOR,
            state: Mutex::new(CallerState {
                limiter: Limiter::new(settings.calls_per_s, settings.calls_burst, 0),
                breaker: Breaker::new(settings.breaker_failures, settings.breaker_probe_ms),
                budget: RetryBudget::new(settings.retry_budget_percent),
            }),
            metrics,
        }
    }

    /// Whether the breaker is closed.
    pub fn is_available(&self) -> bool {
        !self.state.lock().breaker.is_open()
    }

    /// Counts a transaction that was merged into another one.
    pub fn count_merged(&self) {
        self.metrics.joined.with_label_values(&[self.store]).inc();
    }

    /// Makes a call and retries it within the budget if it certainly changed nothing.
    pub async fn call<T, F: Future<Output = Result<T, StoreError>>>(
        &self,
        class: CallClass,
        mut send: impl FnMut() -> F,
    ) -> Result<T, StoreError> {
        self.state.lock().budget.credit_call();
        let mut attempt = 0;
        loop {
            self.admit(class).await?;
            let result = send().await;
            self.record_result(class, &result);
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
        let since_ms = self.now_ms();
        loop {
            let now_ms = self.now_ms();
            let wait_ms = {
                let mut state = self.state.lock();
                if let Admission::No { retry_after_ms } = state.breaker.admit(now_ms, jitter()) {
                    return Err(self.breaker_error(retry_after_ms));
                }
                match state.limiter.take(class, now_ms) {
                    Ok(()) => break,
                    Err(wait_ms) => wait_ms,
                }
            };
            if now_ms - since_ms + wait_ms > self.maximum_wait_ms {
                let retry_after_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
                return Err(StoreError::RateLimited { retry_after_ms });
            }
            let spread = wait_ms as f64 * jitter();
            tokio::time::sleep(Duration::from_millis(wait_ms + spread as u64)).await;
        }
        let waited_s = (self.now_ms() - since_ms) as f64 / 1_000.0;
        let labels = [self.store, class.name()];
        self.metrics
            .waited
            .with_label_values(&labels)
            .observe(waited_s);
        Ok(())
    }

    fn breaker_error(&self, retry_after_ms: u64) -> StoreError {
        StoreError::Unavailable {
            reason: format!(
                "the {} store did not answer lately; it is asked again in {retry_after_ms} ms",
                self.store
            ),
        }
    }

    fn record_result<T>(&self, class: CallClass, result: &Result<T, StoreError>) {
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
        let unanswered = matches!(
            result,
            Err(StoreError::Unavailable { .. } | StoreError::Ambiguous { .. })
        );
        let now_ms = self.now_ms();
        let mut state = self.state.lock();
        let changed = match unanswered {
            true => state.breaker.record_failure(now_ms, jitter()),
            false => state.breaker.record_success(),
        };
        if changed && !unanswered {
            state.limiter.drain(now_ms);
        }
        drop(state);
        if changed {
            self.report_breaker(unanswered);
        }
    }

    fn report_breaker(&self, open: bool) {
        let gauge = self.metrics.open.with_label_values(&[self.store]);
        gauge.set(i64::from(open));
        match open {
            true => tracing::warn!(store = self.store, "the store does not answer"),
            false => tracing::info!(store = self.store, "the store answers again"),
        }
    }

    /// Delay before a retry, milliseconds; `None` if the call must not be retried.
    fn retry(&self, error: &StoreError, attempt: u32) -> Option<u64> {
        let asked_ms = match error {
            StoreError::Unavailable { .. } => 0,
            StoreError::RateLimited { retry_after_ms } => u64::from(*retry_after_ms),
            StoreError::Ambiguous { .. }
            | StoreError::Conflict { .. }
            | StoreError::Invalid { .. } => return None,
        };
        if attempt >= MAXIMUM_ATTEMPTS || !self.state.lock().budget.take_retry() {
            return None;
        }
        self.metrics.retries.with_label_values(&[self.store]).inc();
        let backoff_ms = (BASE_BACKOFF_MS << attempt) as f64 * (0.5 + jitter());
        Some(asked_ms + backoff_ms as u64)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

fn jitter() -> f64 {
    rand::rng().random_range(0.0..1.0)
}
