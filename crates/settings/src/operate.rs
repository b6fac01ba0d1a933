//! Settings of controllers, plans and explanations.

use serde::{Deserialize, Serialize};

/// Settings of controllers, plans and explanations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperateSettings {
    /// Time between two looks of a controller at its service, milliseconds.
    pub reconcile_interval_ms: u64,
    /// Servers of a service that load a model at the same time.
    pub load_concurrency: usize,
    /// How long a canary is watched before the rollout goes on, milliseconds.
    pub canary_watch_ms: u64,
    /// Share of failed requests on the canary that rolls the rollout back, percent.
    pub canary_error_percent: u32,
    /// Age of the freshness row above which a region counts as cut off, milliseconds.
    pub region_fresh_ms: u64,
    /// Time between writes of decision records to the object store, milliseconds.
    pub journal_interval_ms: u64,
    /// Step time of the canary, relative to the other servers, that rolls the rollout back, percent.
    pub canary_step_percent: u32,
    /// Expected time for a server to load a model, milliseconds; used until loads were measured.
    pub expected_load_ms: u64,
    /// Time after which a disruption that no view shows is forgotten, milliseconds.
    pub disruption_timeout_ms: u64,
    /// Longest wait for another node's answer to a status or explain query, milliseconds.
    pub peer_timeout_ms: u64,
    /// Journal objects kept for each node.
    pub journal_objects: usize,
    /// How long plans that are over, unconfirmed plans and journal objects are kept, seconds.
    pub retention_s: u64,
}

impl Default for OperateSettings {
    fn default() -> Self {
        Self {
            reconcile_interval_ms: 1_000,
            load_concurrency: 2,
            canary_watch_ms: 10_000,
            canary_error_percent: 5,
            region_fresh_ms: 15_000,
            journal_interval_ms: 5_000,
            canary_step_percent: 200,
            expected_load_ms: 5_000,
            disruption_timeout_ms: 30_000,
            peer_timeout_ms: 1_000,
            journal_objects: 64,
            retention_s: 604_800,
        }
    }
}
