//! Records the slowdown of servers, as reported by them and as measured from event gaps.

use std::time::Duration;

use dappleyard_cluster::Slowdown;
use dappleyard_model::{ServerLoad, ServerRecord};

use crate::attempt::Upstreams;
use crate::event_gaps::excess_slowdown;
use crate::metrics::Metrics;

impl Upstreams {
    /// Records the slowdown that a server reports.
    pub(crate) fn record_reported_slowdown(&self, server: &ServerRecord, load: ServerLoad) {
        let Some(slowdown) = load.work_percent.and_then(Slowdown::of_percent) else {
            return;
        };
        if self.node.loads.note_reported_slowdown(&server.id, slowdown) {
            self.log_slowdown(server, slowdown, "told");
        }
    }

    /// Records a measured event gap. For servers that report no slowdown it is ignored, since longer
    /// gaps may result from load, which already counts.
    pub(crate) fn record_gap_slowdown(&self, server: &ServerRecord, gap: Duration) {
        if !self.node.loads.reports_slowdown(&server.id) {
            return;
        }
        let reported = self.node.loads.reported_slowdown(&server.id);
        let usual = gap.div_f64(reported.times());
        let times = &self.node.response_times;
        let Some(usual) = times.record_normalized_gap(&server.service, usual) else {
            return;
        };
        let excess_slowdown = excess_slowdown(gap, usual, reported);
        if self
            .node
            .loads
            .note_excess_slowdown(&server.id, excess_slowdown)
        {
            self.log_slowdown(server, excess_slowdown, "excess");
        }
    }

    fn log_slowdown(&self, server: &ServerRecord, slowdown: Slowdown, by: &str) {
        Metrics::count(&self.node.metrics.pace_changes);
        self.node.log.write(
            "server_pace",
            || serde_json::json!({"server": server.id, "percent": slowdown.percent(), "by": by}),
        );
    }
}
