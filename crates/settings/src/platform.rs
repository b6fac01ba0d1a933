//! Settings of the platform's clients and of the store gate.

use serde::{Deserialize, Serialize};

/// Settings of the platform's clients and of the store gate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Base URL of the table service.
    pub tables_url: String,
    /// Base URL of the object store.
    pub objects_url: String,
    /// Base URL of the machine list.
    pub machines_url: String,
    /// Longest time for one call to the store, milliseconds.
    pub call_timeout_ms: u64,
    /// Most calls a second that this node sends to the table service.
    pub calls_per_s: f64,
    /// Burst of calls to the table service.
    pub calls_burst: f64,
    /// Retries as a share of first calls, percent.
    pub retry_budget_percent: u32,
    /// Failures in a row that open the breaker.
    pub breaker_failures: u32,
    /// Time between probes while the breaker is open, milliseconds, jittered.
    pub breaker_probe_ms: u64,
    /// Longest time that a write waits for others to join its transaction, milliseconds.
    pub group_commit_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            tables_url: "http://127.0.0.1:7600/tables".to_owned(),
            objects_url: "http://127.0.0.1:7600/objects".to_owned(),
            machines_url: "http://127.0.0.1:7600/machines".to_owned(),
            call_timeout_ms: 2_000,
            calls_per_s: 50.0,
            calls_burst: 100.0,
            retry_budget_percent: 20,
            breaker_failures: 5,
            breaker_probe_ms: 1_000,
            group_commit_ms: 3,
        }
    }
}
