//! Batch width of a server: the number of batch sequences that may run alongside online sequences.
//!
//! An engine step takes `base + per_sequence * sequences + per_prefill_token * prefill tokens`. The
//! width is limited so that a step exceeds the time with online sequences alone by at most the
//! allowed slowdown. Without online sequences only memory and the engine's sequence limit apply.

use serde::{Deserialize, Serialize};

/// Cost model of an engine step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StepModel {
    pub base_ms: f64,
    pub per_sequence_ms: f64,
    pub per_prefill_token_ms: f64,
}

impl Default for StepModel {
    fn default() -> Self {
        Self {
            base_ms: 3.5,
            per_sequence_ms: 0.010,
            per_prefill_token_ms: 0.004,
        }
    }
}

impl StepModel {
    pub fn step_ms(&self, sequences: u32, prefill_tokens: u32) -> f64 {
        self.base_ms
            + self.per_sequence_ms * f64::from(sequences)
            + self.per_prefill_token_ms * f64::from(prefill_tokens)
    }

    /// Adjusts the base towards an observed step time by an exponential moving average.
    #[must_use]
    pub fn observe(mut self, step_ms: f64, sequences: u32, prefill_tokens: f64) -> StepModel {
        let implied = step_ms
            - self.per_sequence_ms * f64::from(sequences)
            - self.per_prefill_token_ms * prefill_tokens;
        if implied.is_finite() && implied > 0.0 {
            self.base_ms += OBSERVATION_WEIGHT * (implied - self.base_ms);
        }
        self
    }
}

/// Weight of a new observation in the moving average.
const OBSERVATION_WEIGHT: f64 = 0.05;

/// Inputs to [`batch_width`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WidthInputs {
    pub model: StepModel,
    pub online_sequences: u32,
    /// KV cache tokens that online sequences may use.
    pub online_tokens: u32,
    /// KV cache capacity of the server available for allocation, in tokens.
    pub total_tokens: u32,
    /// Maximum concurrent sequences of the server.
    pub maximum_sequences: u32,
    pub batch_sequences: u32,
    /// Estimated KV cache tokens used by batch sequences.
    pub batch_tokens: u32,
    /// Estimated KV cache tokens of an additional batch sequence.
    pub new_sequence_tokens: u32,
    /// Allowed slowdown of online steps due to batch work, in percent.
    pub slowdown_percent: u32,
    /// Percentage of the width that remains available during a demand window.
    pub window_percent: u32,
}

/// Maximum number of concurrent batch sequences.
pub fn batch_width(inputs: &WidthInputs) -> u32 {
    let by_memory = width_in_memory(inputs);
    let by_sequences = inputs
        .maximum_sequences
        .saturating_sub(inputs.online_sequences);
    let bound = by_memory.min(by_sequences);
    let width = match inputs.online_sequences {
        0 => bound,
        _ => bound.min(width_beside_online(inputs)),
    };
    scale(width, inputs.window_percent)
}

/// Current batch sequences plus those that fit in free memory, or fewer if memory is overcommitted.
fn width_in_memory(inputs: &WidthInputs) -> u32 {
    let used = i64::from(inputs.online_tokens) + i64::from(inputs.batch_tokens);
    let free = i64::from(inputs.total_tokens) - used;
    let additional = free.div_euclid(i64::from(inputs.new_sequence_tokens.max(1)));
    let width = i64::from(inputs.batch_sequences) + additional;
    u32::try_from(width.max(0)).unwrap_or(u32::MAX)
}

/// Minimum time between starts of sequences that need a prefill on a server with online sequences,
/// in milliseconds. A prefill delays whole steps; pacing keeps it from affecting online tail
/// latency.
pub fn prefill_interval_ms(model: &StepModel, prefill_tokens: u32, slowdown_percent: u32) -> f64 {
    let cost_ms = model.per_prefill_token_ms * f64::from(prefill_tokens);
    cost_ms * 100.0 / f64::from(slowdown_percent.max(1)) * PREFILL_INTERVAL_FACTOR
}

/// Multiple of the interval that would meet the mean slowdown, to limit the slowdown of the tail.
const PREFILL_INTERVAL_FACTOR: f64 = 4.5;

fn width_beside_online(inputs: &WidthInputs) -> u32 {
    let online_only_ms = inputs.model.step_ms(inputs.online_sequences, 0);
    let spare_ms = online_only_ms * f64::from(inputs.slowdown_percent) / 100.0;
    let width = spare_ms / inputs.model.per_sequence_ms.max(f64::MIN_POSITIVE);
    width.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn scale(width: u32, percent: u32) -> u32 {
    let scaled = u64::from(width) * u64::from(percent.min(100)) / 100;
    u32::try_from(scaled).unwrap_or(width)
}
