//! Prometheus metrics.

use std::sync::Arc;

use dappleyard_transport::LinkMetrics;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Buckets of latency histograms.
const SECONDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

/// Metrics of one sidecar, shared by its workers.
pub struct Metrics {
    /// Registry served by `/metrics`.
    pub registry: Registry,
    /// Responses, by route and code (`ok` or the error kind).
    pub responses: IntCounterVec,
    /// Time from acceptance to the end of the response, by route.
    pub response_seconds: HistogramVec,
    /// Time from acceptance to the first piece.
    pub first_piece_seconds: Histogram,
    pub open_requests: IntGauge,
    /// Attempts, by reason (`first`, `retry`, `resume`, `restart`, `poll`, `hedge`).
    pub attempts: IntCounterVec,
    /// Failed attempts, by error kind.
    pub failed_attempts: IntCounterVec,
    /// Retries denied by the retry budget.
    pub budget_denied: IntCounter,
    /// Pieces received from nodes.
    pub pieces: IntCounter,
    /// Rejected frames, by cause.
    pub bad_frames: IntCounterVec,
    /// Requests whose client disconnected before the response was complete.
    pub client_disconnects: IntCounter,
    /// Downloads that ended before the end of their file.
    pub downloads_cut: IntCounter,
    pub links: IntGauge,
    /// Lost links and failed connects, by cause.
    pub link_failures: IntCounterVec,
    /// Frames and bytes on links.
    pub transport: Arc<LinkMetrics>,
}

impl Metrics {
    /// Creates the metrics and registers them in a new registry.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let built = Metrics {
            responses: counters("answers_total", "Answers", &["route", "code"])?,
            response_seconds: HistogramVec::new(
                HistogramOpts::new("dappleyard_sidecar_seconds", "Time to the end of an answer")
                    .buckets(SECONDS.to_vec()),
                &["route"],
            )?,
            first_piece_seconds: Histogram::with_opts(
                HistogramOpts::new(
                    "dappleyard_sidecar_first_piece_seconds",
                    "Time to the first piece of an answer",
                )
                .buckets(SECONDS.to_vec()),
            )?,
            open_requests: IntGauge::new(
                "dappleyard_sidecar_open_requests",
                "Requests being served",
            )?,
            attempts: counters("attempts_total", "Attempts", &["reason"])?,
            failed_attempts: counters("failed_attempts_total", "Failed attempts", &["kind"])?,
            budget_denied: counter("budget_denied_total", "Retries that the budget refused")?,
            pieces: counter("pieces_total", "Pieces passed on")?,
            bad_frames: counters("bad_frames_total", "Frames that did not fit", &["cause"])?,
            client_disconnects: counter("callers_gone_total", "Callers that went away")?,
            downloads_cut: counter("downloads_cut_total", "Downloads cut in the middle")?,
            links: IntGauge::new("dappleyard_sidecar_links", "Links that are up")?,
            link_failures: counters("link_failures_total", "Links lost or not made", &["cause"])?,
            transport: Arc::default(),
            registry,
        };
        built.register()?;
        Ok(built)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn prometheus::core::Collector>; 13] = [
            Box::new(self.responses.clone()),
            Box::new(self.response_seconds.clone()),
            Box::new(self.first_piece_seconds.clone()),
            Box::new(self.open_requests.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.failed_attempts.clone()),
            Box::new(self.budget_denied.clone()),
            Box::new(self.pieces.clone()),
            Box::new(self.bad_frames.clone()),
            Box::new(self.client_disconnects.clone()),
            Box::new(self.downloads_cut.clone()),
            Box::new(self.links.clone()),
            Box::new(self.link_failures.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector)?;
        }
        self.transport.register(&self.registry)
    }
}

fn counter(name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    IntCounter::new(format!("dappleyard_sidecar_{name}"), help)
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(
        Opts::new(format!("dappleyard_sidecar_{name}"), help),
        labels,
    )
}
