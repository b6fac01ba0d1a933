//! Metrics of the store gate.

use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Metrics of a node's store gate.
#[derive(Clone)]
pub struct GateMetrics {
    /// Calls sent, by store, class and outcome.
    pub calls: IntCounterVec,
    /// Retries, by store.
    pub retries: IntCounterVec,
    /// Transactions merged into another one, by store.
    pub joined: IntCounterVec,
    /// Time that calls waited for the rate limit in seconds, by store and class.
    pub waited: HistogramVec,
    /// 1 while the breaker of a store is open.
    pub open: IntGaugeVec,
}

impl GateMetrics {
    /// Creates and registers the metrics.
    pub fn register(registry: &Registry) -> GateMetrics {
        let metrics = GateMetrics {
            calls: counters("calls", "Calls by outcome.", &["store", "class", "outcome"]),
            retries: counters("retries", "Calls repeated.", &["store"]),
            joined: counters(
                "joined",
                "Transactions sent inside another one.",
                &["store"],
            ),
            waited: waits(),
            open: gauges("breaker_open", "1 while the breaker is open.", &["store"]),
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 5] = [
            Box::new(metrics.calls.clone()),
            Box::new(metrics.retries.clone()),
            Box::new(metrics.joined.clone()),
            Box::new(metrics.waited.clone()),
            Box::new(metrics.open.clone()),
        ];
        for collector in collectors {
            if let Err(error) = registry.register(collector) {
                tracing::debug!(%error, "failed to register a store gate metric");
            }
        }
        metrics
    }
}

const VALID: &str = "metric names and labels are valid constants";

fn options(suffix: &str, help: &str) -> Opts {
    Opts::new(format!("dappleyard_store_{suffix}"), help)
}

fn counters(suffix: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(options(suffix, help), labels).expect(VALID)
}

fn gauges(suffix: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(options(suffix, help), labels).expect(VALID)
}

fn waits() -> HistogramVec {
    let help = "Time that calls waited for the rate limit.";
    let options = HistogramOpts::new("dappleyard_store_wait_seconds", help);
    HistogramVec::new(options, &["store", "class"]).expect(VALID)
}
