//! Settings of hollow engines; the defaults are those of the experiments' cost model.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// What steps, memory, reports and loads of an engine cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModelSettings {
    /// Time of a step without sequences, milliseconds.
    pub base_ms: f64,
    /// Sigma of the log-normal noise on the base.
    pub noise_sigma: f64,
    /// Share of steps that are slow.
    pub slow_step_share: f64,
    /// How many times the base a slow step takes.
    pub slow_step_factor: f64,
    /// Time for each running sequence in a step, milliseconds.
    pub per_sequence_ms: f64,
    /// Time for each prefilled token in a step, milliseconds.
    pub per_prefill_token_ms: f64,
    /// Most prefilled tokens in a step.
    pub maximum_prefill_tokens: u32,
    /// Most running sequences.
    pub maximum_sequences: u32,
    /// Most waiting sequences; more are refused.
    pub maximum_waiting: u32,
    /// Tokens in a KV block.
    pub block_tokens: u32,
    /// KV memory, tokens.
    pub memory_tokens: u32,
    /// Time between reports, milliseconds.
    pub report_interval_ms: u64,
    /// Longest delay of a report's delivery, milliseconds.
    pub report_delay_ms: u64,
    /// Longest delay of a cache event, milliseconds.
    pub cache_event_delay_ms: u64,
    /// Share of cache events that are lost.
    pub cache_event_loss: f64,
    /// How long a stream whose connection was lost goes on, milliseconds.
    pub detach_grace_ms: u64,
    /// How long the end of a finished stream can still be attached to, milliseconds.
    pub finished_grace_ms: u64,
    /// Slowdown of online steps that the idle capacity is reckoned with, percent.
    pub online_slowdown_percent: f64,
    /// Memory that a batch sequence is reckoned with while none runs, tokens.
    pub typical_batch_tokens: u32,
    /// Time between samples of widths, milliseconds.
    pub sample_interval_ms: u64,
    /// Online arrivals after this long without online work are probed for how soon batch yields,
    /// milliseconds.
    pub probe_quiet_ms: u64,
    /// Most records kept for each engine; older ones are dropped and counted.
    pub maximum_records: usize,
    /// Time to move a token's KV state out of or into an engine, microseconds.
    pub kv_transfer_us_per_token: u64,
    /// All sequences are served in order of arrival: for experiments that compare with an engine
    /// without priorities. Which work is online is still told by the priority of the call.
    pub ignore_priority: bool,
    /// Time to load a version when the weight store gives no time, milliseconds.
    pub load_ms: u64,
    /// Versions whose load fails.
    pub broken_versions: BTreeSet<String>,
}

impl Default for EngineModelSettings {
    fn default() -> Self {
        Self {
            base_ms: 3.2,
            noise_sigma: 0.25,
            slow_step_share: 0.01,
            slow_step_factor: 3.0,
            per_sequence_ms: 0.010,
            per_prefill_token_ms: 0.004,
            maximum_prefill_tokens: 512,
            maximum_sequences: 128,
            maximum_waiting: 512,
            block_tokens: 16,
            memory_tokens: 60_000,
            report_interval_ms: 500,
            report_delay_ms: 1_000,
            cache_event_delay_ms: 2_000,
            cache_event_loss: 0.02,
            detach_grace_ms: 3_000,
            finished_grace_ms: 10_000,
            online_slowdown_percent: 5.0,
            typical_batch_tokens: 700,
            sample_interval_ms: 100,
            probe_quiet_ms: 300,
            maximum_records: 200_000,
            kv_transfer_us_per_token: 20,
            ignore_priority: false,
            load_ms: 3_000,
            broken_versions: BTreeSet::new(),
        }
    }
}

impl EngineModelSettings {
    /// KV blocks of an engine.
    pub fn total_blocks(&self) -> u32 {
        self.memory_tokens / self.block_tokens.max(1)
    }

    /// Mean time of a step without sequences, its noise and the slow steps included, milliseconds.
    pub fn usual_base_ms(&self) -> f64 {
        let noise = (self.noise_sigma * self.noise_sigma / 2.0).exp();
        let slow = 1.0 + self.slow_step_share * (self.slow_step_factor - 1.0);
        self.base_ms * noise * slow
    }

    /// Microseconds of some milliseconds.
    pub(crate) fn micros(milliseconds: u64) -> u64 {
        milliseconds.saturating_mul(1_000)
    }
}

/// One engine of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Server id; the engine is served under `/engines/{server}`.
    pub server: String,
    /// Service.
    pub service: String,
    /// Version loaded at start.
    pub version: String,
    /// Adapters loaded at start.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Cost model.
    #[serde(default)]
    pub model: EngineModelSettings,
    /// Seed of its noise.
    #[serde(default)]
    pub seed: u64,
}
