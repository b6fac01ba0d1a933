//! Settings of the batch path.

use serde::{Deserialize, Serialize};

/// How batch work shares servers with online work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BatchPolicy {
    /// Batch fills idle capacity and is paused when online work comes.
    #[default]
    Preempt,
    /// Baseline: batch is sent at online priority, as fast as it fits.
    SharedQueue,
    /// Baseline: a fixed share of the servers runs batch only, the others online only.
    StaticSplit,
    /// Baseline: batch never runs.
    OnlineOnly,
}

/// Settings of the batch path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchSettings {
    /// Most items of one job.
    pub maximum_job_items: u32,
    /// Longest line of an input file, bytes.
    pub maximum_line_bytes: usize,
    /// Work that one chunk should hold, milliseconds.
    pub chunk_target_ms: u64,
    /// Fewest items of a chunk.
    pub chunk_minimum_items: u32,
    /// Most items of a chunk.
    pub chunk_maximum_items: u32,
    /// Items of a chunk whose items must not repeat.
    pub once_chunk_items: u32,
    /// Time between looks for open chunks while idle, milliseconds.
    pub poll_interval_ms: u64,
    /// Most bytes of inputs and results held by this node.
    pub memory_bytes: usize,
    /// How long jobs and results are kept, seconds.
    pub retention_s: u64,
    /// Wait after a holder is believed gone before its chunk is taken over, milliseconds, jittered.
    pub takeover_delay_ms: u64,
    /// How batch work shares servers with online work.
    pub policy: BatchPolicy,
    /// Share of the servers that runs batch only under the policy `static-split`, percent.
    pub static_split_percent: u32,
    /// Jobs up to this many items need no confirmation when the tenant has no standing approval of
    /// its own.
    pub standing_items: u32,
    /// Slowdown of online steps allowed where the service's configuration names none, percent.
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
