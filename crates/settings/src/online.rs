//! Settings of the online path.

use serde::{Deserialize, Serialize};

/// Settings of the online path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnlineSettings {
    /// Time between readings of an owned engine report, milliseconds.
    pub report_interval_ms: u64,
    /// Longest time to connect to an engine, milliseconds.
    pub engine_connect_timeout_ms: u64,
    /// Longest silence of an engine in an open stream, milliseconds.
    pub engine_idle_timeout_ms: u64,
    /// Expected wait above which a request is refused, milliseconds.
    pub maximum_queue_ms: u64,
    /// Owners asked in order before the request spills to another cell.
    pub owner_candidates: usize,
    /// Load of the home owner, relative to the mean, up to which prefix affinity wins, percent.
    pub affinity_bound_percent: u32,
    /// Retries as a share of first attempts, percent.
    pub retry_budget_percent: u32,
    /// Age of the last word from an engine above which it is asked before dispatch, milliseconds.
    pub leaving_bound_ms: u64,
    /// How long a stream whose sidecar was lost is kept for resumption, milliseconds.
    pub detach_grace_ms: u64,
    /// Most online streams of this node at once.
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
