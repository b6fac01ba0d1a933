//! Settings of controllers, plans and explanations.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperateSettings {
    /// Reconcile interval of a service's controller, in milliseconds.
    pub reconcile_interval_ms: u64,
    /// Maximum servers of a service that load a model at the same time.
    pub load_concurrency: usize,
    /// Time that canaries must stay healthy before promotion, in milliseconds.
    pub canary_watch_ms: u64,
    /// Percentage of failed observations of canaries above which a rollout is rolled back.
    pub canary_error_percent: u32,
    /// Age of the freshness row above which a region counts as partitioned, in milliseconds.
    pub region_fresh_ms: u64,
    /// Interval between writes of decision records to the object store, in milliseconds.
    pub journal_interval_ms: u64,
    /// Step time of canaries, as a percentage of the stable version's, above which a rollout is
    /// rolled back.
    pub canary_step_percent: u32,
    /// Expected model load time until loads have been measured, in milliseconds.
    pub expected_load_ms: u64,
    /// Timeout after which an unobserved disruption no longer counts, in milliseconds.
    pub disruption_timeout_ms: u64,
    /// Timeout of status and explain queries to other nodes, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Journal objects kept per node.
    pub journal_objects: usize,
    /// Retention of finished and unconfirmed plans and of journal objects, in seconds.
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
