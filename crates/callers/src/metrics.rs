//! What callers use of the machine, in the Prometheus text format.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::gate::ConnectionGate;

impl ConnectionGate {
    /// Metrics whose names begin with `prefix`.
    pub fn metrics_text(&self, prefix: &str) -> String {
        let (budget, counters) = (self.budget(), self.counters());
        let counted = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let gauges = [
            ("caller_connections", self.open() as u64),
            ("caller_memory_bytes", budget.used_bytes() as u64),
        ];
        let totals = [
            ("caller_memory_refused_total", budget.refused()),
            ("caller_memory_given_up_total", budget.given_up()),
            (
                "connections_ended_early_total",
                counted(&counters.ended_early),
            ),
            ("connections_given_up_total", counted(&counters.given_up)),
            ("connections_refused_total", counted(&counters.refused)),
        ];
        let gauges = gauges.iter().map(|value| ("gauge", value));
        let values = gauges.chain(totals.iter().map(|value| ("counter", value)));
        let lines = values.map(|(kind, (name, value))| {
            format!("# TYPE {prefix}_{name} {kind}\n{prefix}_{name} {value}\n")
        });
        lines.collect()
    }
}
