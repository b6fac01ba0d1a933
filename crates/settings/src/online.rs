//! Settings of the online path.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnlineSettings {
    /// Poll interval of the reports of owned engines, in milliseconds.
    pub report_interval_ms: u64,
    /// Connect timeout to an engine, in milliseconds.
    pub engine_connect_timeout_ms: u64,
    /// Idle timeout of an open engine stream, in milliseconds.
    pub engine_idle_timeout_ms: u64,
    /// Expected wait above which a request is rejected, in milliseconds.
    pub maximum_queue_ms: u64,
    /// Owners tried, in order, before the request is sent to another cell.
    pub owner_candidates: usize,
    /// Maximum load of an owner for prefix affinity, as a percentage of the mean.
    pub affinity_bound_percent: u32,
    /// Retry budget, as a percentage of first attempts.
    pub retry_budget_percent: u32,
    /// Age of an engine's last report above which it is queried before dispatch, in milliseconds.
    pub leaving_bound_ms: u64,
    /// Time for which a stream is kept for resumption after losing its sidecar, in milliseconds.
    pub detach_grace_ms: u64,
    /// Maximum concurrent online streams of this node.
    pub maximum_streams: usize,
}

impl Default for OnlineSettings {
    fn default() -> Self {
        Self {
            report_interval_ms: 250,
            engine_connect_timeout_ms: 500,
            engine_idle_timeout_ms: 3_000,
            maximum_queue_ms: 2_000,
            owner_candidates: 2,
            affinity_bound_percent: 125,
            retry_budget_percent: 10,
            leaving_bound_ms: 2_000,
            detach_grace_ms: 3_000,
            maximum_streams: 4_096,
        }
    }
}
