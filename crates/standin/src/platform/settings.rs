//! Settings of the simulated platform services.

use serde::{Deserialize, Serialize};

/// Rates, latencies and limits of the simulated platform services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformStandInSettings {
    /// Listening address; port 0 selects a free port.
    pub listen: String,
    /// Worker threads of the HTTP server.
    pub workers: usize,
    /// Rate limit of the table service, calls per second.
    pub table_calls_per_s: f64,
    /// Burst of the table service's rate limit, calls.
    pub table_calls_burst: f64,
    /// Rate limit of the object store, calls per second.
    pub object_calls_per_s: f64,
    /// Burst of the object store's rate limit, calls.
    pub object_calls_burst: f64,
    /// Latency of table calls, milliseconds.
    pub table_latency_ms: u64,
    /// Latency of object calls, milliseconds.
    pub object_latency_ms: u64,
    /// Maximum number of writes, and of comparisons, in a transaction.
    pub maximum_transaction_rows: usize,
    /// Maximum size of a row value, bytes.
    pub maximum_value_bytes: usize,
    /// Maximum size of an object, bytes.
    pub maximum_object_bytes: usize,
    /// Number of changes that the feed keeps.
    pub feed_changes: usize,
    /// Maximum number of changes in a feed response; a transaction is not split to meet it.
    pub maximum_feed_answer: usize,
    /// Lag of the machine list, milliseconds.
    pub machine_list_lag_ms: u64,
    /// Size of a model version, megabytes.
    pub weight_megabytes: f64,
    /// Bandwidth of the weight store, shared by all readers, megabytes per second.
    pub weight_megabytes_per_s: f64,
    /// Versions whose load fails.
    pub broken_versions: Vec<String>,
    /// Seed of probabilistic faults.
    pub seed: u64,
}

impl Default for PlatformStandInSettings {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            workers: 2,
            table_calls_per_s: 1_000.0,
            table_calls_burst: 1_000.0,
            object_calls_per_s: 1_000.0,
            object_calls_burst: 1_000.0,
            table_latency_ms: 2,
            object_latency_ms: 5,
            maximum_transaction_rows: 128,
            maximum_value_bytes: 1_048_576,
            maximum_object_bytes: 64 * 1_048_576,
            feed_changes: 100_000,
            maximum_feed_answer: 1_000,
            machine_list_lag_ms: 2_000,
            weight_megabytes: 14_000.0,
            weight_megabytes_per_s: 10_000.0,
            broken_versions: Vec::new(),
            seed: 1,
        }
    }
}
