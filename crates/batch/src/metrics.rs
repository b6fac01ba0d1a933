//! Counters and gauges of the batch path.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of one node's batch runner.
#[derive(Clone)]
pub struct Metrics {
    /// Finished items by outcome: `answered`, `failed`.
    pub items: IntCounterVec,
    /// Chunk events: `claimed`, `committed`, `fenced`, `cancelled`, `handed_back`, `taken_over`.
    pub chunks: IntCounterVec,
    /// Streams preempted by online requests.
    pub pauses: IntCounter,
    /// Streams resumed from an offset.
    pub resumes: IntCounter,
    /// Items restarted from the first token.
    pub repeated: IntCounter,
    /// Estimated memory of the held chunks, bytes.
    pub held_bytes: IntGauge,
    /// Items queued on this node.
    pub waiting: IntGauge,
    /// Items running on this node's servers.
    pub running: IntGauge,
}

impl Metrics {
    /// Registers the metrics. If the registry already has metrics of these names, it keeps the
    /// earlier ones and the new ones are not exported.
    pub fn register(registry: &Registry) -> Metrics {
        let metrics = Metrics {
            items: counter_vec("items", "Batch items by how they ended.", "outcome"),
            chunks: counter_vec("chunks", "Chunks by what became of them.", "event"),
            pauses: counter("pauses", "Batch streams paused for online work."),
            resumes: counter("resumes", "Batch streams that went on from an offset."),
            repeated: counter(
                "repeated_items",
                "Batch items started again from the first token.",
            ),
            held_bytes: gauge("held_bytes", "Bytes of batch inputs and results held."),
            waiting: gauge("waiting_items", "Batch items that wait on this node."),
            running: gauge(
                "running_items",
                "Batch items that run on this node's servers.",
            ),
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 8] = [
            Box::new(metrics.items.clone()),
            Box::new(metrics.chunks.clone()),
            Box::new(metrics.pauses.clone()),
            Box::new(metrics.resumes.clone()),
            Box::new(metrics.repeated.clone()),
            Box::new(metrics.held_bytes.clone()),
            Box::new(metrics.waiting.clone()),
            Box::new(metrics.running.clone()),
        ];
        for collector in collectors {
            if let Err(error) = registry.register(collector) {
                tracing::debug!(%error, "a batch metric is registered already");
            }
        }
        metrics
    }

    pub fn count_chunk(&self, event: &str) {
        self.chunks.with_label_values(&[event]).inc();
    }
}

fn metric_name(suffix: &str) -> String {
    format!("dappleyard_batch_{suffix}")
}

fn counter(suffix: &str, help: &str) -> IntCounter {
    IntCounter::new(metric_name(suffix), help).expect("the name is a constant and valid")
}

fn gauge(suffix: &str, help: &str) -> IntGauge {
    IntGauge::new(metric_name(suffix), help).expect("the name is a constant and valid")
}

fn counter_vec(suffix: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(metric_name(suffix), help), &[label])
        .expect("the name is a constant and valid")
}
