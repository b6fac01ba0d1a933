//! Settings of simulated engines; the defaults are the cost model of the experiments.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Cost model, limits and timing of a simulated engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModelSettings {
    /// Time of a step without sequences, milliseconds.
    pub base_ms: f64,
    /// Sigma of the log-normal noise on the base time.
    pub noise_sigma: f64,
    /// Share of steps that are slow.
    pub slow_step_share: f64,
    /// Factor by which the base time of slow steps is longer.
    pub slow_step_factor: f64,
    /// Step time per running sequence, milliseconds.
    pub per_sequence_ms: f64,
    /// Step time per prefilled token, milliseconds.
    pub per_prefill_token_ms: f64,
    /// Maximum number of prefilled tokens per step.
    pub maximum_prefill_tokens: u32,
    /// Maximum number of running sequences.
    pub maximum_sequences: u32,
    /// Maximum number of waiting sequences; further calls are rejected.
    pub maximum_waiting: u32,
    /// Tokens per KV block.
    pub block_tokens: u32,
    /// KV memory, tokens.
    pub memory_tokens: u32,
    /// Time between reports, milliseconds.
    pub report_interval_ms: u64,
    /// Maximum delivery delay of reports, milliseconds.
    pub report_delay_ms: u64,
    /// Maximum delivery delay of cache events, milliseconds.
    pub cache_event_delay_ms: u64,
    /// Share of cache events that are lost.
    pub cache_event_loss: f64,
    /// Time that a stream continues after its connection was lost, milliseconds.
    pub detach_grace_ms: u64,
    /// Time that callers can still attach to a finished stream, milliseconds.
    pub finished_grace_ms: u64,
    /// Slowdown of online steps that the definition of idle capacity allows, percent.
    pub online_slowdown_percent: f64,
    /// Initial estimate of the memory of a batch sequence, tokens.
    pub typical_batch_tokens: u32,
    /// Time between batch size samples, milliseconds.
    pub sample_interval_ms: u64,
    /// Time without online work after which the next online arrival counts as a burst in the yield
    /// probes, milliseconds.
    pub probe_quiet_ms: u64,
    /// Maximum number of records per engine; older ones are dropped and counted.
    pub maximum_records: usize,
    /// Time to export or import the KV state of a token, microseconds.
    pub kv_transfer_us_per_token: u64,
    /// Serves all sequences in order of arrival, to compare with engines without priorities. The
    /// priority of the call still determines what counts as online work.
    pub ignore_priority: bool,
    /// Duration of loads without a weight source and of failed loads, milliseconds.
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
    /// Number of KV blocks.
    pub fn total_blocks(&self) -> u32 {
        self.memory_tokens / self.block_tokens.max(1)
    }

    /// Mean time of a step without sequences, with noise and slow steps included, milliseconds.
    pub fn usual_base_ms(&self) -> f64 {
        let noise = (self.noise_sigma * self.noise_sigma / 2.0).exp();
        let slow = 1.0 + self.slow_step_share * (self.slow_step_factor - 1.0);
        self.base_ms * noise * slow
    }

    /// Converts milliseconds to microseconds.
    pub(crate) fn milliseconds_to_us(milliseconds: u64) -> u64 {
        milliseconds.saturating_mul(1_000)
    }
}

/// Configuration of one engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Server id; the engine is served under `/engines/{server}`.
    pub server: String,
    /// Service that it serves.
    pub service: String,
    /// Version loaded at start.
    pub version: String,
    /// Adapters loaded at start.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Cost model.
    #[serde(default)]
    pub model: EngineModelSettings,
    /// Seed of its random number generator.
    #[serde(default)]
    pub seed: u64,
}
