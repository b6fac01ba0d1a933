//! Batch width of a server: how many batch sequences may run beside the online ones.
//!
//! A step of an engine costs `base + per_sequence * sequences + per_prefill_token * prefill tokens`.
//! The widest batch is the one whose step stays within the allowed slowdown of the step that the
//! online sequences alone would see. With no online sequence the width is bounded by memory and by
//! the engine's number of sequences only.

use serde::{Deserialize, Serialize};

/// Cost of one engine step.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StepModel {
    /// Cost of an empty step, milliseconds.
    pub base_ms: f64,
    /// Cost of one running sequence, milliseconds.
    pub per_sequence_ms: f64,
    /// Cost of one prefill token, milliseconds.
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
    /// Expected time of a step, milliseconds.
    pub fn step_ms(&self, sequences: u32, prefill_tokens: u32) -> f64 {
        self.base_ms
            + self.per_sequence_ms * f64::from(sequences)
            + self.per_prefill_token_ms * f64::from(prefill_tokens)
    }

    /// The model after an observed step time with a known number of sequences and prefill tokens a
    /// step: the base moves towards what the observation implies.
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

/// Weight of one observation of the step time.
const OBSERVATION_WEIGHT: f64 = 0.05;

/// What the width of one server rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WidthInputs {
    /// Cost of a step.
    pub model: StepModel,
    /// Online sequences in flight.
    pub online_sequences: u32,
    /// KV tokens that the online sequences may hold.
    pub online_tokens: u32,
    /// KV tokens of the server that may be given out.
    pub total_tokens: u32,
    /// Most sequences of the server.
    pub maximum_sequences: u32,
    /// Batch sequences in flight.
    pub batch_sequences: u32,
    /// KV tokens that the batch sequences are estimated to hold.
    pub batch_tokens: u32,
    /// KV tokens that one more batch sequence would hold.
    pub new_sequence_tokens: u32,
    /// Slowdown of an online step that batch may cause, percent.
    pub slowdown_percent: u32,
    /// Share of the width that a declared demand window leaves, percent.
    pub window_percent: u32,
}

/// The widest batch that is allowed.
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

/// The present width and as many sequences as the free memory holds, or fewer where it is overdrawn.
fn width_in_memory(inputs: &WidthInputs) -> u32 {
    let used = i64::from(inputs.online_tokens) + i64::from(inputs.batch_tokens);
    let free = i64::from(inputs.total_tokens) - used;
    let more = free.div_euclid(i64::from(inputs.new_sequence_tokens.max(1)));
    let width = i64::from(inputs.batch_sequences) + more;
    u32::try_from(width.max(0)).unwrap_or(u32::MAX)
}

/// Shortest time between two starts that need a prefill, on a server with online sequences,
/// milliseconds. A prefill lengthens whole steps; the pace keeps the steps that are lengthened so few
/// that they stay out of the online tail.
pub fn prefill_interval_ms(model: &StepModel, prefill_tokens: u32, slowdown_percent: u32) -> f64 {
    let cost_ms = model.per_prefill_token_ms * f64::from(prefill_tokens);
    cost_ms * 100.0 / f64::from(slowdown_percent.max(1)) * PREFILL_SPREAD
}

/// How much rarer prefills are than the mean slowdown alone would allow: the tail counts, not the
/// mean.
const PREFILL_SPREAD: f64 = 4.5;

fn width_beside_online(inputs: &WidthInputs) -> u32 {
    let alone = inputs.model.step_ms(inputs.online_sequences, 0);
    let spare_ms = alone * f64::from(inputs.slowdown_percent) / 100.0;
    let width = spare_ms / inputs.model.per_sequence_ms.max(f64::MIN_POSITIVE);
    width.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn scale(width: u32, percent: u32) -> u32 {
    let scaled = u64::from(width) * u64::from(percent.min(100)) / 100;
    u32::try_from(scaled).unwrap_or(width)
}
