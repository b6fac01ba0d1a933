//! Settings of the batch path.

use serde::{Deserialize, Serialize};

/// How batch and online work share servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchPolicy {
    /// Batch uses idle capacity and is preempted by online work.
    #[default]
    Preempt,
    /// Baseline: batch runs at online priority, as fast as capacity allows.
    SharedQueue,
    /// Baseline: a fixed share of the servers runs only batch, the others only online work.
    StaticSplit,
    /// Baseline: batch never runs.
    OnlineOnly,
}

/// Settings of the batch path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchSettings {
    /// Maximum items per job.
    pub maximum_job_items: u32,
    /// Maximum line length of an input file, in bytes.
    pub maximum_line_bytes: usize,
    /// Target processing time of a chunk, in milliseconds.
    pub chunk_target_ms: u64,
    /// Minimum items per chunk.
    pub chunk_minimum_items: u32,
    /// Maximum items per chunk.
    pub chunk_maximum_items: u32,
    /// Items per chunk of non-repeatable items.
    pub once_chunk_items: u32,
    /// Poll interval for open chunks while idle, in milliseconds.
    pub poll_interval_ms: u64,
    /// Maximum memory for inputs and results on this node, in bytes.
    pub memory_bytes: usize,
    /// Retention of jobs and results, in seconds.
    pub retention_s: u64,
    /// Delay before the chunk of a failed holder is taken over, in milliseconds, with jitter.
    pub takeover_delay_ms: u64,
    pub policy: BatchPolicy,
    /// Percentage of servers that run only batch under the policy `static-split`.
    pub static_split_percent: u32,
    /// Maximum items of a job that needs no confirmation, for tenants without a configuration row.
    pub standing_items: u32,
    /// Default for the allowed slowdown of online steps due to batch work, in percent.
    pub online_slowdown_percent: u32,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            maximum_job_items: 400_000,
            maximum_line_bytes: 1_048_576,
            chunk_target_ms: 60_000,
            chunk_minimum_items: 8,
            chunk_maximum_items: 500,
            once_chunk_items: 8,
            poll_interval_ms: 500,
            memory_bytes: 33_554_432,
            retention_s: 2_592_000,
            takeover_delay_ms: 1_000,
            policy: BatchPolicy::Preempt,
            static_split_percent: 30,
            standing_items: 400_000,
            online_slowdown_percent: 10,
        }
    }
}
