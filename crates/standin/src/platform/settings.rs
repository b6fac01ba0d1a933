//! Settings of the platform's stand-in.

use serde::{Deserialize, Serialize};

/// Rates and bounds of the platform's stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformStandInSettings {
    /// Listening address; port 0 takes one from the operating system.
    pub listen: String,
    /// Worker threads of the HTTP server.
    pub workers: usize,
    /// Calls a second that the table service answers, and its burst.
    pub table_calls_per_s: f64,
    /// Burst of table calls.
    pub table_calls_burst: f64,
    /// Calls a second that the object store answers.
    pub object_calls_per_s: f64,
    /// Burst of object calls.
    pub object_calls_burst: f64,
    /// Time that each table call takes, milliseconds.
    pub table_latency_ms: u64,
    /// Time that each object call takes, milliseconds.
    pub object_latency_ms: u64,
    /// Most writes and comparisons of a transaction.
    pub maximum_transaction_rows: usize,
    /// Largest value of a row, bytes.
    pub maximum_value_bytes: usize,
    /// Largest object, bytes.
    pub maximum_object_bytes: usize,
    /// Changes that the feed reaches back.
    pub feed_changes: usize,
    /// Most changes in one answer of the feed.
    pub maximum_feed_answer: usize,
    /// How far the machine list lags, milliseconds.
    pub machine_list_lag_ms: u64,
    /// Size of a model version, megabytes.
    pub weight_megabytes: f64,
    /// Rate of the weight store, shared by all readers, megabytes a second.
    pub weight_megabytes_per_s: f64,
    /// Versions whose load fails.
    pub broken_versions: Vec<String>,
    /// Seed of faults that come with a probability.
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
