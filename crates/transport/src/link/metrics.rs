//! Link metrics of one process.

use prometheus::core::Collector;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Link metrics; [`LinkMetrics::register`] exposes them.
#[derive(Debug)]
pub struct LinkMetrics {
    /// Open links, dialled and accepted.
    pub open: IntGauge,
    /// Links closed, by reason.
    pub closed: IntCounterVec,
    /// Links rejected during the handshake or by the link limit, by reason.
    pub rejected: IntCounterVec,
    /// Frames sent.
    pub frames_sent: IntCounter,
    /// Bytes of frames sent.
    pub bytes_sent: IntCounter,
    /// Frames received.
    pub frames_received: IntCounter,
    /// Bytes of frames received.
    pub bytes_received: IntCounter,
    /// Streams refused by the stream limit.
    pub streams_refused: IntCounter,
    /// Received frames dropped, by reason.
    pub frames_dropped: IntCounterVec,
}

impl Default for LinkMetrics {
    fn default() -> Self {
        let gauge = IntGauge::new("dappleyard_links_open", "Links open");
        Self {
            open: gauge.expect("metric name is valid"),
            closed: counters("closed_total", "Links closed"),
            rejected: counters("rejected_total", "Links not taken up"),
            frames_sent: counter("frames_sent_total", "Frames sent"),
            bytes_sent: counter("bytes_sent_total", "Bytes of frames sent"),
            frames_received: counter("frames_received_total", "Frames received"),
            bytes_received: counter("bytes_received_total", "Bytes of frames received"),
            streams_refused: counter("streams_refused_total", "Streams refused"),
            frames_dropped: counters("frames_dropped_total", "Frames dropped"),
        }
    }
}

impl LinkMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn Collector>; 9] = [
            Box::new(self.open.clone()),
            Box::new(self.closed.clone()),
            Box::new(self.rejected.clone()),
            Box::new(self.frames_sent.clone()),
            Box::new(self.bytes_sent.clone()),
            Box::new(self.frames_received.clone()),
            Box::new(self.bytes_received.clone()),
            Box::new(self.streams_refused.clone()),
            Box::new(self.frames_dropped.clone()),
        ];
        for collector in collectors {
            registry.register(collector)?;
        }
        Ok(())
    }

    pub(super) fn count_closed(&self, reason: &str) {
        self.closed.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_rejected(&self, reason: &str) {
        self.rejected.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_dropped(&self, reason: &str) {
        self.frames_dropped.with_label_values(&[reason]).inc();
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.frames_sent.inc();
        self.bytes_sent.inc_by(bytes as u64);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.frames_received.inc();
        self.bytes_received.inc_by(bytes as u64);
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(format!("dappleyard_link_{name}"), help).expect("metric name is valid")
}

fn counters(name: &str, help: &str) -> IntCounterVec {
    let options = Opts::new(format!("dappleyard_link_{name}"), help);
    IntCounterVec::new(options, &["reason"]).expect("metric name is valid")
}
