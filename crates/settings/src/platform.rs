//! Settings of the platform service clients, including rate limits and the circuit breaker.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Base URL of the table service.
    pub tables_url: String,
    /// Base URL of the object store.
    pub objects_url: String,
    /// Base URL of the machine list.
    pub machines_url: String,
    /// Timeout of a store call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Rate limit of calls from this node to the table service, per second.
    pub calls_per_s: f64,
    /// Burst size of the rate limit.
    pub calls_burst: f64,
    /// Retry budget, as a percentage of first calls.
    pub retry_budget_percent: u32,
    /// Consecutive failures that open the circuit breaker.
    pub breaker_failures: u32,
    /// Probe interval while the circuit breaker is open, in milliseconds, with jitter.
    pub breaker_probe_ms: u64,
    /// Maximum time that a write waits for others to join its transaction, in milliseconds.
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
