//! Prometheus metrics of the online path.

use dappleyard_wire::{ErrorKind, Failure, error::ran_label};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Bucket bounds of the duration histograms, seconds.
const TIME_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
];

pub(crate) struct OnlineMetrics {
    /// Submissions by stage.
    pub requests: IntCounterVec,
    /// Refusals by kind and by whether the request ran.
    pub refused: IntCounterVec,
    /// Placements by target: `local`, `owner`, `cell` or `resumed`.
    pub placed: IntCounterVec,
    /// Repeated placements by cause.
    pub placed_again: IntCounterVec,
    /// Retries refused by the retry budget.
    pub budget_refused: IntCounter,
    /// Decisions not recorded because of the rate limit.
    pub unrecorded_decisions: IntCounter,
    /// Completed answers.
    pub finished: IntCounter,
    /// Streams cancelled at an engine, by cause.
    pub cancelled: IntCounterVec,
    /// Active streams and pending settlements.
    pub streams: IntGauge,
    /// Time from receipt to the first token at the ingress stage.
    pub first_token: Histogram,
    /// Time from receipt to the refusal of a request that did not run.
    pub refusal_time: Histogram,
    /// Status requests before dispatch because the last known state was too old.
    pub status_asked: IntCounter,
    /// Writes of at-most-once records by result.
    pub record_writes: IntCounterVec,
    /// Transactions that wrote at-most-once records.
    pub record_transactions: IntCounter,
    /// Answers replayed from a record.
    pub replayed: IntCounter,
}

impl OnlineMetrics {
    pub fn new(registry: &Registry) -> OnlineMetrics {
        OnlineMetrics {
            requests: counter_vec(registry, "requests_total", "Submissions.", &["stage"]),
            refused: counter_vec(registry, "refused_total", "Refusals.", &["kind", "ran"]),
            placed: counter_vec(registry, "placed_total", "Placements.", &["where"]),
            placed_again: counter_vec(registry, "placed_again_total", "Placed again.", &["cause"]),
            budget_refused: counter(registry, "retry_budget_refused_total", "Retries refused."),
            unrecorded_decisions: counter(
                registry,
                "unexplained_total",
                "Decisions without a record.",
            ),
            finished: counter(registry, "finished_total", "Whole answers."),
            cancelled: counter_vec(registry, "cancelled_total", "Engine cancels.", &["cause"]),
            streams: gauge(registry, "streams", "Streams in progress."),
            first_token: histogram(registry, "first_token_seconds", "Time to first token."),
            refusal_time: histogram(registry, "refusal_seconds", "Time to a refusal."),
            status_asked: counter(registry, "status_asked_total", "Engines asked for status."),
            record_writes: counter_vec(registry, "record_writes_total", "Records.", &["result"]),
            record_transactions: counter(registry, "record_transactions_total", "Transactions."),
            replayed: counter(registry, "replayed_total", "Recorded answers replayed."),
        }
    }

    pub fn count_refusal(&self, failure: &Failure) {
        let kind: ErrorKind = failure.kind;
        self.refused
            .with_label_values(&[kind.answer().code, ran_label(failure.ran)])
            .inc();
    }
}

fn metric_name(rest: &str) -> String {
    format!("dappleyard_online_{rest}")
}

fn counter_vec(registry: &Registry, rest: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter_vec = IntCounterVec::new(Opts::new(metric_name(rest), help), labels);
    register(registry, counter_vec.expect("a valid name and labels"))
}

fn counter(registry: &Registry, rest: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(metric_name(rest), help);
    register(registry, counter.expect("a valid name"))
}

fn gauge(registry: &Registry, rest: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(metric_name(rest), help);
    register(registry, gauge.expect("a valid name"))
}

fn histogram(registry: &Registry, rest: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(metric_name(rest), help).buckets(TIME_BUCKETS.to_vec());
    register(
        registry,
        Histogram::with_opts(options).expect("valid buckets"),
    )
}

/// Registers a metric. Errors are ignored: only tests register the same metric twice.
fn register<M: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: M) -> M {
    let _ = registry.register(Box::new(metric.clone()));
    metric
}
