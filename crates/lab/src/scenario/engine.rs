//! What an engine costs; see `docs/design/experiments.md`.

use serde::{Deserialize, Serialize};

/// Parameters of the engines of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineScenario {
    /// Step without any work, milliseconds.
    pub base_step_ms: f64,
    /// Standard deviation of the logarithm of a step's noise.
    pub noise_sigma: f64,
    /// One step in this many takes `slow_step_factor` times as long; 0 for none.
    pub slow_step_every: u32,
    /// How much longer such a step takes.
    pub slow_step_factor: f64,
    /// Cost of each running sequence, milliseconds.
    pub per_sequence_ms: f64,
    /// Cost of each prefilled token, milliseconds.
    pub per_prefill_token_ms: f64,
    /// Most prefilled tokens in a step.
    pub maximum_prefill_tokens: u32,
    /// Most sequences at once.
    pub maximum_sequences: u32,
    /// KV memory, tokens.
    pub memory_tokens: u32,
    /// Tokens in a KV block.
    pub block_tokens: u32,
    /// Time between reports, milliseconds.
    pub report_interval_ms: u64,
    /// Greatest delay of a report, milliseconds.
    pub report_lag_ms: u64,
    /// Greatest delay of a cache event, milliseconds.
    pub cache_event_lag_ms: u64,
    /// One cache event in this many is lost; 0 for none.
    pub cache_event_loss_every: u32,
    /// Time to load a version from the weight store, milliseconds.
    pub load_ms: u64,
}

impl Default for EngineScenario {
    fn default() -> Self {
        Self {
            base_step_ms: 3.2,
            noise_sigma: 0.25,
            slow_step_every: 100,
            slow_step_factor: 3.0,
            per_sequence_ms: 0.010,
            per_prefill_token_ms: 0.004,
            maximum_prefill_tokens: 512,
            maximum_sequences: 128,
            memory_tokens: 60_000,
            block_tokens: 16,
            report_interval_ms: 500,
            report_lag_ms: 1_000,
            cache_event_lag_ms: 2_000,
            cache_event_loss_every: 50,
            load_ms: 2_000,
        }
    }
}
