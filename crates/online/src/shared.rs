//! State of the online path shared by the worker threads of a node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use dappleyard_decide::admission::{NodeLimits, TokenBucket};
use dappleyard_decide::retry::RetryBudget;
use dappleyard_decide::time::Millis;
use dappleyard_settings::OnlineSettings;
use dappleyard_tables::NodeTables;
use dappleyard_tables::rank::{Rank, RankedMutex};
use dappleyard_wire::{ErrorKind, Failure};

use crate::metrics::OnlineMetrics;

/// Retry delay suggested when a concurrency limit is reached, milliseconds. A short answer takes about
/// as long.
const CONCURRENCY_RETRY_AFTER_MS: u32 = 250;

/// Rate limit and burst of decision records about requests. Decisions beyond it are only counted.
const DECISIONS_PER_S: f64 = 5.0;
const DECISION_BURST: f64 = 100.0;

/// Admission state, retry budget and stream counts of a node.
pub struct OnlineShared {
    state: RankedMutex<SharedState>,
    streams: AtomicUsize,
    maximum_streams: usize,
    pub(crate) metrics: OnlineMetrics,
}

struct SharedState {
    tenants: BTreeMap<String, TenantState>,
    budget: RetryBudget,
    decision_bucket: TokenBucket,
    /// Number of the current reader of each engine stream. A later reader supersedes an earlier one.
    readers: BTreeMap<String, u64>,
    next_reader: u64,
}

struct TenantState {
    bucket: TokenBucket,
    tokens: u64,
}

impl OnlineShared {
    /// Creates empty state and registers the metrics in the node's registry.
    pub fn new(settings: &OnlineSettings, tables: &Arc<NodeTables>) -> Arc<OnlineShared> {
        let state = SharedState {
            tenants: BTreeMap::new(),
            budget: RetryBudget::new(settings.retry_budget_percent),
            decision_bucket: TokenBucket::full(DECISION_BURST, tables.clock.now()),
            readers: BTreeMap::new(),
            next_reader: 1,
        };
        Arc::new(OnlineShared {
            state: RankedMutex::new(Rank::Tenants, state),
            streams: AtomicUsize::new(0),
            maximum_streams: settings.maximum_streams,
            metrics: OnlineMetrics::new(&tables.metrics),
        })
    }

    /// Number of active streams and pending settlements. A graceful shutdown waits until it is 0.
    pub fn active_streams(&self) -> usize {
        self.streams.load(Ordering::Acquire)
    }

    /// Counts a stream; `None` if the node has reached its limit.
    pub(crate) fn open_stream(self: &Arc<Self>) -> Option<StreamSlot> {
        if self.active_streams() >= self.maximum_streams {
            return None;
        }
        Some(self.count_stream())
    }

    /// Counts a stream regardless of the limit.
    pub(crate) fn count_stream(self: &Arc<Self>) -> StreamSlot {
        let streams = self.streams.fetch_add(1, Ordering::AcqRel) + 1;
        self.metrics.streams.set(as_gauge(streams));
        StreamSlot {
            shared: self.clone(),
        }
    }

    /// Charges a request of `tokens` tokens to the tenant's limits.
    pub(crate) fn acquire_tenant_slot(
        self: &Arc<Self>,
        tenant: &str,
        limits: NodeLimits,
        tokens: u64,
        now: Millis,
    ) -> Result<TenantSlot, Failure> {
        let mut state = self.state.lock();
        let tenant_state = state
            .tenants
            .entry(tenant.to_owned())
            .or_insert_with(|| TenantState {
                bucket: TokenBucket::full(limits.burst, now),
                tokens: 0,
            });
        if let Some(maximum) = limits.concurrent_tokens
            && tenant_state.tokens > 0
            && tenant_state.tokens + tokens > maximum
        {
            return Err(concurrency_refusal(tenant, maximum));
        }
        if let Some(rate) = limits.requests_per_s {
            let taken = tenant_state.bucket.take(rate, limits.burst, now);
            taken.map_err(|wait_ms| rate_refusal(tenant, rate, wait_ms))?;
        }
        tenant_state.tokens += tokens;
        Ok(TenantSlot {
            shared: self.clone(),
            tenant: tenant.to_owned(),
            tokens,
        })
    }

    /// Adds a first attempt to the retry budget.
    pub(crate) fn first_attempt(&self) {
        self.state.lock().budget.first_attempt();
    }

    /// Takes a retry from the budget; `false` if the budget is exhausted.
    pub(crate) fn take_retry(&self) -> bool {
        let taken = self.state.lock().budget.take();
        if !taken {
            self.metrics.budget_refused.inc();
        }
        taken
    }

    /// Whether the rate limit permits another decision record.
    pub(crate) fn may_record_decision(&self, now: Millis) -> bool {
        let mut state = self.state.lock();
        let taken = state
            .decision_bucket
            .take(DECISIONS_PER_S, DECISION_BURST, now);
        if taken.is_err() {
            self.metrics.unrecorded_decisions.inc();
        }
        taken.is_ok()
    }

    /// Registers a reader of an engine stream. The previous reader is superseded and ends without
    /// cancelling the stream.
    pub(crate) fn claim_stream(self: &Arc<Self>, server: &str, stream: &str) -> ReaderSlot {
        let key = format!("{server}/{stream}");
        let mut state = self.state.lock();
        let number = state.next_reader;
        state.next_reader += 1;
        state.readers.insert(key.clone(), number);
        ReaderSlot {
            shared: self.clone(),
            key,
            number,
        }
    }
}

fn concurrency_refusal(tenant: &str, maximum: u64) -> Failure {
    Failure::not_run(
        ErrorKind::TenantConcurrency,
        format!("tenant {tenant} has its {maximum} tokens at this node in progress; wait for one"),
    )
    .retry_after(CONCURRENCY_RETRY_AFTER_MS)
}

fn rate_refusal(tenant: &str, rate: f64, wait_ms: u32) -> Failure {
    Failure::not_run(
        ErrorKind::TenantRate,
        format!("tenant {tenant} has used its {rate:.1} requests per second at this node"),
    )
    .retry_after(wait_ms)
}

fn as_gauge(streams: usize) -> i64 {
    i64::try_from(streams).unwrap_or(i64::MAX)
}

/// A counted stream. Dropping it decrements the count.
pub(crate) struct StreamSlot {
    shared: Arc<OnlineShared>,
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        let streams = self.shared.streams.fetch_sub(1, Ordering::AcqRel) - 1;
        self.shared.metrics.streams.set(as_gauge(streams));
    }
}

/// Concurrent tokens reserved for a tenant's request. Dropping it releases them.
pub(crate) struct TenantSlot {
    shared: Arc<OnlineShared>,
    tenant: String,
    tokens: u64,
}

impl Drop for TenantSlot {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        if let Some(tenant) = state.tenants.get_mut(&self.tenant) {
            tenant.tokens = tenant.tokens.saturating_sub(self.tokens);
        }
    }
}

/// Registration of a run as reader of an engine stream.
pub(crate) struct ReaderSlot {
    shared: Arc<OnlineShared>,
    key: String,
    number: u64,
}

impl ReaderSlot {
    /// Whether a later run on this node has become the reader.
    pub fn is_superseded(&self) -> bool {
        let state = self.shared.state.lock();
        state.readers.get(&self.key) != Some(&self.number)
    }
}

impl Drop for ReaderSlot {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        if state.readers.get(&self.key) == Some(&self.number) {
            state.readers.remove(&self.key);
        }
    }
}
